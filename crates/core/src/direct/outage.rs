//! Whether a whole service stands still, or one endpoint or connection does.
//!
//! The load it answers: a lock-step group of which one rank is lost or cut off. All ranks then stall together and refuse
//! together until the group has formed again. Trying another rank only adds to the crowd that waits, so new requests are
//! refused at once, but for a probe now and then, and a silent stream is continued elsewhere only while the rest of its
//! service goes on.

use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Endpoints that must have refused or gone silent since the last progress for the service to count as out.
const MIN_FAILED_ENDPOINTS: usize = 2;
/// Interval of probes while a service is out. A group forms again within a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Age at which troubles are forgotten: the group may be back without anybody having tried.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(3);
/// Silence of one stream, while its service goes on, after which its connection counts as lost. Many passes long.
const STALLED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Progress elsewhere that is no older than this means that the service goes on. A few passes long.
const PROGRESS_MAX_AGE: Duration = Duration::from_millis(400);

/// What a service's requests met lately.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    /// When an event or whole answer last came from any endpoint.
    last_progress: time::Time,
    /// Endpoints that refused for another one's sake or went silent since, and when.
    failures: Vec<(Arc<str>, time::Time)>,
    /// When the last probe was let through.
    last_probe: time::Time,
}

/// What becomes of a request to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageAction {
    /// The service works as far as is known.
    Allow,
    /// The service is out; this request finds out whether it is back.
    Probe,
    /// The service is out.
    Reject,
}

impl OutageDetector {
    /// Something came from an endpoint.
    pub fn record_progress(&mut self, now: time::Time) {
        self.last_progress = now;
        self.failures.clear();
    }

    /// `endpoint` refused for another endpoint's sake, or went silent.
    pub fn record_failure(&mut self, endpoint: &Arc<str>, now: time::Time) {
        self.failures
            .retain(|(id, at)| id != endpoint && now.since(*at) < FAILURE_MAX_AGE);
        self.failures.push((Arc::clone(endpoint), now));
    }

    /// Whether the service is out.
    pub fn is_unavailable(&self, now: time::Time) -> bool {
        let recent = self.failures.iter().filter(|(_, at)| now.since(*at) < FAILURE_MAX_AGE);
        recent.count() >= MIN_FAILED_ENDPOINTS
    }

    /// What becomes of a new request.
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

    /// Whether a stream that has been silent for `silence` has lost its connection: the rest of its service goes on.
    pub fn is_stalled_connection(&self, silence: Duration, now: time::Time) -> bool {
        silence >= STALLED_CONNECTION_TIMEOUT && now.since(self.last_progress) <= PROGRESS_MAX_AGE
    }
}
