//! Entries that are killed, frozen or partitioned from the platform, and callers whose connections stall.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use sycamorestile_standins::fault_proxy;
use sycamorestile_standins::text;

use crate::support::cluster;
use crate::support::wait;

/// Delays the response of each ledger booking, which still takes effect immediately.
const DELAYED_RESPONSE: &str = r#"{"answer_delay_ms":1500}"#;

#[test]
fn retrying_a_key_through_another_entry_after_a_kill_returns_the_response() {
    let mut cluster = cluster::Cluster::start(2);
    let (first, second) = (cluster.caller(0), cluster.caller(1));
    cluster::Cluster::set_faults(&cluster.ledger.addrs()[0], DELAYED_RESPONSE);
    let lost = thread::spawn(move || first.book("killed", 25, Some("k")));
    wait::until("the ledger has the booking", || second.bookings("killed") == 1);
    cluster.entries[0].process.kill();
    assert!(
        lost.join().expect("the caller does not panic").is_err(),
        "the killed entry sends no response"
    );
    let retry = second.book("killed", 25, Some("k")).expect("the entry responds");
    assert_eq!((retry.status, retry.outcome.as_str()), (201, "done"));
    assert_eq!(second.bookings("killed"), 1);
}

#[test]
fn retrying_a_key_after_the_connection_stalls_returns_the_response() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    cluster::Cluster::set_faults(&cluster.ledger.addrs()[0], DELAYED_RESPONSE);
    let stalled_caller = caller.clone();
    let _lost = thread::spawn(move || stalled_caller.book("silent", 25, Some("k")));
    wait::until("the ledger has the booking", || caller.bookings("silent") == 1);
    cluster.entries[0]
        .callers_proxy
        .set_mode_of_open(fault_proxy::Mode::Stall);
    let retry = caller.book("silent", 25, Some("k")).expect("the entry responds");
    assert_eq!((retry.status, retry.outcome.as_str()), (201, "done"));
    assert_eq!(caller.bookings("silent"), 1);
}

#[test]
fn a_stream_continues_after_its_entry_is_frozen_and_thawed() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let (started_tx, started_rx) = mpsc::channel();
    let reader = thread::spawn(move || {
        let on_token = |tokens| {
            if tokens == 20 {
                started_tx.send(()).expect("the test waits for the start");
            }
        };
        caller.stream("frozen entry", 600, on_token).expect("the stream starts")
    });
    started_rx.recv().expect("the stream starts");
    cluster.entries[0].process.freeze();
    thread::sleep(Duration::from_secs(3));
    cluster.entries[0].process.thaw();
    let streamed = reader.join().expect("the reader does not panic");
    assert!(streamed.ended && streamed.error.is_none());
    assert_eq!(streamed.text, text::completion("frozen entry", 600));
}

