//! Group commit of claim rows.
//!
//! The platform's table accepts several hundred writes per second in total, shared by all agents. An agent therefore
//! has at most one write in progress. Rows that are added meanwhile go into the next write, so batches grow when the
//! table is slow.

use std::time::Duration;

use crate::time;

/// Maximum number of rows in one write.
pub const MAX_ROWS_PER_WRITE: usize = 128;
/// Minimum time between the starts of two writes.
const MIN_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum time between the starts of two writes.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

/// Rows that wait to be written, and the schedule of the writes.
#[derive(Debug)]
pub struct ClaimBatch<T> {
    pending: Vec<T>,
    write_in_progress: bool,
    last_write_started: Option<time::Time>,
    /// Time between the starts of two writes. It follows the duration of writes, between [`MIN_INTERVAL`] and
    /// [`MAX_INTERVAL`].
    interval: Duration,
    write_count: u64,
}

impl<T> Default for ClaimBatch<T> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            write_in_progress: false,
            last_write_started: None,
            interval: MIN_INTERVAL,
            write_count: 0,
        }
    }
}

impl<T> ClaimBatch<T> {
    /// Adds a row to the next write.
    pub fn push(&mut self, row: T) {
        self.pending.push(row);
    }

    /// Starts a write and returns its rows, at most [`MAX_ROWS_PER_WRITE`].
    ///
    /// Returns `None` if no row is waiting, a write is in progress or the interval since the last start has not passed.
    pub fn take_due(&mut self, now: time::Time) -> Option<Vec<T>> {
        if self.pending.is_empty() || self.write_in_progress || self.next_write_at().is_some_and(|due| now < due) {
            return None;
        }
        self.write_in_progress = true;
        self.last_write_started = Some(now);
        self.write_count += 1;
        let count = self.pending.len().min(MAX_ROWS_PER_WRITE);
        Some(self.pending.drain(..count).collect())
    }

    /// Returns the earliest time at which the next write may start; `None` before the first write.
    pub fn next_write_at(&self) -> Option<time::Time> {
        self.last_write_started.map(|started| started + self.interval)
    }

    /// Records the end of the write in progress, and adapts the interval to its duration or failure.
    pub fn finish_write(&mut self, now: time::Time, failed: bool) {
        self.write_in_progress = false;
        let duration = self
            .last_write_started
            .map_or(Duration::ZERO, |started| now.since(started));
        let interval = if failed {
            self.interval * 2
        } else {
            (self.interval + duration) / 2
        };
        self.interval = interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
    }

    /// Returns the number of writes started so far.
    pub fn write_count(&self) -> u64 {
        self.write_count
    }

    /// Returns whether no row is waiting and no write is in progress.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && !self.write_in_progress
    }
}
