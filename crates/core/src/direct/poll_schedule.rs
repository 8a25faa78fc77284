//! Decides when a feed of the platform's table reads, and for how long it asks the table to wait for a change.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::poll_timing;
use crate::direct::table_availability;
use crate::spread;
use crate::time;

/// Delay after the first failed read while the table answers others. It doubles up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between retries while the table answers others.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Wait from which polls of different instances are spread, since all instances may have started together.
const LONG_WAIT: Duration = Duration::from_secs(5);
/// Part of a long wait by which it is shortened at most.
const LONG_WAIT_SPREAD_RATIO: f64 = 0.2;

/// What a feed does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Read, and ask the table to wait for up to this long for a change.
    Read {
        /// The longest wait.
        wait: Duration,
    },
    /// Decide again after this time, or earlier if the table's availability changes.
    Pause(Duration),
}

/// Why a read has no response that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFailure {
    /// A poll that asked the table to wait was given up. Those of different instances are given up at different times.
    LostPoll,
    /// The table refused the read, lost its connection or did not respond at once, and may do the same to all instances.
    Failed,
    /// The response made no sense, which says nothing about the table's availability.
    Undecodable,
}

/// A read that is needed.
#[derive(Debug, Clone, Copy)]
struct DueRead {
    at: time::Time,
    /// Whether the table may wait for a change, since it is only repeated in case that it was lost.
    may_wait: bool,
}

/// The state of a feed's reads.
#[derive(Debug, Clone)]
pub struct PollSchedule {
    timing: poll_timing::PollTiming,
    /// Distinguishes the feed from those of other topics and instances.
    name: Arc<str>,
    /// Part of a long wait that is left.
    long_wait_ratio: f64,
    /// The read that is needed, if the last one has no response or changes may be missing.
    due: Option<DueRead>,
    /// Number of reads that failed in a row.
    failures: u32,
}

impl PollSchedule {
    /// Creates the schedule of the feed `name`.
    pub fn new(name: Arc<str>, timing: poll_timing::PollTiming) -> Self {
        // Independent of the delays that follow from the name itself, which would otherwise cancel it out.
        let cut = spread::delay(&format!("{name}/wait"), Duration::from_secs(1)).as_secs_f64();
        Self {
            timing,
            name,
            long_wait_ratio: 1.0 - LONG_WAIT_SPREAD_RATIO * cut,
            due: None,
            failures: 0,
        }
    }

    /// Returns what to do next. `wait` is the wait of a poll if nothing is known to be missing.
    pub fn next(
        &mut self,
        table: &mut table_availability::TableAvailability,
        wait: Duration,
        now: time::Time,
    ) -> NextRead {
        if table.is_away() {
            let may_wait = self.may_wait();
            self.due.get_or_insert(DueRead { at: now, may_wait });
            return match table.claim_probe(&self.timing, now) {
                Ok(()) => NextRead::Read { wait: Duration::ZERO },
                Err(remaining) => NextRead::Pause(remaining),
            };
        }
        let Some(due) = &mut self.due else {
            return NextRead::Read {
                wait: self.spread_wait(wait),
            };
        };
        if let Some(returned_at) = table.returned_at().filter(|at| due.at <= *at) {
            due.at = returned_at + spread::delay(&self.name, self.timing.return_spread());
        }
        let due = *due;
        let remaining = due.at.since(now);
        match (remaining.is_zero(), due.may_wait) {
            (false, _) => NextRead::Pause(remaining),
            (true, false) => NextRead::Read { wait: Duration::ZERO },
            (true, true) => NextRead::Read {
                wait: self.spread_wait(wait),
            },
        }
    }

    /// Makes the next read one that doesn't wait, since changes are known to be missing or the last response is old.
    pub fn read_now(&mut self, now: time::Time) {
        self.due = Some(DueRead {
            at: now,
            may_wait: false,
        });
    }

    /// Records the response to a read that was sent at `sent`. Returns whether it ended an outage of the table.
    pub fn record_answer(
        &mut self,
        table: &mut table_availability::TableAvailability,
        sent: time::Time,
        now: time::Time,
    ) -> bool {
        self.due = None;
        self.failures = 0;
        table.record_answer(sent, now)
    }

    /// Records that a read, which was sent at `sent`, failed. Returns whether this shows that an outage of the table has begun.
    pub fn record_failure(
        &mut self,
        table: &mut table_availability::TableAvailability,
        failure: ReadFailure,
        sent: time::Time,
        now: time::Time,
    ) -> bool {
        let backoff = (FIRST_RETRY_DELAY * 2_u32.saturating_pow(self.failures)).min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        let (delay, has_gone) = match failure {
            ReadFailure::LostPoll => {
                table.record_lost_poll(now);
                if self.timing.need == poll_timing::Need::Background {
                    // The read that follows shows whether the table is away.
                    (spread::delay(&self.name, self.timing.return_spread()), false)
                } else {
                    (Duration::ZERO, table.record_failure(sent, Duration::ZERO, now))
                }
            }
            ReadFailure::Failed => {
                let first_delay = spread::delay(&self.name, table.probe_interval(&self.timing));
                (backoff, table.record_failure(sent, first_delay, now))
            }
            ReadFailure::Undecodable => {
                // The table did respond.
                table.record_answer(sent, now);
                (backoff, false)
            }
        };
        self.due = Some(DueRead {
            at: now + delay,
            may_wait: false,
        });
        has_gone
    }

    /// Records that a read was cancelled, since what was sent before `lost_before` may be lost.
    pub fn record_cancelled(&mut self, lost_before: time::Time) {
        self.due = Some(DueRead {
            at: lost_before + spread::delay(&self.name, self.timing.return_spread()),
            may_wait: self.may_wait(),
        });
    }

    fn may_wait(&self) -> bool {
        self.timing.need != poll_timing::Need::Confirmation
    }

    /// Returns `wait`, shortened by the feed's part if it is long.
    fn spread_wait(&self, wait: Duration) -> Duration {
        if wait < LONG_WAIT {
            wait
        } else {
            wait.mul_f64(self.long_wait_ratio)
        }
    }
}
