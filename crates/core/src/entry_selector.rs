//! Which entry an agent speaks to.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::name;
use crate::time;

/// Time for which an entry that did not answer comes after all others.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// The entries that one agent knows, in the order in which it speaks to them.
///
/// The order is the agent's own, by rendezvous hashing: agents share the entries evenly, and when one goes only its agents
/// move.
#[derive(Debug, Clone)]
pub struct EntrySelector {
    endpoint: name::Name,
    /// From the settings; kept whatever else is told.
    configured: Vec<SocketAddr>,
    /// From the platform's list, newest.
    listed: Vec<SocketAddr>,
    /// From an entry's answer, newest.
    advertised: Vec<SocketAddr>,
    /// Entries that did not answer, and when; sorted by address.
    failed: Vec<(SocketAddr, time::Time)>,
}

impl EntrySelector {
    /// The choice of the agent of `endpoint`, which knows the entries of its settings.
    pub fn new(endpoint: name::Name, configured: Vec<SocketAddr>) -> Self {
        Self {
            endpoint,
            configured,
            listed: Vec::new(),
            advertised: Vec::new(),
            failed: Vec::new(),
        }
    }

    /// Takes the platform's list of entries.
    pub fn set_listed(&mut self, entries: Vec<SocketAddr>) {
        self.listed = entries;
    }

    /// Takes the entries that an entry's answer told of, its own address among them.
    pub fn set_advertised(&mut self, entries: Vec<SocketAddr>) {
        self.advertised = entries;
    }

    /// Notes that an entry did not answer.
    pub fn record_failure(&mut self, entry: SocketAddr, now: time::Time) {
        self.failed.retain(|(_, at)| now.since(*at) < FAILURE_BACKOFF);
        match self.failed.binary_search_by_key(&entry, |(addr, _)| *addr) {
            Ok(at) => self.failed[at].1 = now,
            Err(at) => self.failed.insert(at, (entry, now)),
        }
    }

    /// The entries in the order in which to try them.
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
