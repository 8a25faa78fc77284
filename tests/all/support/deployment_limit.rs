//! Bounds the number of deployments that run at once, so that tests don't disturb each other.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Deployments at once.
const MAX_DEPLOYMENTS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// A place that is free again when dropped.
#[derive(Debug)]
pub(crate) struct DeploymentPermit;

fn running() -> MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DeploymentPermit {
    /// Waits for a place.
    pub(crate) fn acquire() -> Self {
        let waited = RELEASED.wait_while(running(), |count| *count >= MAX_DEPLOYMENTS);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *running() -= 1;
        RELEASED.notify_one();
    }
}
