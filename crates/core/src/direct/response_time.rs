//! Estimates how long an endpoint takes to begin its response, from earlier responses of its service.
//!
//! Load condition addressed: services whose queues grow and shrink with their load, so that no fixed time separates a
//! slow response from a lost one.

use std::time::Duration;

/// Weight of a new sample in the smoothed time, as in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Distance of the upper bound from the smoothed time, in mean deviations, as in RFC 6298.
const BOUND_DEVIATIONS: f64 = 4.0;

/// A smoothed time and its mean deviation, in seconds; both zero until the first sample.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseTime {
    mean: f64,
    deviation: f64,
}

impl ResponseTime {
    /// Records that a response began `took` after its request was sent.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if *self == Self::default() {
            self.mean = took;
            self.deviation = took / 2.0;
        } else {
            self.deviation += DEVIATION_GAIN * ((took - self.mean).abs() - self.deviation);
            self.mean += MEAN_GAIN * (took - self.mean);
        }
    }

    /// Returns the mean time; zero until the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a time that few responses exceed; zero until the first sample.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + BOUND_DEVIATIONS * self.deviation)
    }
}
