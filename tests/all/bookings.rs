//! Bookings under failures run at most once and report correct outcomes.

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use sycamorestile_standins::fault_proxy;

use crate::support::caller;
use crate::support::cluster;
use crate::support::wait;

/// Delays the response of each ledger booking, which still takes effect immediately.
const DELAYED_RESPONSE: &str = r#"{"answer_delay_ms":2500}"#;

fn assert_response(response: &caller::Response, status: u16, outcome: &str) {
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (status, outcome),
        "{response:?}"
    );
}

fn ledger(cluster: &cluster::Cluster) -> String {
    cluster.ledger.addrs()[0].clone()
}

/// Starts a booking with a delayed response and waits until the ledger has recorded it.
fn start_slow_booking(
    cluster: &cluster::Cluster,
    caller: &caller::Caller,
    key: Option<&'static str>,
) -> thread::JoinHandle<caller::Response> {
    cluster::Cluster::set_faults(&ledger(cluster), DELAYED_RESPONSE);
    let booker = caller.clone();
    let booking = thread::spawn(move || booker.book("slow", 25, key).expect("the entry responds"));
    wait::until("the ledger has the booking", || caller.bookings("slow") == 1);
    booking
}

#[rstest]
#[case::with_a_key(Some("k"))]
#[case::without_a_key(None)]
fn a_booking_completes_after_its_agent_connections_stall(#[case] key: Option<&'static str>) {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let booking = start_slow_booking(&cluster, &caller, key);
    cluster
        .agents
        .iter()
        .for_each(|agent| agent.calls_proxy.set_mode_of_open(fault_proxy::Mode::Stall));
    assert_response(&booking.join().expect("the caller does not panic"), 201, "done");
    assert_eq!(caller.bookings("slow"), 1);
}

#[rstest]
#[case::with_a_key(Some("k"))]
#[case::without_a_key(None)]
fn a_booking_whose_agent_is_killed_is_unknown_and_never_repeated(#[case] key: Option<&'static str>) {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let booking = start_slow_booking(&cluster, &caller, key);
    for index in cluster::RANKS..cluster.agents.len() {
        cluster.agents[index].process.kill();
        cluster.replace_agent(index);
    }
    assert_response(&booking.join().expect("the caller does not panic"), 502, "unknown");
    cluster.wait_ready();
    assert_eq!(caller.bookings("slow"), 1);
    if key.is_some() {
        let retry = caller.book("slow", 25, key).expect("the entry responds");
        assert_response(&retry, 502, "unknown");
        assert_eq!(retry.json()["type"], "/problems/earlier-answer-lost");
    }
    assert_eq!(caller.bookings("slow"), 1);
}

#[test]
fn a_key_owned_by_a_frozen_agent_is_unknown_until_the_agent_thaws() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let booking = start_slow_booking(&cluster, &caller, Some("k"));
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.process.freeze());
    let first = booking.join().expect("the caller does not panic");
    assert_eq!(first.outcome, "unknown", "{first:?}");
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.process.thaw());
    cluster.wait_ready();
    assert_response(
        &caller.book("slow", 25, Some("k")).expect("the entry responds"),
        201,
        "done",
    );
    assert_eq!(caller.bookings("slow"), 1);
}

#[test]
fn bookings_avoid_a_frozen_agent() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.agents[cluster::RANKS].process.freeze();
    for n in 0..6 {
        let key = format!("key-{n}");
        assert_response(
            &caller.book("round", 5, Some(&key)).expect("the entry responds"),
            201,
            "done",
        );
    }
    cluster.agents[cluster::RANKS].process.thaw();
    cluster.wait_ready();
    assert_eq!(caller.bookings("round"), 6);
}

