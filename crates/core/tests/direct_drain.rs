//! Requests that a draining gateway accepts.

use std::time::Duration;

use rstest::rstest;
use sycamorestile_core::direct::drain;

const GRACE: Duration = Duration::from_secs(8);

#[rstest]
#[case::not_draining(None, 8_000, true)]
#[case::balancer_has_not_noticed(Some(2_000), 8_000, true)]
#[case::stream_that_may_outlast_the_grace(Some(6_000), 8_000, false)]
#[case::short_request_that_ends_in_time(Some(6_000), 800, true)]
#[case::short_request_too_close_to_the_end(Some(7_200), 800, false)]
fn accepts_only_requests_that_end_before_the_kill(
    #[case] since_stop: Option<u64>,
    #[case] max_duration: u64,
    #[case] expected: bool,
) {
    let accepted = drain::accepts_requests(
        since_stop.map(Duration::from_millis),
        GRACE,
        Duration::from_millis(max_duration),
    );
    assert_eq!(accepted, expected);
}
