//! Counts of what the callers of a server are owed, over all of its connections.

use std::cell::Cell;
use std::rc::Rc;

use sycamorestile_core::direct::drain;

use crate::count_guard;

/// Counts of what the callers of a server are owed. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwedCounts {
    /// The number of open connections.
    connections: Rc<Cell<usize>>,
    /// The number of connections on which a request head has begun and is not complete.
    heads: Rc<Cell<usize>>,
    /// The number of requests whose heads were read and whose responses are not completely written.
    requests: Rc<Cell<usize>>,
}

impl OwedCounts {
    /// Returns what callers are owed now.
    pub(crate) fn owed(&self) -> drain::Owed {
        drain::Owed {
            connections: self.connections.get(),
            heads: self.heads.get(),
            requests: self.requests.get(),
        }
    }

    pub(crate) fn count_connection(&self) -> count_guard::CountGuard {
        count_guard::CountGuard::new(&self.connections)
    }

    pub(crate) fn count_head(&self) -> count_guard::CountGuard {
        count_guard::CountGuard::new(&self.heads)
    }

    pub(crate) fn count_request(&self) -> count_guard::CountGuard {
        count_guard::CountGuard::new(&self.requests)
    }
}