#[test]
fn an_entry_started_without_the_platform_gets_its_configuration_from_a_peer() {
    let mut cluster = cluster::Cluster::start(1);
    cluster.set_platform_faults(r#"{"outage_ms":600000}"#);
    cluster.add_entry("late", cluster::DOMAIN);
    let expected = cluster.status(0)["revision"].clone();
    wait::until("the new entry has the configuration", || {
        cluster.status(1)["revision"] == expected
    });
    let status = cluster.status(1);
    assert_eq!(
        (&status["ready"], &status["platform_in_reach"]),
        (&true.into(), &false.into()),
        "{status}"
    );
    assert!(
        cluster
            .caller(0)
            .stream("cut off", 30, |_| {})
            .expect("the stream starts")
            .ended
    );
    assert_eq!(
        cluster
            .caller(0)
            .book("cut", 1, None)
            .expect("the entry responds")
            .outcome,
        "done"
    );
}

#[test]
fn a_thawed_entry_does_not_restore_an_older_revision() {
    let cluster = cluster::Cluster::start(2);
    let before = cluster.status(1)["revision"]
        .as_u64()
        .expect("the revision is an integer");
    cluster.entries[1].process.freeze();
    for burst in 1..=3 {
        let org = format!("organisations:\n- name: thaw\n  calls_per_second: 5\n  burst: {burst}\n");
        cluster.declare(&org);
    }
    cluster.entries[1].process.thaw();
    wait::until("the thawed entry has caught up", || {
        let revisions = [0, 1].map(|entry| cluster.status(entry)["revision"].as_u64());
        assert!(revisions[0] >= Some(before + 3), "{revisions:?}");
        revisions[0] == revisions[1]
    });
}

#[test]
fn an_agent_replaces_stalled_platform_connections() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    assert_eq!(
        caller.book("quiet", 1, Some("a")).expect("the entry responds").outcome,
        "done"
    );
    cluster.agents[cluster::RANKS..]
        .iter()
        .for_each(|agent| agent.platform_proxy.set_mode_of_open(fault_proxy::Mode::Stall));
    for n in 0..6 {
        let key = format!("key-{n}");
        assert_eq!(
            caller.book("quiet", 1, Some(&key)).expect("the entry responds").outcome,
            "done"
        );
    }
    assert_eq!(caller.bookings("quiet"), 7);
}

#[test]
fn an_entry_without_the_platform_keeps_serving() {
    let cluster = cluster::Cluster::start(1);
    cluster.entries[0].platform_proxy.set_mode(fault_proxy::Mode::Stall);
    wait::until("the entry detects the outage", || {
        cluster.status(0)["platform_in_reach"] == false
    });
    let caller = cluster.caller(0);
    assert!(
        caller
            .stream("still here", 30, |_| {})
            .expect("the stream starts")
            .ended
    );
    // Keyed bookings still work because agents write the claims, and agents still reach the platform.
    assert_eq!(
        caller.book("still", 1, Some("k")).expect("the entry responds").outcome,
        "done"
    );
    assert_eq!(caller.bookings("still"), 1);
}

#[test]
fn agents_discover_a_new_entry_through_known_entries() {
    let mut cluster = cluster::Cluster::start(1);
    cluster.add_entry("new", cluster::DOMAIN);
    // The new entry is neither in the agents' settings nor in the platform's list.
    cluster.wait_ready();
    assert!(
        cluster
            .caller(1)
            .stream("new entry", 30, |_| {})
            .expect("the stream starts")
            .ended
    );
}

#[test]
fn a_failure_domain_without_the_platform_serves_unkeyed_calls_and_recovers() {
    let cluster = cluster::Cluster::start(1);
    let before = cluster.status(0)["revision"].clone();
    let set = |mode| {
        cluster.entries[0].platform_proxy.set_mode(mode);
        cluster
            .agents
            .iter()
            .for_each(|agent| agent.platform_proxy.set_mode(mode));
    };
    set(fault_proxy::Mode::Stall);
    wait::until("the entry detects the outage", || {
        cluster.status(0)["platform_in_reach"] == false
    });
    let caller = cluster.caller(0);
    assert!(
        caller
            .stream("in the dark", 30, |_| {})
            .expect("the stream starts")
            .ended
    );
    assert_eq!(
        caller.book("dark", 1, None).expect("the entry responds").outcome,
        "done"
    );
    let refused = caller.book("dark", 1, Some("k")).expect("the entry responds");
    assert_eq!(
        (refused.status, refused.outcome.as_str()),
        (503, "not-run"),
        "{refused:?}"
    );
    assert_eq!(caller.bookings("dark"), 1);
    assert_eq!(cluster.status(0)["revision"], before);
    set(fault_proxy::Mode::Pass);
    wait::until("keys can be claimed again", || {
        caller
            .book("dark", 1, Some("k"))
            .is_ok_and(|response| response.outcome == "done")
    });
    assert_eq!(caller.bookings("dark"), 2);
    wait::until("the entry reaches the platform again", || {
        cluster.status(0)["platform_in_reach"] == true
    });
}
