//! Time as seen by the decision logic.
//!
//! The decision logic never reads a clock. Its driver passes in the current time, so it runs the same in virtual time
//! and on a monotonic clock.

use std::ops;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on the driver's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Time {
    /// Microseconds since the origin of the driver's clock.
    micros: u64,
}

impl Time {
    /// The origin of the driver's clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// Returns the time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Returns the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self { micros: millis * 1_000 }
    }

    /// Returns the number of microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the number of whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.micros / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl ops::Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let span = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(span),
        }
    }
}
