//! The subset of the configuration that an agent needs.

use serde::{Deserialize, Serialize};

use crate::config::endpoint;
use crate::config::group;
use crate::config::service;
use crate::revision;

/// The declarations in force that concern one agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Revision of the configuration that this was extracted from.
    pub revision: revision::Revision,
    /// The endpoint that the agent manages.
    pub endpoint: endpoint::Endpoint,
    /// Kind of the service that the endpoint belongs to.
    pub kind: service::ServiceKind,
    /// The group that the endpoint is a rank of, if any.
    pub group: Option<group::Group>,
}
