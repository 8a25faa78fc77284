//! Polling for conditions.

use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for a condition, far above what an idle machine needs so that a busy one gives the same result.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Polls until `holds` returns true, and panics after [`TIMEOUT`].
pub(crate) fn until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Polls until `check` returns `None`, and panics with its last value after [`TIMEOUT`].
pub(crate) fn until_none<F>(what: &str, mut check: F)
where
    F: FnMut() -> Option<String>,
{
    let started = Instant::now();
    while let Some(pending) = check() {
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting until {what}; last seen: {pending}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
