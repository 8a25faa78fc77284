//! How long ago the declarations in force were known to be the newest.
//!
//! Keys can be revoked while an instance is out of touch. A key is therefore honoured only for a bounded time after a
//! read that confirmed it, counted from a time at which the table surely held nothing newer: when the read was sent, or
//! what [`table_clock`](crate::direct::table_clock) makes of it. Its answer may have been on its way for long. The
//! driver's clock has to go on while the machine is suspended.

use std::time::Duration;

use crate::time;

/// Part of the bound that is left for the way to the endpoint and for late timers.
const FORWARDING_MARGIN: Duration = Duration::from_millis(400);

/// When the declarations were last confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    /// A time at which the table held nothing newer.
    confirmed_at: Option<time::Time>,
}

impl Freshness {
    /// Notes that the declarations in force were the newest at `as_of`.
    pub fn confirm(&mut self, as_of: time::Time) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age(&self, now: time::Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether keys may be honoured at `now` when a revocation has to bind within `revocation_limit`.
    pub fn allows_keys(&self, now: time::Time, revocation_limit: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age + FORWARDING_MARGIN < revocation_limit)
    }
}