#[test]
fn a_platform_outage_rejects_only_keyed_bookings() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.set_platform_faults(r#"{"outage_ms":600000}"#);
    let refused = caller.book("out", 25, Some("k")).expect("the entry responds");
    assert_response(&refused, 503, "not-run");
    assert_eq!(refused.json()["type"], "/problems/claims-unavailable");
    assert!(refused.retry_after.is_some());
    // After an agent has detected the outage, it must reject calls without waiting: a timeout for each of the 60 calls
    // would take well over a minute.
    let started = Instant::now();
    for n in 0..60 {
        let key = format!("during-outage-{n}");
        assert_response(
            &caller.book("out", 25, Some(&key)).expect("the entry responds"),
            503,
            "not-run",
        );
    }
    assert!(started.elapsed() < Duration::from_secs(40), "{:?}", started.elapsed());
    assert_eq!(caller.bookings("out"), 0);
    assert_response(&caller.book("out", 25, None).expect("the entry responds"), 201, "done");
    assert!(
        caller
            .stream("during the outage", 20, |_| {})
            .expect("the stream starts")
            .ended
    );
    cluster.set_platform_faults(r#"{"outage_ms":0}"#);
    wait::until("the key can be claimed again", || {
        caller
            .book("out", 25, Some("k"))
            .is_ok_and(|response| response.outcome == "done")
    });
    assert_eq!(caller.bookings("out"), 2);
}

#[test]
fn a_claim_write_with_a_lost_response_is_resolved_by_a_read() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    for n in 0..4 {
        cluster.set_platform_faults(r#"{"lose_answers":1}"#);
        let key = format!("key-{n}");
        assert_response(
            &caller.book("lost", 25, Some(&key)).expect("the entry responds"),
            201,
            "done",
        );
        assert_response(
            &caller.book("lost", 25, Some(&key)).expect("the entry responds"),
            201,
            "done",
        );
    }
    assert_eq!(caller.bookings("lost"), 4);
}

#[test]
fn concurrent_calls_with_one_key_in_two_failure_domains_book_once() {
    let cluster = cluster::Cluster::start(2);
    let callers = [cluster.caller(0), cluster.caller(1)];
    for n in 0..10 {
        let key = format!("key-{n}");
        let account = format!("both-{n}");
        let responses: Vec<caller::Response> = thread::scope(|scope| {
            let book = |caller: &caller::Caller| caller.book(&account, 25, Some(&key)).expect("the entry responds");
            let running: Vec<_> = callers.iter().map(|caller| scope.spawn(move || book(caller))).collect();
            running
                .into_iter()
                .map(|thread| thread.join().expect("the caller does not panic"))
                .collect()
        });
        for response in &responses {
            assert_response(response, 201, "done");
        }
        assert_eq!(responses[0].body, responses[1].body);
        assert_eq!(callers[0].bookings(&account), 1);
    }
}

#[test]
fn a_deadline_that_expires_during_a_booking_returns_unknown() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster::Cluster::set_faults(&ledger(&cluster), DELAYED_RESPONSE);
    let headers = [
        ("sycamorestile-organisation", "acme"),
        ("sycamorestile-deadline-ms", "300"),
    ];
    let response = caller.call("POST", "/ledger/bookings", &headers, r#"{"account":"late","cents":1}"#);
    assert_response(&response.expect("the entry responds"), 504, "unknown");
    assert_eq!(caller.bookings("late"), 1);
}

#[test]
fn an_agent_killed_before_its_claim_is_written_leaves_the_key_unclaimed() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.platform_proxy.set_mode(fault_proxy::Mode::Stall));
    let booker = caller.clone();
    let booking = thread::spawn(move || booker.book("before", 25, Some("k")).expect("the entry responds"));
    // Gives the attempt time to reach an agent, which can't write the claim because its platform connection stalls.
    thread::sleep(Duration::from_millis(300));
    for index in cluster::RANKS..cluster.agents.len() {
        cluster.agents[index].process.kill();
        // Closing the stalled connections drops the data they hold; new connections work.
        cluster.agents[index]
            .platform_proxy
            .set_mode_of_open(fault_proxy::Mode::Close);
        cluster.replace_agent(index);
    }
    let first = booking.join().expect("the caller does not panic");
    cluster.wait_ready();
    if first.outcome != "done" {
        assert_eq!(caller.bookings("before"), 0, "{first:?}");
    }
    assert_response(
        &caller.book("before", 25, Some("k")).expect("the entry responds"),
        201,
        "done",
    );
    assert_eq!(caller.bookings("before"), 1);
}

#[test]
fn an_agent_killed_between_claim_and_call_makes_the_key_unknown_without_a_booking() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.endpoint_proxy.set_mode(fault_proxy::Mode::Stall));
    let booker = caller.clone();
    let before = cluster.commit_count();
    let booking = thread::spawn(move || booker.book("between", 25, Some("k")).expect("the entry responds"));
    // After the claim is written, the call stalls in the proxy before the ledger.
    wait::until("the claim is written", || cluster.commit_count() > before);
    for index in cluster::RANKS..cluster.agents.len() {
        cluster.agents[index].process.kill();
        // Closing the stalled connections drops the data they hold; new connections work.
        cluster.agents[index]
            .endpoint_proxy
            .set_mode_of_open(fault_proxy::Mode::Close);
        cluster.replace_agent(index);
    }
    let first = booking.join().expect("the caller does not panic");
    assert_eq!(first.outcome, "unknown", "{first:?}");
    cluster.wait_ready();
    let retry = caller.book("between", 25, Some("k")).expect("the entry responds");
    assert_eq!(retry.json()["type"], "/problems/earlier-answer-lost", "{retry:?}");
    assert_eq!(caller.bookings("between"), 0);
}
