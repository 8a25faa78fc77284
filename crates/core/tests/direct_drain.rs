//! What a leaving gateway takes.

use std::time::Duration;

use rstest::rstest;
use sycamorestile_core::direct::drain;

const GRACE: Duration = Duration::from_secs(8);

#[rstest]
#[case::not_leaving(None, 8_000, true)]
#[case::balancer_has_not_noticed(Some(2_000), 8_000, true)]
#[case::stream_that_may_be_cut(Some(6_000), 8_000, false)]
#[case::short_call_that_ends_in_time(Some(6_000), 800, true)]
#[case::short_call_at_the_end(Some(7_200), 800, false)]
fn takes_only_what_ends_before_the_kill(#[case] since: Option<u64>, #[case] patience: u64, #[case] expected: bool) {
    let taken = drain::accepts_requests(since.map(Duration::from_millis), GRACE, Duration::from_millis(patience));
    assert_eq!(taken, expected);
}
