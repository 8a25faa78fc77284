//! Counts of things that exist now.

use std::cell::Cell;
use std::rc::Rc;

/// A guard that is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    count: Rc<Cell<usize>>,
}

impl CountGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self {
            count: Rc::clone(count),
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
