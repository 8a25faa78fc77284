//! The set of known endpoints, built from the entries that they keep in the platform's table.
//!
//! Entries expire while the table is unavailable, and live endpoints write them again soon after it recovers. An entry
//! that is missing right after an outage is therefore removed only when it stays missing for [`RECOVERY_GRACE`].

use std::sync::Arc;
use std::time::Duration;

use crate::direct::endpoint;
use crate::time;

/// Time after the table's recovery within which an expired entry may be written again. The platform guarantees about
/// two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// An endpoint of the set.
#[derive(Debug, Clone)]
struct Member {
    endpoint: Arc<endpoint::Endpoint>,
    /// Set while the entry is missing: the time until which it may be written again.
    missing_until: Option<time::Time>,
}

/// The set of known endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointSet {
    /// Sorted by endpoint id.
    members: Vec<Member>,
    /// End of the grace period for missing entries after the last outage of the table.
    grace_until: Option<time::Time>,
}

impl EndpointSet {
    /// Records that the table is available again after an outage.
    pub fn table_recovered(&mut self, now: time::Time) {
        self.grace_until = Some(now + RECOVERY_GRACE);
    }

    /// Adds or updates an endpoint whose entry was written.
    pub fn put(&mut self, endpoint: endpoint::Endpoint) {
        let member = Member {
            endpoint: Arc::new(endpoint),
            missing_until: None,
        };
        match self.position(&member.endpoint.id) {
            Ok(at) => self.members[at] = member,
            Err(at) => self.members.insert(at, member),
        }
    }

    /// Handles the removal of the entry `id`. Returns whether the endpoint was removed from the set at once.
    pub fn remove(&mut self, id: &str, now: time::Time) -> bool {
        let Ok(at) = self.position(id) else { return false };
        let grace = self.grace_until.filter(|until| now < *until);
        if grace.is_some() && self.members[at].endpoint.state == endpoint::EndpointState::Ready {
            self.members[at].missing_until = grace;
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
        self.members.retain(|m| m.missing_until.is_none_or(|until| now < until));
    }

    /// Returns the time at which [`Self::expire`] next has an endpoint to remove.
    pub fn next_expiry(&self) -> Option<time::Time> {
        self.members.iter().filter_map(|m| m.missing_until).min()
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
