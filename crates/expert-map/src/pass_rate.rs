//! Measures how many passes a group runs per second, from the reports of its ranks.

use std::time::Duration;

/// Shortest time over which the rate is measured.
const MIN_SAMPLE: Duration = Duration::from_millis(300);
/// Rate assumed until it is measured, in passes per second.
const INITIAL_RATE: f64 = 20.0;

/// The newest pass of an epoch that a rank reported, and when the report arrived.
#[derive(Debug, Clone, Copy)]
struct Sample {
    epoch: u64,
    pass: u64,
    at: Duration,
}

/// The pass rate of a group.
#[derive(Debug, Clone)]
pub struct PassRate {
    /// Where the current measurement starts.
    start: Option<Sample>,
    per_second: f64,
}

impl Default for PassRate {
    fn default() -> Self {
        Self {
            start: None,
            per_second: INITIAL_RATE,
        }
    }
}

impl PassRate {
    /// Records that a rank reported `pass` of `epoch`. `now` is the reading of a monotonic clock.
    ///
    /// Reports of different ranks arrive out of order, and an instance that was suspended delivers an old one. A lower
    /// pass of the same epoch is therefore ignored.
    pub fn observe(&mut self, epoch: u64, pass: u64, now: Duration) {
        let sample = Sample { epoch, pass, at: now };
        let Some(start) = self.start.filter(|start| epoch <= start.epoch) else {
            self.start = Some(sample);
            return;
        };
        let elapsed = now.saturating_sub(start.at);
        if epoch == start.epoch && pass > start.pass && elapsed > MIN_SAMPLE {
            self.per_second = (pass - start.pass) as f64 / elapsed.as_secs_f64();
            self.start = Some(sample);
        }
    }

    /// Returns the number of passes per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}
