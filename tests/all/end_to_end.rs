//! Streams and bookings through separate processes, end to end.

use std::thread;

use sycamorestile_standins::text;

use crate::support::cluster;

/// Maximum resident memory of an entry or agent process, in kilobytes.
const MAX_RESIDENT_KB: u64 = 128 << 10;

#[test]
fn a_stream_completes_and_a_keyed_booking_runs_once() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let streamed = caller.stream("a lot of cork", 20, |_| {}).expect("the stream starts");
    assert_eq!(streamed.text, text::completion("a lot of cork", 20));
    assert!(streamed.ended && streamed.error.is_none());
    for _ in 0..3 {
        let response = caller.book("jan", 25, Some("slip-1")).expect("the entry responds");
        assert_eq!((response.status, response.outcome.as_str()), (201, "done"));
        assert_eq!(response.json()["id"], 1);
    }
    assert_eq!(caller.bookings("jan"), 1);
    for process in [&cluster.entries[0].process, &cluster.agents[0].process] {
        assert!(process.resident_kb() < MAX_RESIDENT_KB, "{} KB", process.resident_kb());
    }
}

#[test]
fn a_stream_completes_after_its_agent_is_killed() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let (started_tx, started_rx) = std::sync::mpsc::channel();
    let reader = thread::spawn(move || {
        let on_token = |tokens| {
            if tokens == 20 {
                started_tx.send(()).expect("the test waits for the start");
            }
        };
        caller
            .stream("stripping season", 800, on_token)
            .expect("the stream starts")
    });
    started_rx.recv().expect("the stream starts");
    let busy = cluster.wait_for_busy_agent();
    cluster.agents[busy].process.kill();
    let streamed = reader.join().expect("the reader does not panic");
    assert_eq!(streamed.error, None);
    assert!(streamed.ended);
    assert_eq!(streamed.text, text::completion("stripping season", 800));
}
