//! Bookings under failure: at most once, and outcomes that are true.

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use sycamorestile_standins::fault_proxy;

use crate::support::caller;
use crate::support::cluster;
use crate::support::wait;

/// Makes each ledger booking take effect at once and its answer come late.
const SLOW_ANSWER: &str = r#"{"answer_delay_ms":2500}"#;

fn expect(answer: &caller::Answer, status: u16, outcome: &str) {
    assert_eq!(
        (answer.status, answer.outcome.as_str()),
        (status, outcome),
        "{answer:?}"
    );
}

fn ledger(cluster: &cluster::Cluster) -> String {
    cluster.ledger.addrs()[0].clone()
}

/// Begins a booking whose answer is late and waits until the ledger has it.
fn begin_slow(
    cluster: &cluster::Cluster,
    caller: &caller::Caller,
    key: Option<&'static str>,
) -> thread::JoinHandle<caller::Answer> {
    cluster::Cluster::set_faults(&ledger(cluster), SLOW_ANSWER);
    let booker = caller.clone();
    let booking = thread::spawn(move || booker.book("slow", 25, key).expect("an answer"));
    wait::until("the ledger has the booking", || caller.bookings("slow") == 1);
    booking
}

#[rstest]
#[case::with_a_key(Some("k"))]
#[case::without_a_key(None)]
fn a_booking_survives_connections_that_go_silent(#[case] key: Option<&'static str>) {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let booking = begin_slow(&cluster, &caller, key);
    cluster
        .agents
        .iter()
        .for_each(|agent| agent.calls.set_mode_of_open(fault_proxy::Mode::Stall));
    expect(&booking.join().expect("the caller ends"), 201, "done");
    assert_eq!(caller.bookings("slow"), 1);
}

#[rstest]
#[case::with_a_key(Some("k"))]
#[case::without_a_key(None)]
fn a_booking_whose_agent_is_killed_is_unknown_and_never_repeated(#[case] key: Option<&'static str>) {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let booking = begin_slow(&cluster, &caller, key);
    for index in cluster::RANKS..cluster.agents.len() {
        cluster.agents[index].process.kill();
        cluster.replace_agent(index);
    }
    expect(&booking.join().expect("the caller ends"), 502, "unknown");
    cluster.wait_ready();
    assert_eq!(caller.bookings("slow"), 1);
    if key.is_some() {
        let again = caller.book("slow", 25, key).expect("an answer");
        expect(&again, 502, "unknown");
        assert_eq!(again.json()["type"], "/problems/earlier-answer-lost");
    }
    assert_eq!(caller.bookings("slow"), 1);
}

#[test]
fn a_key_whose_owner_is_frozen_is_unknown_until_it_thaws() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let booking = begin_slow(&cluster, &caller, Some("k"));
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.process.freeze());
    let first = booking.join().expect("the caller ends");
    assert_eq!(first.outcome, "unknown", "{first:?}");
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.process.thaw());
    cluster.wait_ready();
    expect(&caller.book("slow", 25, Some("k")).expect("an answer"), 201, "done");
    assert_eq!(caller.bookings("slow"), 1);
}

#[test]
fn a_booking_goes_round_a_frozen_agent() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.agents[cluster::RANKS].process.freeze();
    for n in 0..6 {
        let key = format!("key-{n}");
        expect(&caller.book("round", 5, Some(&key)).expect("an answer"), 201, "done");
    }
    cluster.agents[cluster::RANKS].process.thaw();
    cluster.wait_ready();
    assert_eq!(caller.bookings("round"), 6);
}

