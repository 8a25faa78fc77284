//! Group commit of claims.
//!
//! The platform's table takes several hundred writes a second for everyone. An agent therefore has at most one write
//! under way; all that comes meanwhile goes into the next, and a slow table makes the batches larger by itself.

use std::time::Duration;

use crate::time;

/// Most rows in one write.
pub const MAX_ROWS_PER_WRITE: usize = 128;
/// Shortest pause between the starts of two writes.
const MIN_INTERVAL: Duration = Duration::from_millis(4);
/// Longest pause between the starts of two writes.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

/// Rows that wait to be written.
#[derive(Debug)]
pub struct ClaimBatch<T> {
    pending: Vec<T>,
    /// A write is under way.
    write_in_progress: bool,
    /// When the last write started.
    last_write_started: Option<time::Time>,
    /// Pause that the table's speed calls for, between [`MIN_INTERVAL`] and [`MAX_INTERVAL`].
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
    /// Adds a row.
    pub fn push(&mut self, row: T) {
        self.pending.push(row);
    }

    /// Rows of the write that should start now; `None` when it is not time.
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

    /// When the next write may start, if rows wait and none is under way.
    pub fn next_write_at(&self) -> Option<time::Time> {
        self.last_write_started.map(|started| started + self.interval)
    }

    /// Notes the end of the write under way.
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

    /// Number of writes so far.
    pub fn write_count(&self) -> u64 {
        self.write_count
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && !self.write_in_progress
    }
}
