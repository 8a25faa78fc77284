//! This instance's share of a retry budget that all instances draw on.
//!
//! In any window a service may get `ratio` times its requests plus `extra` repeated sends from all instances together.
//! Each instance spends `ratio` times its own requests plus an equal part of `extra`, so that the sum holds however the
//! callers are spread and no instance has to ask another.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// The declared budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends in a window beyond that, over all instances.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the share that is spent, so that windows that are cut differently hold as well.
const SPENT_PART: f64 = 0.7;

/// Requests and repeated sends of one service at one instance.
#[derive(Debug, Clone)]
pub struct RetryShare {
    bound: RetryLimit,
    /// When requests came, oldest first, no older than the window.
    requests: VecDeque<time::Time>,
    /// When repeats were sent, oldest first, no older than the window.
    repeats: VecDeque<time::Time>,
}

impl RetryShare {
    /// Nothing spent yet.
    pub fn new(bound: RetryLimit) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes a caller's request.
    pub fn record_request(&mut self, now: time::Time) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeated send; `false` when the share of one of `instances` is spent.
    pub fn try_spend(&mut self, now: time::Time, instances: usize) -> bool {
        self.forget(now);
        let extra = self.bound.extra / instances.max(1) as f64;
        let share = SPENT_PART * (self.bound.ratio * self.requests.len() as f64 + extra);
        let affordable = ((self.repeats.len() + 1) as f64) <= share;
        if affordable {
            self.repeats.push_back(now);
        }
        affordable
    }

    fn forget(&mut self, now: time::Time) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| now.since(*t) > self.bound.window) {
                times.pop_front();
            }
        }
    }
}
