//! What a gateway that was told to stop still takes.
//!
//! The balancer goes on sending new connections for a while, and for longer when most of a failure domain is leaving. A
//! request that might still be at work when the process is killed is refused at once, so that its caller goes elsewhere.

use std::time::Duration;

/// Time after the order to stop in which everything is taken: the balancer has not noticed yet.
pub const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_700);
/// Part of the grace at its end that is left for closing.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(300);

/// Whether a request that may take up to `max_duration` is taken `since_stop` the order to stop, with `grace` until the kill.
pub fn accepts_requests(since_stop: Option<Duration>, grace: Duration, max_duration: Duration) -> bool {
    since_stop
        .is_none_or(|since_stop| since_stop <= ACCEPT_ALL_PERIOD || since_stop + max_duration + CLOSE_MARGIN <= grace)
}
