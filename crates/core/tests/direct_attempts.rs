//! The state machine of one caller's request: what may be repeated, and what a caller may be told.

use proptest::prelude::*;
use rstest::rstest;
use sycamorestile_core::direct::attempts::{FailureOutcome, NextAttempt, RequestAttempts};
use sycamorestile_core::direct::route::RouteKind;

/// What an endpoint did with one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// No connection.
    NoConnection,
    /// Refused, and proved not to have run.
    Refused,
    /// Ran, and the answer was lost.
    RanAndLost,
    /// Lost before it ran.
    LostBeforeRun,
    /// Ran and failed.
    RanAndFailed,
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        Just(Fate::NoConnection),
        Just(Fate::Refused),
        Just(Fate::RanAndLost),
        Just(Fate::LostBeforeRun),
        Just(Fate::RanAndFailed),
    ];
    prop::collection::vec(fate, 1..12)
}

fn kinds() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Safe),
        Just(RouteKind::Unsafe),
        Just(RouteKind::Stream { resumable: true }),
        Just(RouteKind::Stream { resumable: false }),
    ]
}

/// What became of a request.
#[derive(Debug, Default)]
struct Played {
    sends: u32,
    runs: u32,
    verdict: Option<FailureOutcome>,
}

/// A fault that the checks have to notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Planted {
    /// A lost answer is taken for a connection that never was.
    LossTakenForNoConnection,
    /// A failure is taken for a refusal that proves that nothing ran.
    FailureTakenForRefusal,
    /// What the caller is told when its time is up is taken from before the last send.
    VerdictFromBeforeTheSend,
}

fn play(kind: RouteKind, attempts: u32, fates: &[Fate]) -> Played {
    play_with(kind, attempts, fates, None)
}

fn play_with(kind: RouteKind, attempts: u32, fates: &[Fate], planted: Option<Planted>) -> Played {
    let mut relay = RequestAttempts::new(kind, attempts);
    let mut played = Played::default();
    let mut told = relay.failure_outcome();
    for fate in fates {
        told = relay.failure_outcome();
        if *fate != Fate::NoConnection {
            relay.start();
            played.sends += 1;
        }
        let next = match fate {
            Fate::NoConnection => relay.not_sent(),
            Fate::Refused => relay.refused(),
            Fate::RanAndLost | Fate::LostBeforeRun => {
                played.runs += u32::from(*fate == Fate::RanAndLost);
                if planted == Some(Planted::LossTakenForNoConnection) {
                    relay.not_sent()
                } else {
                    relay.lost()
                }
            }
            Fate::RanAndFailed => {
                played.runs += 1;
                if planted == Some(Planted::FailureTakenForRefusal) {
                    relay.refused()
                } else {
                    relay.failed()
                }
            }
        };
        if let NextAttempt::End(verdict) = next {
            played.verdict = Some(verdict);
            return played;
        }
    }
    // The caller's time is up, or the retry budget is spent.
    played.verdict = Some(if planted == Some(Planted::VerdictFromBeforeTheSend) {
        told
    } else {
        relay.failure_outcome()
    });
    played
}

/// What a request's way must not show.
fn is_wrong(kind: RouteKind, attempts: u32, played: &Played) -> bool {
    let once = matches!(kind, RouteKind::Unsafe | RouteKind::Stream { resumable: false });
    let told_wrongly = played.verdict == Some(FailureOutcome::NotRun) && played.runs > 0;
    told_wrongly || (once && played.runs > 1) || played.sends > attempts
}

/// Every sequence of up to [`LONGEST`] fates.
fn each_way<F>(mut visit: F)
where
    F: FnMut(&[Fate]),
{
    const FATES: [Fate; 5] = [
        Fate::NoConnection,
        Fate::Refused,
        Fate::RanAndLost,
        Fate::LostBeforeRun,
        Fate::RanAndFailed,
    ];
    let mut open: Vec<Vec<Fate>> = vec![Vec::new()];
    while let Some(way) = open.pop() {
        visit(&way);
        if way.len() < LONGEST {
            open.extend(FATES.iter().map(|fate| [way.as_slice(), &[*fate]].concat()));
        }
    }
}

/// Sends with every fate in every order: more than the machine ever makes.
const LONGEST: usize = 6;
const KINDS: [RouteKind; 4] = [
    RouteKind::Safe,
    RouteKind::Unsafe,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];

fn wrong_ways(planted: Option<Planted>) -> usize {
    let mut wrong = 0;
    each_way(|fates| {
        for kind in KINDS {
            for attempts in 1..=4 {
                let played = play_with(kind, attempts, fates, planted);
                wrong += usize::from(is_wrong(kind, attempts, &played));
            }
        }
    });
    wrong
}

#[test]
fn no_way_of_six_sends_or_fewer_is_wrong() {
    assert_eq!(wrong_ways(None), 0);
}

#[rstest]
#[case::of_a_loss(Planted::LossTakenForNoConnection)]
#[case::of_a_failure(Planted::FailureTakenForRefusal)]
#[case::of_the_verdict(Planted::VerdictFromBeforeTheSend)]
fn planted_faults_are_noticed(#[case] planted: Planted) {
    assert!(wrong_ways(Some(planted)) > 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    #[test]
    fn what_is_called_not_run_did_not_run(kind in kinds(), attempts in 1_u32..5, fates in fates()) {
        let played = play(kind, attempts, &fates);
        if played.verdict == Some(FailureOutcome::NotRun) {
            prop_assert_eq!(played.runs, 0);
        }
    }

    #[test]
    fn what_may_run_once_runs_once(attempts in 1_u32..5, fates in fates()) {
        prop_assert!(play(RouteKind::Unsafe, attempts, &fates).runs <= 1);
        let stream = RouteKind::Stream { resumable: false };
        prop_assert!(play(stream, attempts, &fates).runs <= 1);
    }

    #[test]
    fn no_more_endpoints_get_it_than_the_route_allows(kind in kinds(), attempts in 1_u32..5, fates in fates()) {
        prop_assert!(play(kind, attempts, &fates).sends <= attempts);
    }
}

#[test]
fn an_open_send_is_never_called_not_run() {
    let mut relay = RequestAttempts::new(RouteKind::Unsafe, 1);
    assert_eq!(relay.failure_outcome(), FailureOutcome::NotRun);
    relay.start();
    assert_eq!(relay.failure_outcome(), FailureOutcome::Unknown);
}
