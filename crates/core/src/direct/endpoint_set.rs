//! The set of known endpoints, built from the entries that they keep in the platform's table.
//!
//! Entries expire while the table is away, and live endpoints write them again soon after it answers again. An entry
//! that is missing then is therefore removed only when it stays missing for [`RECOVERY_GRACE`].

use std::sync::Arc;
use std::time::Duration;

use crate::direct::endpoint;
use crate::time;

/// Time after the table's return within which an expired entry may be written again. The platform guarantees about
/// two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// An endpoint of the set.
#[derive(Debug, Clone)]
struct Member {
    endpoint: Arc<endpoint::Endpoint>,
    /// Whether the entry is missing, and may be written again.
    is_missing: bool,
}

/// Whether missing entries may be written again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Grace {
    #[default]
    None,
    /// The table is away.
    WhileAway,
    /// The table was away, and entries are written again until this time.
    Until(time::Time),
}

/// The set of known endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointSet {
    /// Sorted by endpoint id.
    members: Vec<Member>,
    grace: Grace,
}

impl EndpointSet {
    /// Records that the table is away.
    pub fn table_away(&mut self) {
        self.grace = Grace::WhileAway;
    }

    /// Records that the table has answered again since `returned_at`.
    pub fn table_returned(&mut self, returned_at: time::Time) {
        let end = returned_at + RECOVERY_GRACE;
        if !matches!(self.grace, Grace::Until(until) if until >= end) {
            self.grace = Grace::Until(end);
        }
    }

    /// Adds or updates an endpoint whose entry was written.
    pub fn put(&mut self, endpoint: endpoint::Endpoint) {
        let member = Member {
            endpoint: Arc::new(endpoint),
            is_missing: false,
        };
        match self.position(&member.endpoint.id) {
            Ok(at) => self.members[at] = member,
            Err(at) => self.members.insert(at, member),
        }
    }

    /// Handles the removal of the entry `id`. Returns whether the endpoint was removed from the set at once.
    pub fn remove(&mut self, id: &str, now: time::Time) -> bool {
        let Ok(at) = self.position(id) else { return false };
        let may_return = match self.grace {
            Grace::None => false,
            Grace::WhileAway => true,
            Grace::Until(until) => now < until,
        };
        if may_return && self.members[at].endpoint.state == endpoint::EndpointState::Ready {
            self.members[at].is_missing = true;
            return false;
        }
        self.members.remove(at);
        true
    }

    /// Applies the complete list of entries. Entries that are not listed are handled as removed.
    pub fn replace(&mut self, entries: Vec<endpoint::Endpoint>, now: time::Time) {
        let known: Vec<Arc<str>> = self.members.iter().map(|m| Arc::clone(&m.endpoint.id)).collect();
        for id in known {
            if !entries.iter().any(|e| e.id == id) {
                self.remove(&id, now);
            }
        }
        for entry in entries {
            self.put(entry);
        }
    }

    /// Removes endpoints whose entries were not written again within the grace period.
    pub fn expire(&mut self, now: time::Time) {
        if matches!(self.grace, Grace::Until(until) if now >= until) {
            self.members.retain(|m| !m.is_missing);
        }
    }

    /// Returns the time at which [`Self::expire`] next has an endpoint to remove.
    pub fn next_expiry(&self) -> Option<time::Time> {
        match self.grace {
            Grace::Until(until) if self.members.iter().any(|m| m.is_missing) => Some(until),
            _ => None,
        }
    }

    /// Returns the endpoints that accept new requests, sorted by id.
    pub fn ready(&self) -> Vec<Arc<endpoint::Endpoint>> {
        let ready = |m: &&Member| m.endpoint.state == endpoint::EndpointState::Ready;
        self.members
            .iter()
            .filter(ready)
            .map(|m| Arc::clone(&m.endpoint))
            .collect()
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.endpoint.id.as_ref().cmp(id))
    }
}
