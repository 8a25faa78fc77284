//! What endpoints ask of this instance, and which of them may therefore get a request now.
//!
//! An endpoint is asked about in this order, from what binds longest to what is only preferred:
//!
//! 1. It has not [withdrawn](withdrawals) from this instance: it doesn't leave, and no pause is running.
//! 2. Its [rate limit](rate_limits) allows this instance a request.
//! 3. It is not in backoff after failures, unless all that are left are ([`placement`](crate::direct::placement)).
//! 4. It has the least load of a random sample, with a small preference for the own failure domain (there, too).
//!
//! The first two are promises and end in a refusal if no endpoint is left. The other two are guesses.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::{endpoint, rate_limits, withdrawals};
use crate::time;

/// Why no endpoint of a service may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// All endpoints leave.
    Leaving,
    /// All endpoints that don't leave have asked for a pause.
    Paused,
    /// The rate limits of the endpoints that are left allow no request.
    RateLimited,
}

/// A service that has endpoints, of which none may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailability {
    /// The reason.
    pub cause: Cause,
    /// The time until an endpoint may get a request, if it is known.
    pub wait: Option<Duration>,
}

/// What endpoints ask of this instance.
#[derive(Debug, Clone)]
pub struct Restrictions {
    /// The endpoints that have withdrawn from this instance.
    pub withdrawals: withdrawals::Withdrawals,
    /// The rates that endpoints take from all instances together.
    pub rate_limits: rate_limits::RateLimits,
}

impl Restrictions {
    /// Creates the restrictions of `own_instance`, of which no endpoint has asked anything yet.
    pub fn new(own_instance: Arc<str>) -> Self {
        Self {
            withdrawals: withdrawals::Withdrawals::default(),
            rate_limits: rate_limits::RateLimits::new(own_instance),
        }
    }

    /// Returns those of `endpoints` that may get a request now.
    pub fn allowed<'a>(
        &self,
        endpoints: &'a [Arc<endpoint::Endpoint>],
        now: time::Time,
    ) -> Cow<'a, [Arc<endpoint::Endpoint>]> {
        if !self.withdrawals.is_any() && !self.rate_limits.is_any() {
            return Cow::Borrowed(endpoints);
        }
        Cow::Owned(endpoints.iter().filter(|e| self.allows(e, now)).cloned().collect())
    }

    /// Returns why none of `endpoints` may get a request, or `None` if there are none or one of them may.
    pub fn unavailability(&self, endpoints: &[Arc<endpoint::Endpoint>], now: time::Time) -> Option<Unavailability> {
        if endpoints.is_empty() || endpoints.iter().any(|e| self.allows(e, now)) {
            return None;
        }
        let availabilities = endpoints.iter().map(|e| self.withdrawals.availability(e, now));
        let cause = availabilities.fold(Cause::Leaving, |cause, availability| match (cause, availability) {
            (_, withdrawals::Availability::Open) | (Cause::RateLimited, _) => Cause::RateLimited,
            (_, withdrawals::Availability::Paused(_)) => Cause::Paused,
            (cause, withdrawals::Availability::Leaving) => cause,
        });
        let wait = endpoints.iter().filter_map(|e| self.wait(e, now)).min();
        Some(Unavailability { cause, wait })
    }

    fn allows(&self, endpoint: &endpoint::Endpoint, now: time::Time) -> bool {
        self.withdrawals.availability(endpoint, now) == withdrawals::Availability::Open
            && self.rate_limits.allows(&endpoint.id, now)
    }

    /// Returns the time until `endpoint` may get a request, or `None` if that is not known.
    fn wait(&self, endpoint: &endpoint::Endpoint, now: time::Time) -> Option<Duration> {
        match self.withdrawals.availability(endpoint, now) {
            withdrawals::Availability::Leaving => None,
            withdrawals::Availability::Paused(remaining) if self.rate_limits.allows(&endpoint.id, now) => {
                Some(remaining)
            }
            withdrawals::Availability::Paused(remaining) => {
                self.rate_limits.wait(&endpoint.id, now).map(|wait| wait.max(remaining))
            }
            withdrawals::Availability::Open => self.rate_limits.wait(&endpoint.id, now),
        }
    }
}
