//! Endpoints that leave or ask for a pause.

mod withdrawal_days;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sycamorestile_core::direct::endpoint::{Endpoint, EndpointState};
use sycamorestile_core::direct::restrictions::{Cause, Restrictions};
use sycamorestile_core::direct::withdrawals::{
    Availability, MAX_PAUSE, MAX_UNLISTED, Notice, UNLISTED_MEMORY, Withdrawals,
};
use sycamorestile_core::time::Time;
use withdrawal_days::{Fault, Verdict};

const LEAVING: Notice = Notice {
    is_leaving: true,
    pause: None,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn pause(ms: u64) -> Notice {
    Notice {
        is_leaving: false,
        pause: Some(Duration::from_millis(ms)),
    }
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: Arc::from(id),
        started_at_ms: Some(1),
        service: Arc::from("model"),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: Arc::from("a"),
        slots: 8,
        slowness_percent: 100,
        state: EndpointState::Ready,
    }
}

#[test]
fn leaving_endpoint_takes_no_more_requests() {
    let mut withdrawals = Withdrawals::default();
    assert!(withdrawals.record(&endpoint("m-1"), LEAVING, at(10)));
    assert_eq!(
        withdrawals.availability(&endpoint("m-1"), at(1_000_000)),
        Availability::Leaving
    );
    assert_eq!(withdrawals.availability(&endpoint("m-2"), at(10)), Availability::Open);
    assert!(!withdrawals.record(&endpoint("m-1"), LEAVING, at(20)), "known before");
}

#[test]
fn pause_lasts_from_the_answer_to_its_end() {
    let mut withdrawals = Withdrawals::default();
    assert!(withdrawals.record(&endpoint("m-1"), pause(750), at(1_000)));
    assert_eq!(
        withdrawals.availability(&endpoint("m-1"), at(1_749)),
        Availability::Paused(Duration::from_millis(1))
    );
    assert_eq!(
        withdrawals.availability(&endpoint("m-1"), at(1_750)),
        Availability::Open
    );
}

#[rstest]
#[case::absent(None, 0)]
#[case::zero(Some(Duration::ZERO), 0)]
#[case::fraction(Some(Duration::from_micros(1_500)), 1)]
#[case::huge(Some(Duration::MAX), MAX_PAUSE.as_millis() as u64 - 1)]
fn values_of_a_pause_have_a_stated_effect(#[case] pause: Option<Duration>, #[case] last_paused_ms: u64) {
    let mut withdrawals = Withdrawals::default();
    let notice = Notice {
        is_leaving: false,
        pause,
    };
    withdrawals.record(&endpoint("m-1"), notice, at(0));
    let is_paused = |ms| withdrawals.availability(&endpoint("m-1"), at(ms)) != Availability::Open;
    assert_eq!(is_paused(last_paused_ms), pause.is_some_and(|p| !p.is_zero()));
    assert!(!is_paused(last_paused_ms + 1));
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.record(&endpoint("m-1"), pause(2_000), at(0));
    assert!(!withdrawals.record(&endpoint("m-1"), pause(100), at(10)));
    assert_ne!(
        withdrawals.availability(&endpoint("m-1"), at(1_999)),
        Availability::Open
    );
}

#[test]
fn next_process_under_the_same_identifier_has_not_withdrawn() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.record(&endpoint("m-1"), LEAVING, at(0));
    let next = Endpoint {
        started_at_ms: Some(2),
        ..endpoint("m-1")
    };
    assert_eq!(withdrawals.availability(&next, at(1)), Availability::Open);
    withdrawals.record(&next, pause(100), at(1));
    assert_eq!(
        withdrawals.availability(&next, at(1)),
        Availability::Paused(Duration::from_millis(100))
    );
}

#[test]
fn endpoint_that_a_restored_table_lists_again_is_still_known_to_leave() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.record(&endpoint("m-1"), LEAVING, at(0));
    withdrawals.refresh(|_| false, at(1_000));
    let restored_ms = 1_000 + UNLISTED_MEMORY.as_millis() as u64 - 1;
    withdrawals.refresh(|_| true, at(restored_ms));
    assert_eq!(
        withdrawals.availability(&endpoint("m-1"), at(restored_ms)),
        Availability::Leaving
    );
    withdrawals.refresh(|_| false, at(restored_ms + 1));
    withdrawals.refresh(|_| false, at(restored_ms + 1) + UNLISTED_MEMORY);
    assert!(!withdrawals.is_any());
}

