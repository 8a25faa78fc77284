//! Tracks when the declarations in force were last confirmed to be the newest.
//!
//! Keys can be revoked while an instance can't reach the table. A key is therefore honoured only for a limited time
//! after a read that confirmed it. Since the response to a read may be delayed, the limit counts from a time at which
//! the table is known to have held nothing newer: the time at which the read was sent, or the time that
//! [`table_clock`](crate::direct::table_clock) derives. The clock that supplies `now` must keep advancing while the
//! machine is suspended.

use std::time::Duration;

use crate::time;

/// Part of the revocation limit that is reserved for forwarding a request to its endpoint and for late timers.
const FORWARDING_MARGIN: Duration = Duration::from_millis(400);

/// The time of the last confirmation of the declarations in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    /// Latest time at which the table is known to have held nothing newer.
    confirmed_at: Option<time::Time>,
}

impl Freshness {
    /// Records that the declarations in force were the newest at `as_of`.
    pub fn confirm(&mut self, as_of: time::Time) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records that the declarations in force are known not to be the newest.
    pub fn refute(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns the age of the last confirmation, or `None` before the first one.
    pub fn age(&self, now: time::Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether keys may be honoured at `now` when a revocation must take effect within `revocation_limit`.
    pub fn allows_keys(&self, now: time::Time, revocation_limit: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age + FORWARDING_MARGIN < revocation_limit)
    }
}
