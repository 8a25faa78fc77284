//! Counts of what the callers of a server are owed, over all of its connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sycamorestile_core::direct::drain;

use crate::count_guard::CountGuard;

/// Counts of what the callers of a server are owed. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct OwedCounts {
    /// The number of open connections.
    connections: Arc<AtomicUsize>,
    /// The number of connections on which a request head has begun and is not complete.
    heads: Arc<AtomicUsize>,
    /// The number of requests whose heads were read and whose responses are not completely written.
    requests: Arc<AtomicUsize>,
}

impl OwedCounts {
    /// Returns what callers are owed now.
    pub fn owed(&self) -> drain::Owed {
        drain::Owed {
            connections: self.connections.load(Ordering::Acquire),
            heads: self.heads.load(Ordering::Acquire),
            requests: self.requests.load(Ordering::Acquire),
        }
    }

    pub(crate) fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.connections)
    }

    pub(crate) fn count_head(&self) -> CountGuard {
        CountGuard::new(&self.heads)
    }

    pub(crate) fn count_request(&self) -> CountGuard {
        CountGuard::new(&self.requests)
    }
}
