//! One instance's share of a retry budget that all instances use.
//!
//! In any window, all instances together may send a service `ratio` retries per request plus `extra` retries. Each
//! instance limits itself to `ratio` times its own requests plus an equal part of `extra`. The sum stays within the
//! budget however requests are spread over the instances, and no coordination is needed.
//!
//! A process doesn't know what was spent before its start: by a former process of its instance, or by the instances that
//! an added one shares the budget with. For the length of a window and a silence, it therefore uses a smaller part of its
//! share, which is free even if the others used all of theirs. A draining process does the same, since the next process
//! of its instance may run beside it.

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

impl RetryLimit {
    /// Returns how long retries count. Those that a link has held back arrive together with later ones.
    pub fn memory(&self) -> Duration {
        self.window + MAX_SILENCE
    }
}

/// What an instance knows of the processes with which it shares a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Largest number of instances, including this one, within the limit's memory. `None` until they are known; nothing
    /// of the fixed part is used then.
    pub instances: Option<usize>,
    /// Whether the whole system started with this process, so that no process has spent anything before.
    pub is_system_start: bool,
    /// Whether this process is draining.
    pub is_draining: bool,
}

/// Part of the share that an instance uses, so that the budget also holds in windows that begin at other times.
const USABLE_SHARE: f64 = 0.7;
/// The same for a process that started within the window or is draining. Both parts together are the whole share.
const USABLE_SHARE_BESIDE_OTHERS: f64 = 0.3;

/// Longest time for which a silent link holds back what was sent. Connections with unacknowledged data are closed then.
pub const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Time after which processes that start at the same moment know each other.
const SETTLING_TIME: Duration = Duration::from_secs(4);

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
        let free_part = if sharers.is_system_start {
            1.0
        } else {
            self.free_part(now)
        };
        let usable = if free_part < 1.0 || sharers.is_draining {
            USABLE_SHARE_BESIDE_OTHERS
        } else {
            USABLE_SHARE
        };
        usable * (by_requests + extra * free_part)
    }

    /// Returns the part of the fixed share that was not used before the process started. It grows from 0 to 1 while what
    /// others may have spent leaves the window.
    fn free_part(&self, now: time::Time) -> f64 {
        let settled = now.since(self.started).saturating_sub(SETTLING_TIME);
        let growing = self.limit.memory().saturating_sub(SETTLING_TIME);
        (settled.as_secs_f64() / growing.as_secs_f64().max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the number of retries that this instance has sent within that time.
    pub fn spent(&self) -> usize {
        self.retry_times.len()
    }

    fn evict_expired(&mut self, now: time::Time) {
        for (times, memory) in [
            (&mut self.request_times, self.limit.window),
            (&mut self.retry_times, self.limit.memory()),
        ] {
            while times.front().is_some_and(|t| now.since(*t) > memory) {
                times.pop_front();
            }
        }
    }
}
