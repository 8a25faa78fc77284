//! Selection of the entry that an agent reports to.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::name;
use crate::time;

/// Time for which an entry that failed to respond is ordered after all others.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// Orders the known entries by preference of one agent.
///
/// The order results from rendezvous hashing and differs between agents. The agents are thus spread evenly over the
/// entries, and when an entry fails, only its agents move to other entries.
#[derive(Debug, Clone)]
pub struct EntrySelector {
    endpoint: name::Name,
    /// From the agent's settings. Never replaced.
    configured: Vec<SocketAddr>,
    /// From the platform's latest list of instances.
    listed: Vec<SocketAddr>,
    /// From the latest heartbeat reply that contained a list of entries.
    advertised: Vec<SocketAddr>,
    /// Entries that failed to respond, with the time of the last failure. Sorted by address.
    failed: Vec<(SocketAddr, time::Time)>,
}

impl EntrySelector {
    /// Creates the selector for the agent of `endpoint` with the entries from its settings.
    pub fn new(endpoint: name::Name, configured: Vec<SocketAddr>) -> Self {
        Self {
            endpoint,
            configured,
            listed: Vec::new(),
            advertised: Vec::new(),
            failed: Vec::new(),
        }
    }

    /// Replaces the entries that the platform lists.
    pub fn set_listed(&mut self, entries: Vec<SocketAddr>) {
        self.listed = entries;
    }

    /// Replaces the entries that an entry advertised in a heartbeat reply. The list includes that entry itself.
    pub fn set_advertised(&mut self, entries: Vec<SocketAddr>) {
        self.advertised = entries;
    }

    /// Records that an entry failed to respond.
    pub fn record_failure(&mut self, entry: SocketAddr, now: time::Time) {
        self.failed.retain(|(_, at)| now.since(*at) < FAILURE_BACKOFF);
        match self.failed.binary_search_by_key(&entry, |(addr, _)| *addr) {
            Ok(at) => self.failed[at].1 = now,
            Err(at) => self.failed.insert(at, (entry, now)),
        }
    }

    /// Returns all known entries in the order in which the agent should try them.
    pub fn candidates(&self, now: time::Time) -> Vec<SocketAddr> {
        let all = self.configured.iter().chain(&self.listed).chain(&self.advertised);
        let mut candidates: Vec<SocketAddr> = all.copied().collect();
        candidates.sort_by_cached_key(|entry| (self.failed_recently(*entry, now), self.weight(*entry), *entry));
        candidates.dedup();
        candidates
    }

    fn failed_recently(&self, entry: SocketAddr, now: time::Time) -> bool {
        let position = self.failed.binary_search_by_key(&entry, |(addr, _)| *addr);
        position.is_ok_and(|at| now.since(self.failed[at].1) < FAILURE_BACKOFF)
    }

    fn weight(&self, entry: SocketAddr) -> u64 {
        let seed = xxh3::xxh3_64(entry.to_string().as_bytes());
        xxh3::xxh3_64_with_seed(self.endpoint.as_str().as_bytes(), seed)
    }
}
