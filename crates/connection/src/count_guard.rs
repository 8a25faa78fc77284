//! Counts of things that exist now.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A guard that is counted until it is dropped.
#[derive(Debug)]
pub struct CountGuard {
    count: Arc<AtomicUsize>,
}

impl CountGuard {
    pub(crate) fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self {
            count: Arc::clone(count),
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
