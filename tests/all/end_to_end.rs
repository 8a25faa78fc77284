//! The whole path through separate processes.

use std::thread;

use sycamorestile_standins::text;

use crate::support::cluster;

/// Memory that a node may use for control, in kilobytes.
const MOST_KB: u64 = 128 << 10;

#[test]
fn a_draft_streams_whole_and_a_booking_is_booked_once() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let streamed = caller.stream("a lot of cork", 20, |_| {}).expect("a stream");
    assert_eq!(streamed.text, text::completion("a lot of cork", 20));
    assert!(streamed.ended && streamed.error.is_none());
    for _ in 0..3 {
        let answer = caller.book("jan", 25, Some("slip-1")).expect("an answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (201, "done"));
        assert_eq!(answer.json()["id"], 1);
    }
    assert_eq!(caller.bookings("jan"), 1);
    for process in [&cluster.entries[0].process, &cluster.agents[0].process] {
        assert!(process.resident_kb() < MOST_KB, "{} KB", process.resident_kb());
    }
}

#[test]
fn a_stream_is_whole_though_its_agent_is_killed() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let (told, begun) = std::sync::mpsc::channel();
    let reader = thread::spawn(move || {
        let each = |tokens| {
            if tokens == 20 {
                told.send(()).expect("the test waits");
            }
        };
        caller.stream("stripping season", 800, each).expect("a stream")
    });
    begun.recv().expect("the stream begins");
    let busy = cluster.busy_agent();
    cluster.agents[busy].process.kill();
    let streamed = reader.join().expect("the reader ends");
    assert_eq!(streamed.error, None);
    assert!(streamed.ended);
    assert_eq!(streamed.text, text::completion("stripping season", 800));
}
