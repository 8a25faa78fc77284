//! The attempts of one caller's request: which requests are sent again, and which outcome is reported to the caller.

use proptest::prelude::*;
use rstest::rstest;
use sycamorestile_core::direct::attempts::{FailureOutcome, NextAttempt, RequestAttempts};
use sycamorestile_core::direct::route::RouteKind;

/// The result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointResult {
    /// No connection was established.
    NoConnection,
    /// The endpoint refused the request and proved that it did not run it.
    Refused,
    /// The endpoint ran the request, and the response was lost.
    RanAndLost,
    /// The request was lost before the endpoint ran it.
    LostBeforeRun,
    /// The endpoint ran the request and failed.
    RanAndFailed,
}

fn results() -> impl Strategy<Value = Vec<EndpointResult>> {
    let result = prop_oneof![
        Just(EndpointResult::NoConnection),
        Just(EndpointResult::Refused),
        Just(EndpointResult::RanAndLost),
        Just(EndpointResult::LostBeforeRun),
        Just(EndpointResult::RanAndFailed),
    ];
    prop::collection::vec(result, 1..12)
}

fn kinds() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Safe),
        Just(RouteKind::Unsafe),
        Just(RouteKind::Stream { resumable: true }),
        Just(RouteKind::Stream { resumable: false }),
    ]
}

/// The course of one simulated request.
#[derive(Debug, Default)]
struct Simulation {
    sends: u32,
    runs: u32,
    outcome: Option<FailureOutcome>,
}

/// A fault of the driver that the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A lost response is reported as a failed connection.
    LossAsFailedConnect,
    /// A failure is reported as a refusal, which proves that the request did not run.
    FailureAsRefusal,
    /// When the deadline expires, the reported outcome is that from before the last attempt.
    OutcomeBeforeLastSend,
}

fn simulate(kind: RouteKind, attempts: u32, results: &[EndpointResult]) -> Simulation {
    simulate_with_fault(kind, attempts, results, None)
}

fn simulate_with_fault(kind: RouteKind, attempts: u32, results: &[EndpointResult], fault: Option<Fault>) -> Simulation {
    let mut state = RequestAttempts::new(kind, attempts);
    let mut sim = Simulation::default();
    let mut previous_outcome = state.failure_outcome();
    for result in results {
        previous_outcome = state.failure_outcome();
        if *result != EndpointResult::NoConnection {
            state.start();
            sim.sends += 1;
        }
        let next = match result {
            EndpointResult::NoConnection => state.not_sent(),
            EndpointResult::Refused => state.refused(),
            EndpointResult::RanAndLost | EndpointResult::LostBeforeRun => {
                sim.runs += u32::from(*result == EndpointResult::RanAndLost);
                if fault == Some(Fault::LossAsFailedConnect) {
                    state.not_sent()
                } else {
                    state.lost()
                }
            }
            EndpointResult::RanAndFailed => {
                sim.runs += 1;
                if fault == Some(Fault::FailureAsRefusal) {
                    state.refused()
                } else {
                    state.failed()
                }
            }
        };
        if let NextAttempt::End(outcome) = next {
            sim.outcome = Some(outcome);
            return sim;
        }
    }
    // The deadline expired, or the retry budget was used up.
    sim.outcome = Some(if fault == Some(Fault::OutcomeBeforeLastSend) {
        previous_outcome
    } else {
        state.failure_outcome()
    });
    sim
}

/// Returns whether a request was reported as not run although it ran, ran more often than its route allows, or was sent
/// more often than `attempts`.
fn violates_contract(kind: RouteKind, attempts: u32, sim: &Simulation) -> bool {
    let once = matches!(kind, RouteKind::Unsafe | RouteKind::Stream { resumable: false });
    let wrong_outcome = sim.outcome == Some(FailureOutcome::NotRun) && sim.runs > 0;
    wrong_outcome || (once && sim.runs > 1) || sim.sends > attempts
}

