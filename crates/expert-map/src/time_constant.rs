//! Exponential averages over time.

use std::time::Duration;

/// Share of an average that is kept after `period`, for an average over `constant`.
pub fn keep(period: Duration, constant: Duration) -> f64 {
    (-period.as_secs_f64() / constant.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}
