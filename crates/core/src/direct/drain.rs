//! Decides which requests a draining gateway still accepts.
//!
//! The load balancer in front of the gateways keeps sending new connections for a while after a gateway starts to
//! drain, and for longer when most gateways of a failure domain drain. A request that might still run when the process
//! is killed is refused at once, so that its caller can use another gateway.

use std::time::Duration;

/// Time after the stop signal during which all requests are accepted, since the load balancer has not yet noticed.
pub const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_700);
/// Part at the end of the grace period that is reserved for closing connections.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(300);

/// Returns whether a gateway accepts a request that may take up to `max_duration`.
///
/// `since_stop` is the time since the stop signal, or `None` if the gateway is not draining. `grace` is the time from
/// the stop signal until the process is killed.
pub fn accepts_requests(since_stop: Option<Duration>, grace: Duration, max_duration: Duration) -> bool {
    since_stop
        .is_none_or(|since_stop| since_stop <= ACCEPT_ALL_PERIOD || since_stop + max_duration + CLOSE_MARGIN <= grace)
}
