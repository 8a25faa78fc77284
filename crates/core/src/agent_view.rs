//! State that an agent reports about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::incarnation;
use crate::load;
use crate::name;
use crate::revision;

/// Heartbeat that an agent sends to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// The endpoint that the agent manages.
    pub endpoint: name::Name,
    /// Identifies the lifetime of the agent's process.
    pub incarnation: incarnation::Incarnation,
    /// Sequence number of the heartbeat within the incarnation. A heartbeat replaces those with lower numbers.
    pub seq: u64,
    /// Address that accepts attempts.
    pub calls: SocketAddr,
    /// Address that accepts control requests.
    pub control: SocketAddr,
    /// Current load of the endpoint.
    pub load: load::Load,
    /// Whether the agent is draining and refuses new attempts.
    pub leaving: bool,
    /// Fingerprint of the last list of entries that the agent received; see [`crate::announce_reply::fingerprint`].
    pub entries: u64,
    /// Configuration revision in force at the agent.
    pub revision: revision::Revision,
}
