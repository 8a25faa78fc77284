//! Converts readings of the table's monotonic clock to this instance's local time.
//!
//! The response to a long-polling call shows the state of the table when the response was made, not when the call was
//! sent. The time that the response took to arrive is not known. The difference between the two readings of the table's
//! clock, however, shows how long after an earlier response it was made, and the earlier response was made after its
//! call was sent.

use std::time::Duration;

use crate::time::Time;

/// Maximum relative drift between the two clocks.
const MAX_CLOCK_DRIFT: f64 = 200e-6;
/// Age of the reference sample at which a new one is taken, with a call to which the table responds at once.
pub const RESAMPLE_INTERVAL: Duration = Duration::from_secs(120);

/// A reference point that relates the two clocks.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    /// Local time, no later than the moment at which the table's clock showed `table`.
    local: Time,
    /// Reading of the table's clock.
    table: Duration,
}

/// Converts readings by means of one reference sample.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableClock {
    sample: Option<ClockSample>,
    /// Latest reading; a lower one shows that the table's clock was restarted.
    latest: Duration,
}

impl TableClock {
    /// Returns a local time that is no later than the moment at which the table's clock showed `table`, given that the
    /// call was sent at `sent`.
    pub fn to_local_time(&mut self, sent: Time, table: Duration) -> Time {
        if table < self.latest {
            self.sample = None;
        }
        self.latest = table;
        let by_sample = self.sample.map(|sample| {
            let since = table.saturating_sub(sample.table);
            sample.local + since.mul_f64(1.0 - MAX_CLOCK_DRIFT)
        });
        if let Some(at) = by_sample.filter(|at| *at > sent) {
            at
        } else {
            self.sample = Some(ClockSample { local: sent, table });
            sent
        }
    }

    /// Returns whether a new sample is needed, since there is none or it is older than [`RESAMPLE_INTERVAL`].
    pub fn is_stale(&self) -> bool {
        self.sample
            .is_none_or(|sample| self.latest.saturating_sub(sample.table) > RESAMPLE_INTERVAL)
    }
}
