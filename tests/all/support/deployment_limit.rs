//! Bounds the number of deployments that run at once, so that tests don't disturb each other.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Deployments at once.
const AT_ONCE: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A place that is free again when dropped.
#[derive(Debug)]
pub(crate) struct Slot;

fn running() -> MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Slot {
    /// Waits for a place.
    pub(crate) fn take() -> Self {
        let waited = ENDED.wait_while(running(), |count| *count >= AT_ONCE);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *running() -= 1;
        ENDED.notify_one();
    }
}
