//! The rate limit of one endpoint, and this instance's share of it.

use std::sync::Arc;
use std::time::Duration;

use crate::rendezvous;
use crate::time;

/// Number of requests that a holder may send at once, in addition to [`BURST_TIME`] of its share.
const MIN_BURST: f64 = 1.0;
/// Time for which a holder may save up its share.
const BURST_TIME: Duration = Duration::from_millis(250);

/// What an endpoint last said about its limit, and this instance's share of it.
#[derive(Debug, Clone)]
pub(super) struct Limit {
    pub(super) endpoint: Arc<str>,
    /// Requests per second that it takes; `None` if it named no limit any more.
    pub(super) per_second: Option<f64>,
    pub(super) observed_at: time::Time,
    /// Requests per second that this instance may send; 0 unless it is a holder.
    pub(super) share: f64,
    /// Number of requests that this instance might send at `updated_at`.
    allowance: f64,
    updated_at: time::Time,
}

impl Limit {
    /// Creates a limit of which nothing is known yet.
    pub(super) fn new(endpoint: &Arc<str>, observed_at: time::Time, now: time::Time) -> Self {
        Self {
            endpoint: Arc::clone(endpoint),
            per_second: None,
            observed_at,
            share: 0.0,
            allowance: 0.0,
            updated_at: now,
        }
    }

    /// Records that a request is sent.
    pub(super) fn spend(&mut self, now: time::Time) {
        self.allowance = self.allowance(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the number of requests that this instance may send now.
    pub(super) fn allowance(&self, now: time::Time) -> f64 {
        let gained = self.share * now.since(self.updated_at).as_secs_f64();
        (self.allowance + gained).min(MIN_BURST + self.share * BURST_TIME.as_secs_f64())
    }

    /// Determines this instance's share of the limit.
    pub(super) fn set_share(&mut self, own_instance: &Arc<str>, instances: &[Arc<str>], now: time::Time) {
        self.allowance = self.allowance(now);
        self.updated_at = now;
        let per_second = self.per_second.unwrap_or_default();
        // One holder for each request per second, so that their bursts stay small against the limit.
        let count = (per_second as usize).saturating_add(1).min(instances.len());
        let holders = rendezvous::choose(self.endpoint.as_bytes(), instances, count);
        self.share = if holders.contains(&own_instance) {
            per_second / count as f64
        } else {
            0.0
        };
    }
}
