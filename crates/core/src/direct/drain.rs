//! Decides how a gateway stops: which requests it still accepts, and what it waits for.
//!
//! Load condition addressed: the load balancer in front of the gateways keeps sending new connections for a while after a
//! gateway starts to drain, and for longer when most gateways of a failure domain drain. Requests arrive until the last
//! moment, heads arrive slowly, endpoints take their time, and callers read slowly.
//!
//! A request that might still run when the process is killed is refused at once, so that its caller can use another
//! gateway. For everything else that has begun, the process waits until its last byte is written, or until it is about to
//! be killed.

use std::time::Duration;

/// Time after the stop signal during which all requests are accepted, since the load balancer has not yet noticed.
pub const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_700);
/// Part at the end of the grace period that is reserved for the responses to requests that are not complete.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(300);
/// Time after which a connection without any request is closed once no more connections are accepted.
pub const UNUSED_CONNECTION_TIME: Duration = Duration::from_millis(250);

/// Time after the stop signal for which new connections are accepted at least. The load balancer checks readiness once a
/// second and stops sending new connections after two failed checks.
const MIN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);
/// Part at the end of the grace period in which the process exits, whatever is still open.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// A phase of a stop, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    Running,
    /// The load balancer may still send connections, which are accepted.
    Accepting,
    /// No more connections are accepted. What has begun on the open ones is completed.
    Finishing,
    /// The process is about to be killed. Requests that are not complete get their final response.
    Ending,
    /// The process exits.
    Over,
}

/// What callers are owed by a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Owed {
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections on which a request head has begun and is not complete.
    pub heads: usize,
    /// Number of requests whose heads were read and whose responses are not completely written.
    pub requests: usize,
}

/// Returns the phase that follows `phase`, or `phase` itself.
///
/// `since_stop` is the time since the stop signal, and `grace` the time from that signal until the process is killed.
pub fn next_phase(phase: StopPhase, since_stop: Duration, grace: Duration, owed: Owed) -> StopPhase {
    let end = grace.saturating_sub(CLOSE_MARGIN);
    let last_accept = end.saturating_sub(UNUSED_CONNECTION_TIME);
    let has_begun = owed.requests > 0 || owed.heads > 0;
    match phase {
        StopPhase::Accepting if since_stop >= last_accept || (since_stop >= MIN_ACCEPT_PERIOD && !has_begun) => {
            StopPhase::Finishing
        }
        StopPhase::Finishing | StopPhase::Ending if owed.connections == 0 => StopPhase::Over,
        StopPhase::Finishing if since_stop >= end => StopPhase::Ending,
        StopPhase::Ending if since_stop >= grace.saturating_sub(EXIT_MARGIN) => StopPhase::Over,
        _ => phase,
    }
}

/// Returns whether a gateway accepts a request that may take up to `max_duration`.
///
/// `since_stop` is the time since the stop signal, or `None` if the gateway is not draining. `grace` is the time from
/// the stop signal until the process is killed.
pub fn accepts_requests(since_stop: Option<Duration>, grace: Duration, max_duration: Duration) -> bool {
    since_stop
        .is_none_or(|since_stop| since_stop <= ACCEPT_ALL_PERIOD || since_stop + max_duration + CLOSE_MARGIN <= grace)
}