#[test]
fn full_memory_keeps_listed_endpoints_and_those_that_were_listed_last() {
    let mut withdrawals = Withdrawals::default();
    let names: Vec<String> = (0..=MAX_UNLISTED).map(|n| format!("gone-{n:05}")).collect();
    withdrawals.record(&endpoint(&names[0]), LEAVING, at(0));
    withdrawals.record(&endpoint("listed"), LEAVING, at(0));
    assert_eq!(withdrawals.refresh(|id| id == "listed", at(1)), 0);
    for name in &names[1..] {
        withdrawals.record(&endpoint(name), LEAVING, at(2));
    }
    assert_eq!(withdrawals.refresh(|id| id == "listed", at(3)), 1);
    assert_eq!(
        withdrawals.availability(&endpoint("listed"), at(3)),
        Availability::Leaving
    );
    assert_eq!(
        withdrawals.availability(&endpoint(&names[0]), at(3)),
        Availability::Open
    );
    assert_eq!(
        withdrawals.availability(&endpoint(&names[1]), at(3)),
        Availability::Leaving
    );
}

#[test]
fn service_without_an_open_endpoint_tells_why_and_when_to_come_back() {
    let endpoints = [Arc::new(endpoint("m-1")), Arc::new(endpoint("m-2"))];
    let mut restrictions = Restrictions::new(Arc::from("front-1"));
    assert_eq!(restrictions.unavailability(&endpoints, at(0)), None);
    restrictions.withdrawals.record(&endpoints[0], LEAVING, at(0));
    assert_eq!(restrictions.unavailability(&endpoints, at(0)), None);
    assert_eq!(restrictions.allowed(&endpoints, at(0)).as_ref(), &endpoints[1..]);

    restrictions.withdrawals.record(&endpoints[1], pause(800), at(0));
    let paused = restrictions.unavailability(&endpoints, at(300)).expect("none is open");
    assert_eq!(
        (paused.cause, paused.wait),
        (Cause::Paused, Some(Duration::from_millis(500)))
    );

    restrictions.rate_limits.record(&endpoints[1].id, Some(0.5), at(0));
    let limited = restrictions.unavailability(&endpoints, at(900)).expect("none is open");
    assert_eq!(limited.cause, Cause::RateLimited);

    restrictions.withdrawals.record(&endpoints[1], LEAVING, at(1_000));
    let leaving = restrictions
        .unavailability(&endpoints, at(1_000))
        .expect("none is open");
    assert_eq!((leaving.cause, leaving.wait), (Cause::Leaving, None));
    assert_eq!(restrictions.unavailability(&[], at(1_000)), None);
}

#[rstest]
fn withdrawals_are_kept_while_gateways_restart_freeze_and_are_cut_off(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let verdict = withdrawal_days::play(seed, None);
    assert_eq!(
        (verdict.sent_while_leaving, verdict.sent_in_pauses),
        (0, 0),
        "{verdict:?}"
    );
    assert!(
        verdict.served * 10 >= verdict.servable * 9,
        "nine of ten requests that an endpoint would take are served: {verdict:?}"
    );
    assert!(
        verdict.longest_unused_ms < 5_000,
        "an open endpoint gets requests: {verdict:?}"
    );
}

#[rstest]
#[case(Fault::LeavingReadFromSuccessesOnly, |v: &Verdict| v.sent_while_leaving > 0)]
#[case(Fault::PauseOutlivesItsProcess, |v: &Verdict| v.longest_unused_ms >= 5_000)]
#[case(Fault::PauseBeginsWhenTheRequestIsSent, |v: &Verdict| v.sent_in_pauses > 0)]
fn planted_faults_are_found_within_twenty_seeds(#[case] fault: Fault, #[case] is_found: fn(&Verdict) -> bool) {
    assert!((1..=20).any(|seed| is_found(&withdrawal_days::play(seed, Some(fault)))));
}
