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
const USABLE_SHARE: f64 = 0.7;

/// Requests and repeated sends of one service at one instance.
#[derive(Debug, Clone)]
pub struct RetryShare {
    limit: RetryLimit,
    /// When requests came, oldest first, no older than the window.
    request_times: VecDeque<time::Time>,
    /// When repeats were sent, oldest first, no older than the window.
    repeat_times: VecDeque<time::Time>,
}

impl RetryShare {
    /// Nothing spent yet.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            request_times: VecDeque::new(),
            repeat_times: VecDeque::new(),
        }
    }

    /// Notes a caller's request.
    pub fn record_request(&mut self, now: time::Time) {
        self.evict_expired(now);
        self.request_times.push_back(now);
    }

    /// Takes one repeated send; `false` when the share of one of `instances` is spent.
    pub fn try_spend(&mut self, now: time::Time, instances: usize) -> bool {
        self.evict_expired(now);
        let extra = self.limit.extra / instances.max(1) as f64;
        let share = USABLE_SHARE * (self.limit.ratio * self.request_times.len() as f64 + extra);
        let is_within_share = ((self.repeat_times.len() + 1) as f64) <= share;
        if is_within_share {
            self.repeat_times.push_back(now);
        }
        is_within_share
    }

    fn evict_expired(&mut self, now: time::Time) {
        for times in [&mut self.request_times, &mut self.repeat_times] {
            while times.front().is_some_and(|t| now.since(*t) > self.limit.window) {
                times.pop_front();
            }
        }
    }
}
