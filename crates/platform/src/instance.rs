//! The platform's list of instances.
//!
//! The list is eventually consistent: a change becomes visible after a delay.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorestile_core::name;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The instance runs an entry.
    Entry,
    /// The instance runs an endpoint and its agent.
    Agent,
}

/// Lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is about to be removed and has to be drained.
    Leaving,
}

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: name::Name,
    /// Failure domain of the instance.
    pub failure_domain: name::Name,
    /// Role of the instance.
    pub role: Role,
    /// Lifecycle state of the instance.
    pub state: InstanceState,
    /// Control address of the sycamorestile process on the instance.
    pub control: SocketAddr,
    /// Endpoint on the instance, if its role is [`Role::Agent`].
    #[serde(default)]
    pub endpoint: Option<name::Name>,
}

/// Reply to a request for the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All listed instances, sorted by name.
    pub instances: Vec<Instance>,
}
