//! An entry's answer to an agent's heartbeat.

use crate::revision;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::agent_config;

/// What the agent should know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Revision in force at the entry.
    pub revision: revision::Revision,
    /// The agent's part of it, when the agent's revision is older and the part may differ.
    pub config: Option<agent_config::AgentConfig>,
    /// Time after which the entry expects the agent's next heartbeat, in milliseconds.
    pub heartbeat_ms: u32,
    /// Control addresses of the failure domain's entries, sorted, when they differ from those that the agent was told of.
    pub entries: Option<Vec<SocketAddr>>,
}

/// Fingerprint of entries' addresses. Agents report it, so that entries send the addresses only when they differ.
pub fn fingerprint(entries: &[SocketAddr]) -> u64 {
    let seed = 0;
    entries.iter().fold(seed, |hash, entry| {
        xxh3::xxh3_64_with_seed(entry.to_string().as_bytes(), hash)
    })
}
