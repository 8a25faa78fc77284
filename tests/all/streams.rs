//! Streams under failures: each caller receives its own complete response.

use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use sycamorestile_standins::fault_proxy;
use sycamorestile_standins::text;

use crate::support::caller;
use crate::support::cluster;

/// Number of tokens of each stream, enough for a fault to occur before the end.
const TOKENS: u32 = 800;
/// Number of tokens that a stream has received before a fault is injected.
const TOKENS_BEFORE_FAULT: u32 = 20;

struct RunningStream {
    prompt: &'static str,
    reader: JoinHandle<caller::StreamResult>,
}

fn start_stream(cluster: &cluster::Cluster, prompt: &'static str) -> RunningStream {
    let caller = cluster.caller(0);
    let (started_tx, started_rx) = mpsc::channel();
    let reader = thread::spawn(move || {
        let on_token = |tokens| {
            if tokens == TOKENS_BEFORE_FAULT {
                started_tx.send(()).expect("the test waits for the start");
            }
        };
        caller.stream(prompt, TOKENS, on_token).expect("the stream starts")
    });
    started_rx.recv().expect("the stream starts");
    RunningStream { prompt, reader }
}

impl RunningStream {
    fn expect_complete(self) {
        let streamed = self.reader.join().expect("the reader does not panic");
        assert_eq!(streamed.error, None);
        assert!(
            streamed.ended,
            "the stream stopped after {} tokens without an end event",
            streamed.tokens
        );
        assert_eq!(streamed.text, text::completion(self.prompt, TOKENS));
    }
}

#[test]
fn a_stream_survives_a_stalled_agent_connection() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "quality report");
    cluster.agents[cluster.wait_for_busy_agent()]
        .calls_proxy
        .set_mode_of_open(fault_proxy::Mode::Stall);
    running.expect_complete();
}

#[test]
fn a_stream_survives_a_closed_agent_connection() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "lot lookup");
    cluster.agents[cluster.wait_for_busy_agent()]
        .calls_proxy
        .set_mode_of_open(fault_proxy::Mode::Close);
    running.expect_complete();
}

#[test]
fn a_stream_survives_a_stalled_endpoint_connection() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "foreign bottle");
    cluster.agents[cluster.wait_for_busy_agent()]
        .endpoint_proxy
        .set_mode_of_open(fault_proxy::Mode::Stall);
    running.expect_complete();
}

#[test]
fn a_stream_survives_a_frozen_agent() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "damaged label");
    let busy = cluster.wait_for_busy_agent();
    cluster.agents[busy].process.freeze();
    running.expect_complete();
    cluster.agents[busy].process.thaw();
}

#[test]
fn a_stream_survives_a_stalled_rank() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "mismatched crate");
    let busy = cluster.wait_for_busy_agent();
    cluster::Cluster::set_faults(&cluster.engine.addrs()[busy], r#"{"stall_steps":100000}"#);
    running.expect_complete();
}

#[test]
fn a_stream_that_cannot_resume_ends_with_an_error_event() {
    let mut cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "cut short");
    cluster.engine.kill();
    let streamed = running.reader.join().expect("the reader does not panic");
    assert!(!streamed.ended);
    let error = streamed.error.expect("the stream has an error event");
    assert_eq!(error["outcome"], "unknown");
    assert!(text::completion("cut short", TOKENS).starts_with(&streamed.text));
}
