//! Clock that the daemons pass to all decisions.

use std::time::Instant;

use sycamorestile_core::time;

/// Monotonic clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> time::Time {
        time::Time::from_micros(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, at: time::Time) -> Instant {
        self.origin + at.since(time::Time::ZERO)
    }
}
