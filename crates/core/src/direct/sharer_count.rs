//! How many instances share a budget over time.
//!
//! An instance that isn't listed any more may have spent its part of the budget just before. The parts of the others
//! therefore grow only when that has left the budget's window.

use std::time::Duration;

use crate::time;

/// The number of instances that share a budget, and larger numbers that were current before.
#[derive(Debug, Clone, Default)]
pub struct SharerCount {
    current: usize,
    /// Former numbers and when each was last current, oldest first. Each is larger than the next one and the current one,
    /// so there are never more than instances.
    former: Vec<(time::Time, usize)>,
}

impl SharerCount {
    /// Records that `count` instances share the budget from `now` on.
    pub fn record(&mut self, count: usize, now: time::Time) {
        if count < self.current {
            self.former.push((now, self.current));
        }
        self.former.retain(|(_, former)| *former > count);
        self.current = count;
    }

    /// Returns the largest number that was current within `memory` before `now`.
    pub fn largest_within(&self, memory: Duration, now: time::Time) -> usize {
        let expired = self.former.partition_point(|(at, _)| now.since(*at) > memory);
        self.former.get(expired).map_or(self.current, |(_, count)| *count)
    }
}
