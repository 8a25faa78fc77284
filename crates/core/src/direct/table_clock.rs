//! Places readings of the table's steady clock on this instance's own time line.
//!
//! An answer that was waited for tells the state of the table at its end, not at its beginning. How long it was on its
//! way back is not known, but the table's clock says how long after an earlier answer it was made, and that one was made
//! after its call was sent.

use std::time::Duration;

use crate::time::Time;

/// Rate by which the two clocks may drift apart.
const MAX_CLOCK_DRIFT: f64 = 200e-6;
/// Age at which a placement is measured anew with a call that is answered at once.
pub const RESAMPLE_INTERVAL: Duration = Duration::from_secs(120);

#[derive(Debug, Clone, Copy)]
struct ClockSample {
    /// A time on this instance's line that is no later than `table`.
    local: Time,
    /// Reading of the table's clock.
    table: Duration,
}

/// Knows one reading.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableClock {
    sample: Option<ClockSample>,
    /// Newest reading; a lower one shows that the table's clock began anew.
    latest: Duration,
}

impl TableClock {
    /// A time that is no later than when the table's clock showed `table`, given that the call was sent at `sent`.
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

    /// Whether the reading is so old, or so poor, that it should be measured anew.
    pub fn is_stale(&self) -> bool {
        self.sample
            .is_none_or(|sample| self.latest.saturating_sub(sample.table) > RESAMPLE_INTERVAL)
    }
}