#[test]
fn without_the_platform_keyed_bookings_are_refused_and_the_rest_goes_on() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.platform_faults(r#"{"outage_ms":600000}"#);
    let refused = caller.book("out", 25, Some("k")).expect("an answer");
    expect(&refused, 503, "not-run");
    assert_eq!(refused.json()["type"], "/problems/claims-unavailable");
    assert!(refused.retry_after.is_some());
    // Once an agent knows, it refuses at once: a time-out each would take well over a minute.
    let started = Instant::now();
    for n in 0..60 {
        let key = format!("again-{n}");
        expect(&caller.book("out", 25, Some(&key)).expect("an answer"), 503, "not-run");
    }
    assert!(started.elapsed() < Duration::from_secs(40), "{:?}", started.elapsed());
    assert_eq!(caller.bookings("out"), 0);
    expect(&caller.book("out", 25, None).expect("an answer"), 201, "done");
    assert!(caller.stream("drafts go on", 20, |_| {}).expect("a stream").ended);
    cluster.platform_faults(r#"{"outage_ms":0}"#);
    wait::until("the key can be claimed again", || {
        caller
            .book("out", 25, Some("k"))
            .is_ok_and(|answer| answer.outcome == "done")
    });
    assert_eq!(caller.bookings("out"), 2);
}

#[test]
fn a_claim_whose_write_took_effect_unanswered_is_settled_by_reading() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    for n in 0..4 {
        cluster.platform_faults(r#"{"lose_answers":1}"#);
        let key = format!("key-{n}");
        expect(&caller.book("lost", 25, Some(&key)).expect("an answer"), 201, "done");
        expect(&caller.book("lost", 25, Some(&key)).expect("an answer"), 201, "done");
    }
    assert_eq!(caller.bookings("lost"), 4);
}

#[test]
fn one_key_sent_at_once_through_entries_of_two_failure_domains_books_once() {
    let cluster = cluster::Cluster::start(2);
    let callers = [cluster.caller(0), cluster.caller(1)];
    for n in 0..10 {
        let key = format!("key-{n}");
        let account = format!("both-{n}");
        let answers: Vec<caller::Answer> = thread::scope(|scope| {
            let book = |caller: &caller::Caller| caller.book(&account, 25, Some(&key)).expect("an answer");
            let running: Vec<_> = callers.iter().map(|caller| scope.spawn(move || book(caller))).collect();
            running
                .into_iter()
                .map(|thread| thread.join().expect("a caller"))
                .collect()
        });
        for answer in &answers {
            expect(answer, 201, "done");
        }
        assert_eq!(answers[0].body, answers[1].body);
        assert_eq!(callers[0].bookings(&account), 1);
    }
}

#[test]
fn a_deadline_that_passes_during_a_booking_is_answered_at_once_as_unknown() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster::Cluster::set_faults(&ledger(&cluster), SLOW_ANSWER);
    let headers = [
        ("sycamorestile-organisation", "acme"),
        ("sycamorestile-deadline-ms", "300"),
    ];
    let answer = caller.call("POST", "/ledger/bookings", &headers, r#"{"account":"late","cents":1}"#);
    expect(&answer.expect("an answer"), 504, "unknown");
    assert_eq!(caller.bookings("late"), 1);
}

#[test]
fn an_agent_killed_before_its_claim_is_written_leaves_the_key_free() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.platform.set_mode(fault_proxy::Mode::Stall));
    let booker = caller.clone();
    let booking = thread::spawn(move || booker.book("before", 25, Some("k")).expect("an answer"));
    // The attempt is at one of the agents, which can't write its claim.
    thread::sleep(Duration::from_millis(300));
    for index in cluster::RANKS..cluster.agents.len() {
        cluster.agents[index].process.kill();
        // What hung on its way is lost with its connection; new ones pass.
        cluster.agents[index]
            .platform
            .set_mode_of_open(fault_proxy::Mode::Close);
        cluster.replace_agent(index);
    }
    let first = booking.join().expect("the caller ends");
    cluster.wait_ready();
    if first.outcome != "done" {
        assert_eq!(caller.bookings("before"), 0, "{first:?}");
    }
    expect(&caller.book("before", 25, Some("k")).expect("an answer"), 201, "done");
    assert_eq!(caller.bookings("before"), 1);
}

#[test]
fn an_agent_killed_between_claim_and_call_leaves_the_key_in_doubt_and_unbooked() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.back.set_mode(fault_proxy::Mode::Stall));
    let booker = caller.clone();
    let before = cluster.commits();
    let booking = thread::spawn(move || booker.book("between", 25, Some("k")).expect("an answer"));
    // Once the claim is written, the call hangs on its way to the ledger.
    wait::until("the claim is written", || cluster.commits() > before);
    for index in cluster::RANKS..cluster.agents.len() {
        cluster.agents[index].process.kill();
        // What hung on its way is lost with its connection; new ones pass.
        cluster.agents[index].back.set_mode_of_open(fault_proxy::Mode::Close);
        cluster.replace_agent(index);
    }
    let first = booking.join().expect("the caller ends");
    assert_eq!(first.outcome, "unknown", "{first:?}");
    cluster.wait_ready();
    let again = caller.book("between", 25, Some("k")).expect("an answer");
    assert_eq!(again.json()["type"], "/problems/earlier-answer-lost", "{again:?}");
    assert_eq!(caller.bookings("between"), 0);
}