/// Calls `visit` with every sequence of up to [`MAX_SENDS`] results.
fn for_each_sequence<F>(mut visit: F)
where
    F: FnMut(&[EndpointResult]),
{
    const RESULTS: [EndpointResult; 5] = [
        EndpointResult::NoConnection,
        EndpointResult::Refused,
        EndpointResult::RanAndLost,
        EndpointResult::LostBeforeRun,
        EndpointResult::RanAndFailed,
    ];
    let mut pending: Vec<Vec<EndpointResult>> = vec![Vec::new()];
    while let Some(sequence) = pending.pop() {
        visit(&sequence);
        if sequence.len() < MAX_SENDS {
            pending.extend(RESULTS.iter().map(|result| [sequence.as_slice(), &[*result]].concat()));
        }
    }
}

/// Length of the longest sequences. A request with up to four attempts ends after at most six results.
const MAX_SENDS: usize = 6;
const KINDS: [RouteKind; 4] = [
    RouteKind::Safe,
    RouteKind::Unsafe,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];

fn violations(fault: Option<Fault>) -> usize {
    let mut count = 0;
    for_each_sequence(|results| {
        for kind in KINDS {
            for attempts in 1..=4 {
                let sim = simulate_with_fault(kind, attempts, results, fault);
                count += usize::from(violates_contract(kind, attempts, &sim));
            }
        }
    });
    count
}

#[test]
fn no_sequence_of_six_sends_violates_the_contract() {
    assert_eq!(violations(None), 0);
}

#[rstest]
#[case::loss_as_failed_connect(Fault::LossAsFailedConnect)]
#[case::failure_as_refusal(Fault::FailureAsRefusal)]
#[case::outcome_before_last_send(Fault::OutcomeBeforeLastSend)]
fn injected_faults_are_detected(#[case] fault: Fault) {
    assert!(violations(Some(fault)) > 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    #[test]
    fn a_request_reported_as_not_run_did_not_run(kind in kinds(), attempts in 1_u32..5, results in results()) {
        let sim = simulate(kind, attempts, &results);
        if sim.outcome == Some(FailureOutcome::NotRun) {
            prop_assert_eq!(sim.runs, 0);
        }
    }

    #[test]
    fn requests_that_may_run_once_run_at_most_once(attempts in 1_u32..5, results in results()) {
        prop_assert!(simulate(RouteKind::Unsafe, attempts, &results).runs <= 1);
        let stream = RouteKind::Stream { resumable: false };
        prop_assert!(simulate(stream, attempts, &results).runs <= 1);
    }

    #[test]
    fn sends_do_not_exceed_the_limit_of_the_route(kind in kinds(), attempts in 1_u32..5, results in results()) {
        prop_assert!(simulate(kind, attempts, &results).sends <= attempts);
    }
}

#[test]
fn a_pending_send_is_never_reported_as_not_run() {
    let mut state = RequestAttempts::new(RouteKind::Unsafe, 1);
    assert_eq!(state.failure_outcome(), FailureOutcome::NotRun);
    state.start();
    assert_eq!(state.failure_outcome(), FailureOutcome::Unknown);
}

// Guards against a promise that a request did not run, while an earlier attempt goes on beside the one that was refused.
#[test]
fn request_beside_an_attempt_that_was_set_aside_may_have_run() {
    let mut attempts = RequestAttempts::new(RouteKind::Safe, 2);
    attempts.start();
    attempts.set_aside();
    attempts.start();
    assert_eq!(attempts.refused(), NextAttempt::End(FailureOutcome::Unknown));
    assert_eq!(attempts.failure_outcome(), FailureOutcome::Unknown);
}

// Guards against an attempt too many, after one that was withdrawn before its result was known.
#[test]
fn withdrawn_attempt_counts_as_sent() {
    let mut attempts = RequestAttempts::new(RouteKind::Stream { resumable: true }, 2);
    attempts.start();
    attempts.set_aside();
    attempts.start();
    attempts.set_aside();
    assert_eq!(attempts.sent_count(), 2);
    attempts.not_sent();
    assert_eq!(attempts.sent_count(), 2);
    assert!(!attempts.may_abandon());
}
