//! Waiting for conditions.

use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition; far above what an idle machine needs, so that a busy one gives the same verdict.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `holds`.
pub(crate) fn until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until `check` has nothing to say, and says what it said last when it waits in vain.
pub(crate) fn until_none<F>(what: &str, mut check: F)
where
    F: FnMut() -> Option<String>,
{
    let started = Instant::now();
    while let Some(pending) = check() {
        assert!(
            started.elapsed() < TIMEOUT,
            "waited in vain: {what}; last seen: {pending}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
