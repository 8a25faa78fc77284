//! Stops a load that runs in other threads.

use std::sync::atomic::{AtomicBool, Ordering};

/// Sets the stop flag of a load when dropped, so that the load also stops when an assertion fails.
pub(crate) struct StopOnDrop<'a>(pub(crate) &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}
