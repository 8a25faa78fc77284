//! Exponential moving averages over time.

use std::time::Duration;

/// Returns the weight that a previous average keeps after `period`.
pub fn decay(period: Duration, time_constant: Duration) -> f64 {
    (-period.as_secs_f64() / time_constant.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}
