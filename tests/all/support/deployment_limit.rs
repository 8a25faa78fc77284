//! Limits the number of deployments that run at the same time, so that tests don't slow each other down.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Maximum number of concurrent deployments.
const MAX_DEPLOYMENTS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// Permission to run a deployment, released when dropped.
#[derive(Debug)]
pub(crate) struct DeploymentPermit;

fn running() -> MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DeploymentPermit {
    /// Waits until another deployment may run.
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
