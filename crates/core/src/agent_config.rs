//! The part of the declarations that an agent needs.

use serde::{Deserialize, Serialize};

use crate::config::endpoint;
use crate::config::group;
use crate::config::service;
use crate::revision;

/// Declarations in force, cut down to one agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Revision that the part was cut from.
    pub revision: revision::Revision,
    /// The agent's endpoint.
    pub endpoint: endpoint::Endpoint,
    /// What kind of service it serves.
    pub kind: service::ServiceKind,
    /// The group, if the endpoint is a rank.
    pub group: Option<group::Group>,
}
