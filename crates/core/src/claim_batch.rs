//! Group commit of claims.
//!
//! The platform's table takes several hundred writes a second for everyone. An agent therefore has at most one write
//! under way; all that comes meanwhile goes into the next, and a slow table makes the batches larger by itself.

use std::time::Duration;

use crate::time;

/// Most rows in one write.
pub const MAX_ROWS: usize = 128;
/// Shortest pause between the starts of two writes.
const MIN_INTERVAL: Duration = Duration::from_millis(4);
/// Longest pause between the starts of two writes.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

/// Rows that wait to be written.
#[derive(Debug)]
pub struct ClaimBatch<T> {
    waiting: Vec<T>,
    /// A write is under way.
    writing: bool,
    /// When the last write started.
    started: Option<time::Time>,
    /// Pause that the table's speed calls for, between [`MIN_INTERVAL`] and [`MAX_INTERVAL`].
    interval: Duration,
    writes: u64,
}

impl<T> Default for ClaimBatch<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            writing: false,
            started: None,
            interval: MIN_INTERVAL,
            writes: 0,
        }
    }
}

impl<T> ClaimBatch<T> {
    /// Adds a row.
    pub fn push(&mut self, row: T) {
        self.waiting.push(row);
    }

    /// Rows of the write that should start now; `None` when it is not time.
    pub fn take_due(&mut self, now: time::Time) -> Option<Vec<T>> {
        if self.waiting.is_empty() || self.writing || self.next_write_at().is_some_and(|due| now < due) {
            return None;
        }
        self.writing = true;
        self.started = Some(now);
        self.writes += 1;
        let count = self.waiting.len().min(MAX_ROWS);
        Some(self.waiting.drain(..count).collect())
    }

    /// When the next write may start, if rows wait and none is under way.
    pub fn next_write_at(&self) -> Option<time::Time> {
        self.started.map(|started| started + self.interval)
    }

    /// Notes the end of the write under way.
    pub fn finish_write(&mut self, now: time::Time, failed: bool) {
        self.writing = false;
        let took = self.started.map_or(Duration::ZERO, |started| now.since(started));
        let wanted = if failed {
            self.interval * 2
        } else {
            (self.interval + took) / 2
        };
        self.interval = wanted.clamp(MIN_INTERVAL, MAX_INTERVAL);
    }

    /// Number of writes so far.
    pub fn write_count(&self) -> u64 {
        self.writes
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && !self.writing
    }
}
