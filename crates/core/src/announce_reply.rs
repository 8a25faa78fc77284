//! Reply of an entry to an agent's heartbeat.

use crate::revision;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::agent_config;

/// Updates that the agent needs from the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Configuration revision in force at the entry.
    pub revision: revision::Revision,
    /// The agent's part of the configuration. Present when the agent has an older revision and its part may have
    /// changed.
    pub config: Option<agent_config::AgentConfig>,
    /// Time until the agent should send its next heartbeat, in milliseconds.
    pub heartbeat_ms: u32,
    /// Sorted control addresses of the entries in the failure domain. Present when the agent has a different list.
    pub entries: Option<Vec<SocketAddr>>,
}

/// Computes a fingerprint of a list of entry addresses.
///
/// Agents report the fingerprint of their list so that entries send the addresses only when they differ.
pub fn fingerprint(entries: &[SocketAddr]) -> u64 {
    let seed = 0;
    entries.iter().fold(seed, |hash, entry| {
        xxh3::xxh3_64_with_seed(entry.to_string().as_bytes(), hash)
    })
}
