//! Requests that a draining gateway accepts, and what its stop waits for.

use std::time::Duration;

use rstest::rstest;
use sycamorestile_core::direct::drain::{self, Owed, StopPhase};

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

const NOTHING: Owed = Owed {
    connections: 0,
    heads: 0,
    requests: 0,
};
const IDLE_CONNECTION: Owed = Owed {
    connections: 1,
    ..NOTHING
};
const HEAD: Owed = Owed {
    connections: 1,
    heads: 1,
    ..NOTHING
};
const REQUEST: Owed = Owed {
    connections: 1,
    requests: 1,
    ..NOTHING
};

// Guards against a process that ends at a fixed time after it once found nothing in flight.
#[rstest]
#[case::balancer_has_not_noticed(StopPhase::Accepting, 2_500, NOTHING, StopPhase::Accepting)]
#[case::balancer_has_noticed(StopPhase::Accepting, 2_600, IDLE_CONNECTION, StopPhase::Finishing)]
#[case::request_in_flight(StopPhase::Accepting, 2_600, REQUEST, StopPhase::Accepting)]
#[case::head_has_begun(StopPhase::Accepting, 2_600, HEAD, StopPhase::Accepting)]
#[case::last_moment_to_accept(StopPhase::Accepting, 7_450, REQUEST, StopPhase::Finishing)]
#[case::nothing_is_open(StopPhase::Finishing, 2_600, NOTHING, StopPhase::Over)]
#[case::connection_is_open(StopPhase::Finishing, 2_900, IDLE_CONNECTION, StopPhase::Finishing)]
#[case::request_after_the_last_connection(StopPhase::Finishing, 7_000, REQUEST, StopPhase::Finishing)]
#[case::final_responses_are_due(StopPhase::Finishing, 7_700, REQUEST, StopPhase::Ending)]
#[case::final_responses_are_written(StopPhase::Ending, 7_750, NOTHING, StopPhase::Over)]
#[case::kill_is_near(StopPhase::Ending, 7_900, REQUEST, StopPhase::Over)]
fn a_stop_waits_for_what_is_owed(
    #[case] phase: StopPhase,
    #[case] since_stop: u64,
    #[case] owed: Owed,
    #[case] expected: StopPhase,
) {
    let next = drain::next_phase(phase, Duration::from_millis(since_stop), GRACE, owed);
    assert_eq!(next, expected);
}

// Guards against a stop that outlasts its grace period, or that ends without the phase of final responses.
#[rstest]
#[case::shorter_than_the_balancer_needs(1_000)]
#[case::shorter_than_the_margins(200)]
#[case::usual(8_000)]
fn a_stop_ends_within_its_grace_period_whatever_is_owed(#[case] grace_ms: u64) {
    let grace = Duration::from_millis(grace_ms);
    let mut phase = StopPhase::Accepting;
    let mut passed = vec![phase];
    for ms in 0..=grace_ms {
        let next = drain::next_phase(phase, Duration::from_millis(ms), grace, REQUEST);
        if next != phase {
            passed.push(next);
            phase = next;
        }
    }
    let all = [
        StopPhase::Accepting,
        StopPhase::Finishing,
        StopPhase::Ending,
        StopPhase::Over,
    ];
    assert_eq!(passed, all);
}
