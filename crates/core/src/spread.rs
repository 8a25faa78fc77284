//! Spreads what many instances do at the same occasion over time.

use std::time::Duration;

use xxhash_rust::xxh3;

/// Returns how long `instance` waits, so that the waits of many instances are spread evenly over `period`.
pub fn delay(instance: &str, period: Duration) -> Duration {
    let fraction = xxh3::xxh3_64(instance.as_bytes()) as f64 / u64::MAX as f64;
    period.mul_f64(fraction)
}
