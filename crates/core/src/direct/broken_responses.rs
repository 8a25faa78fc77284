//! Responses that broke off at endpoints which still accept connections.
//!
//! Load condition addressed: a request crashes every endpoint that runs it, and each is back before it is asked whether it
//! crashed, or something else holds its listener open. A connection that is reset on the way looks the same. The table
//! tells them apart: it lists another process at the endpoint's address soon after a crash.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::{crash_record, endpoint};
use crate::time;

/// Longest time from a crash until the table lists the next process.
const MAX_REPLACEMENT_TIME: Duration = Duration::from_secs(5);
/// Upper bound of the number of responses kept. The newest count, since the oldest are the next to expire.
const MAX_RESPONSES: usize = 64;

/// A response that broke off.
#[derive(Debug, Clone)]
pub struct BrokenResponse {
    /// The endpoint, as it was listed then.
    pub endpoint: Arc<endpoint::Endpoint>,
    /// What of the request may be to blame if the endpoint crashed.
    pub suspects: crash_record::OwnedSuspects,
    /// When it broke off.
    pub at: time::Time,
}

impl BrokenResponse {
    /// Returns whether `listed` is a later process at the same address.
    fn is_replaced_by(&self, listed: &endpoint::Endpoint) -> bool {
        let starts = self.endpoint.started_at_ms.zip(listed.started_at_ms);
        let is_later = starts.is_some_and(|(former, listed)| listed > former);
        listed.addr == self.endpoint.addr && listed.service == self.endpoint.service && is_later
    }
}

/// Broken responses of the last seconds.
#[derive(Debug, Clone, Default)]
pub struct BrokenResponses {
    /// Oldest first, at most [`MAX_RESPONSES`].
    responses: VecDeque<BrokenResponse>,
}

impl BrokenResponses {
    /// Records a response that broke off.
    pub fn record(&mut self, response: BrokenResponse) {
        if self.responses.len() >= MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back(response);
    }

    /// Takes the responses whose endpoints have crashed, since `listed` has later processes at their addresses, and
    /// forgets those that are too old to tell.
    pub fn take_crashed(&mut self, listed: &[Arc<endpoint::Endpoint>], now: time::Time) -> Vec<BrokenResponse> {
        let (crashed, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.responses)
            .into_iter()
            .filter(|r| now.since(r.at) <= MAX_REPLACEMENT_TIME)
            .partition(|r| listed.iter().any(|l| r.is_replaced_by(l)));
        self.responses = open.into();
        crashed
    }
}
