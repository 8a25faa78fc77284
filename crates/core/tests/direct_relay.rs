//! The state machine of one caller's request: what may be repeated, and what a caller may be told.

use proptest::prelude::*;
use sycamorestile_core::direct::relay::{Next, Relay, Verdict};
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
    verdict: Option<Verdict>,
}

fn play(kind: RouteKind, attempts: u32, fates: &[Fate]) -> Played {
    let mut relay = Relay::new(kind, attempts);
    let mut played = Played::default();
    for fate in fates {
        let next = match fate {
            Fate::NoConnection => relay.not_sent(),
            Fate::Refused => {
                relay.sending();
                played.sends += 1;
                relay.refused()
            }
            Fate::RanAndLost | Fate::RanAndFailed => {
                relay.sending();
                played.sends += 1;
                played.runs += 1;
                if *fate == Fate::RanAndLost {
                    relay.lost()
                } else {
                    relay.failed()
                }
            }
            Fate::LostBeforeRun => {
                relay.sending();
                played.sends += 1;
                relay.lost()
            }
        };
        if let Next::End(verdict) = next {
            played.verdict = Some(verdict);
            return played;
        }
    }
    // The caller's time is up, or the retry budget is spent.
    played.verdict = Some(relay.verdict());
    played
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    #[test]
    fn what_is_called_not_run_did_not_run(kind in kinds(), attempts in 1_u32..5, fates in fates()) {
        let played = play(kind, attempts, &fates);
        if played.verdict == Some(Verdict::NotRun) {
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
    let mut relay = Relay::new(RouteKind::Unsafe, 1);
    assert_eq!(relay.verdict(), Verdict::NotRun);
    relay.sending();
    assert_eq!(relay.verdict(), Verdict::Unknown);
}
