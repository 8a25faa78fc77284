//! Endpoints in force, folded from the entries that they keep in the platform's table.
//!
//! Entries lapse while the table is out and are back soon after its return if their endpoint lives. An entry that is
//! found missing right after an outage therefore counts as gone only when it stays away for [`RECOVERY_GRACE`].

use std::sync::Arc;
use std::time::Duration;

use crate::direct::endpoint;
use crate::time;

/// Time after the table's return within which a lapsed entry may come back; the platform promises about two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Member {
    endpoint: Arc<endpoint::Endpoint>,
    /// Set while the entry is missing and may come back.
    missing_until: Option<time::Time>,
}

/// The endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointSet {
    /// Sorted by endpoint id.
    members: Vec<Member>,
    /// Until when missing entries are given time to come back.
    grace_until: Option<time::Time>,
}

impl EndpointSet {
    /// Notes that the table answers again after an outage.
    pub fn table_recovered(&mut self, now: time::Time) {
        self.grace_until = Some(now + RECOVERY_GRACE);
    }

    /// Takes an entry that was written.
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

    /// Takes an entry that was removed. Gives back whether the endpoint is gone at once.
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

    /// Takes a complete list of entries: whatever it lacks was removed.
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

    /// Drops entries that did not come back in time.
    pub fn expire(&mut self, now: time::Time) {
        self.members.retain(|m| m.missing_until.is_none_or(|until| now < until));
    }

    /// When [`Self::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<time::Time> {
        self.members.iter().filter_map(|m| m.missing_until).min()
    }

    /// Endpoints that take new requests, sorted by id.
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
