//! One instance's share of a retry budget that all instances use.
//!
//! In any window, all instances together may send a service `ratio` retries per request plus `extra` retries. Each
//! instance limits itself to `ratio` times its own requests plus an equal part of `extra`. The sum stays within the
//! budget however requests are spread over the instances, and no coordination is needed.
//!
//! A process doesn't know what its predecessor, a former process of its instance, has spent. For the length of a window
//! and a silence after its start, it therefore uses a smaller part of its share, which is free even if the predecessor
//! used all of its own at its end.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// The declared retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Number of retries per request.
    pub ratio: f64,
    /// Additional retries per window, for all instances together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What an instance knows of the processes with which it shares a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Number of instances, including this one. `None` until they are known; nothing of the fixed part is used then.
    pub instances: Option<usize>,
    /// Whether this instance may have had another process before.
    pub may_have_predecessor: bool,
}

/// Part of the share that an instance uses, so that the budget also holds in windows that begin at other times.
const USABLE_SHARE: f64 = 0.7;
/// The same for a process that started within the window and may have had a predecessor. Both parts together are the
/// whole share.
const USABLE_SHARE_AFTER_START: f64 = 0.3;

/// Longest time for which a silent link holds back what was sent. Connections with unacknowledged data are closed then.
pub const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Requests and retries of one service at one instance.
#[derive(Debug, Clone)]
pub struct RetryShare {
    limit: RetryLimit,
    /// When the process started. What was spent before is not known.
    started: time::Time,
    /// Arrival times of requests within the window, oldest first.
    request_times: VecDeque<time::Time>,
    /// Times of the retries that may arrive at an endpoint within one window, oldest first.
    retry_times: VecDeque<time::Time>,
}

impl RetryShare {
    /// Creates the share of the budget `limit` that a process has which started at `started`.
    pub fn new(limit: RetryLimit, started: time::Time) -> Self {
        Self {
            limit,
            started,
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: time::Time) {
        self.evict_expired(now);
        self.request_times.push_back(now);
    }

    /// Takes one retry from this instance's share of a budget that `sharers` use. Returns `false` if the share is used
    /// up.
    pub fn try_spend(&mut self, now: time::Time, sharers: Sharers) -> bool {
        let is_within_share = self.can_spend(now, sharers);
        if is_within_share {
            self.retry_times.push_back(now);
        }
        is_within_share
    }

    /// Returns whether [`Self::try_spend`] would succeed now.
    pub fn can_spend(&mut self, now: time::Time, sharers: Sharers) -> bool {
        let share = self.share(now, sharers);
        ((self.retry_times.len() + 1) as f64) <= share
    }

    /// Returns the number of retries that this instance may have sent within a window and a silence that end now.
    pub fn share(&mut self, now: time::Time, sharers: Sharers) -> f64 {
        self.evict_expired(now);
        let by_requests = self.limit.ratio * self.request_times.len() as f64;
        let extra = sharers.instances.map_or(0.0, |n| self.limit.extra / n.max(1) as f64);
        let running = now.since(self.started).as_secs_f64() / self.retry_memory().as_secs_f64();
        if sharers.may_have_predecessor && running < 1.0 {
            USABLE_SHARE_AFTER_START * (by_requests + extra * running)
        } else {
            USABLE_SHARE * (by_requests + extra)
        }
    }

    /// Returns the number of retries that this instance has sent within that time.
    pub fn spent(&self) -> usize {
        self.retry_times.len()
    }

    fn evict_expired(&mut self, now: time::Time) {
        let retry_memory = self.retry_memory();
        for (times, memory) in [
            (&mut self.request_times, self.limit.window),
            (&mut self.retry_times, retry_memory),
        ] {
            while times.front().is_some_and(|t| now.since(*t) > memory) {
                times.pop_front();
            }
        }
    }

    /// Returns how long retries count. Those that a link has held back arrive together with later ones.
    fn retry_memory(&self) -> Duration {
        self.limit.window + MAX_SILENCE
    }
}
