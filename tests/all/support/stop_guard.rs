//! Ends a load that runs in other threads.

use std::sync::atomic::{AtomicBool, Ordering};

/// Ends the load when dropped, also when a check fails while the load runs.
pub(crate) struct StopOnDrop<'a>(pub(crate) &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}
