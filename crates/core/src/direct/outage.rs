//! Distinguishes the outage of a whole service from the failure of one endpoint or connection.
//!
//! Load condition addressed: a lock-step group of which one rank has failed or can't be reached. All ranks then stall
//! together and refuse requests until the group has re-formed. Attempts at other ranks would only add to the requests
//! that wait, so new requests are refused at once, except for periodic probes. For the same reason, a silent request or
//! stream is continued at another endpoint only while the rest of its service makes progress.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::response_time;
use crate::time;

/// Number of distinct endpoints that must have failed since the last progress for the service to count as unavailable.
const MIN_FAILED_ENDPOINTS: usize = 2;
/// Interval between probes while a service is unavailable. A group re-forms within a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Age at which failures no longer count, since the group may have recovered while no requests were sent.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(3);
/// Silence of one stream after which its connection counts as stalled while its service makes progress. Lasts many
/// passes.
const STALLED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the last progress up to which a service counts as making progress. Lasts a few passes.
const PROGRESS_MAX_AGE: Duration = Duration::from_millis(400);

/// Age at which an endpoint's last progress is forgotten.
const ENDPOINT_PROGRESS_MAX_AGE: Duration = Duration::from_secs(10);

/// Recent failures and progress of a service's requests.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    /// When data of a response last arrived from any endpoint.
    last_progress: time::Time,
    /// When data of a response last arrived from each endpoint, sorted by endpoint.
    endpoint_progress: Vec<(Arc<str>, time::Time)>,
    /// The time that endpoints take to begin a streamed response.
    response_time: response_time::ResponseTime,
    /// Endpoints that refused because of another endpoint or did not respond since the last progress, with the time of
    /// the last such failure.
    failures: Vec<(Arc<str>, time::Time)>,
    /// When the last probe was allowed.
    last_probe: time::Time,
}

/// What to do with a new request to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageAction {
    /// Send it; the service is not known to be unavailable.
    Allow,
    /// Send it as a probe; the service is unavailable and may have recovered.
    Probe,
    /// Refuse it; the service is unavailable.
    Reject,
}

impl OutageDetector {
    /// Records that data of a response arrived from `endpoint`.
    pub fn record_progress(&mut self, endpoint: &Arc<str>, now: time::Time) {
        self.last_progress = now;
        self.failures.clear();
        match self.endpoint_progress.binary_search_by(|(id, _)| id.cmp(endpoint)) {
            Ok(at) => self.endpoint_progress[at].1 = now,
            Err(at) => {
                self.endpoint_progress.insert(at, (Arc::clone(endpoint), now));
                self.endpoint_progress
                    .retain(|(_, at)| now.since(*at) < ENDPOINT_PROGRESS_MAX_AGE);
            }
        }
    }

    /// Records that `endpoint` began its streamed response `took` after the request was sent.
    pub fn record_response_start(&mut self, endpoint: &Arc<str>, took: Duration, now: time::Time) {
        self.response_time.record(took);
        self.record_progress(endpoint, now);
    }

    /// Records that `endpoint` refused a request because of another endpoint, or did not respond in time. Other refusals
    /// and failures concern `endpoint` alone and must not be recorded here.
    pub fn record_failure(&mut self, endpoint: &Arc<str>, now: time::Time) {
        self.failures
            .retain(|(id, at)| id != endpoint && now.since(*at) < FAILURE_MAX_AGE);
        self.failures.push((Arc::clone(endpoint), now));
    }

    /// Returns the mean time that a streamed response takes to begin.
    pub fn mean_response_time(&self) -> Duration {
        self.response_time.mean()
    }

    /// Returns whether the service is unavailable.
    pub fn is_unavailable(&self, now: time::Time) -> bool {
        let recent = self.failures.iter().filter(|(_, at)| now.since(*at) < FAILURE_MAX_AGE);
        recent.count() >= MIN_FAILED_ENDPOINTS
    }

    /// Returns what to do with a new request. Counts the request as a probe if it may be sent as one.
    pub fn next_action(&mut self, now: time::Time) -> OutageAction {
        if !self.is_unavailable(now) {
            OutageAction::Allow
        } else if now.since(self.last_probe) >= PROBE_INTERVAL {
            self.last_probe = now;
            OutageAction::Probe
        } else {
            OutageAction::Reject
        }
    }

    /// Returns whether the connection of a stream that has been silent for `silence` counts as stalled. While no stream
    /// of the service makes progress, the connection is not considered the cause.
    pub fn is_stalled_connection(&self, silence: Duration, now: time::Time) -> bool {
        silence >= STALLED_CONNECTION_TIMEOUT && self.makes_progress(now)
    }

    /// Returns whether a request that was sent to `endpoint` `waited` ago, and whose response has not begun, counts as
    /// stalled.
    ///
    /// A request may wait in the queue of a busy endpoint. An endpoint that is only busy continues its other streams,
    /// and keeps no request waiting much longer than the other endpoints of its service.
    pub fn is_stalled_request(&self, endpoint: &str, waited: Duration, now: time::Time) -> bool {
        let heard = self
            .endpoint_progress
            .binary_search_by(|(id, _)| id.as_ref().cmp(endpoint));
        let silence = heard.map_or(waited, |at| now.since(self.endpoint_progress[at].1).min(waited));
        let limit = self.response_time.upper_bound().max(STALLED_CONNECTION_TIMEOUT);
        silence >= STALLED_CONNECTION_TIMEOUT && waited >= limit && self.makes_progress(now)
    }

    /// Returns whether any stream of the service has recently progressed.
    fn makes_progress(&self, now: time::Time) -> bool {
        now.since(self.last_progress) <= PROGRESS_MAX_AGE
    }
}
