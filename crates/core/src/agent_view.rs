//! What an agent says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::incarnation;
use crate::load;
use crate::name;
use crate::revision;

/// An agent's heartbeat, sent to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// Endpoint that the agent stands beside.
    pub endpoint: name::Name,
    /// The agent's process lifetime.
    pub incarnation: incarnation::Incarnation,
    /// Counts the agent's heartbeats within its incarnation; later ones replace earlier ones.
    pub seq: u64,
    /// Address for attempts.
    pub calls: SocketAddr,
    /// Address for control.
    pub control: SocketAddr,
    /// Current load.
    pub load: load::Load,
    /// Nothing new begins here.
    pub leaving: bool,
    /// Fingerprint of the entries that the agent was told of; see [`crate::announce_reply::fingerprint`].
    pub entries: u64,
    /// Revision in force at the agent.
    pub revision: revision::Revision,
}
