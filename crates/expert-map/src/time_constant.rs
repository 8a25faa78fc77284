//! Exponential averages over time.

use std::time::Duration;

/// Share of an average that is kept after `period`, for an average over `constant`.
pub fn decay(period: Duration, time_constant: Duration) -> f64 {
    (-period.as_secs_f64() / time_constant.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}
