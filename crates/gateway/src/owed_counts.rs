//! Counts of what the callers of a server are owed, over all of its connections.

use std::cell::Cell;
use std::rc::Rc;

use crate::count_guard;

/// Counts of what the callers of a server are owed. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwedCounts {
    /// The number of open connections.
    connections: Rc<Cell<usize>>,
    /// The number of connections on which a request head has begun and is not complete.
    heads: Rc<Cell<usize>>,
    /// The number of requests whose heads were read and whose responses are not handed over to the HTTP library.
    requests: Rc<Cell<usize>>,
    /// The number of connections on which a response was handed over and is not completely written.
    unwritten: Rc<Cell<usize>>,
}

impl OwedCounts {
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }

    pub(crate) fn heads(&self) -> usize {
        self.heads.get()
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.get()
    }

    pub(crate) fn unwritten(&self) -> usize {
        self.unwritten.get()
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

    pub(crate) fn count_unwritten(&self) -> count_guard::CountGuard {
        count_guard::CountGuard::new(&self.unwritten)
    }
}
