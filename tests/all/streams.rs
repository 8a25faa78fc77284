//! Streams under failure: each caller its own whole response.

use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use sycamorestile_standins::fault_proxy;
use sycamorestile_standins::text;

use crate::support::caller;
use crate::support::cluster;

/// Tokens of the streams; long enough for a fault to fall into the middle.
const TOKENS: u32 = 800;
/// Tokens after which a fault may come.
const TOKENS_BEFORE_FAULT: u32 = 20;

struct RunningStream {
    prompt: &'static str,
    reader: JoinHandle<caller::StreamResult>,
}

fn start_stream(cluster: &cluster::Cluster, prompt: &'static str) -> RunningStream {
    let caller = cluster.caller(0);
    let (started_tx, started_rx) = mpsc::channel();
    let reader = thread::spawn(move || {
        let each = |tokens| {
            if tokens == TOKENS_BEFORE_FAULT {
                started_tx.send(()).expect("the test waits");
            }
        };
        caller.stream(prompt, TOKENS, each).expect("a stream")
    });
    started_rx.recv().expect("the stream begins");
    RunningStream { prompt, reader }
}

impl RunningStream {
    fn expect_complete(self) {
        let streamed = self.reader.join().expect("the reader ends");
        assert_eq!(streamed.error, None);
        assert!(streamed.ended, "{} tokens and no end mark", streamed.tokens);
        assert_eq!(streamed.text, text::completion(self.prompt, TOKENS));
    }
}

#[test]
fn a_stream_survives_a_stalled_agent_connection() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "quality report");
    cluster.agents[cluster.busy_agent()]
        .calls_proxy
        .set_mode_of_open(fault_proxy::Mode::Stall);
    running.expect_complete();
}

#[test]
fn a_stream_survives_a_closed_agent_connection() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "lot lookup");
    cluster.agents[cluster.busy_agent()]
        .calls_proxy
        .set_mode_of_open(fault_proxy::Mode::Close);
    running.expect_complete();
}

#[test]
fn a_stream_survives_a_stalled_endpoint_connection() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "foreign bottle");
    cluster.agents[cluster.busy_agent()]
        .endpoint_proxy
        .set_mode_of_open(fault_proxy::Mode::Stall);
    running.expect_complete();
}

#[test]
fn a_stream_survives_a_frozen_agent() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "damaged label");
    let busy = cluster.busy_agent();
    cluster.agents[busy].process.freeze();
    running.expect_complete();
    cluster.agents[busy].process.thaw();
}

#[test]
fn a_stream_survives_a_stalled_rank() {
    let cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "mismatched crate");
    let busy = cluster.busy_agent();
    cluster::Cluster::set_faults(&cluster.engine.addrs()[busy], r#"{"stall_steps":100000}"#);
    running.expect_complete();
}

#[test]
fn a_stream_that_cannot_resume_ends_with_an_error_event() {
    let mut cluster = cluster::Cluster::start(1);
    let running = start_stream(&cluster, "cut short");
    cluster.engine.kill();
    let streamed = running.reader.join().expect("the reader ends");
    assert!(!streamed.ended);
    let error = streamed.error.expect("an error event");
    assert_eq!(error["outcome"], "unknown");
    assert!(text::completion("cut short", TOKENS).starts_with(&streamed.text));
}
