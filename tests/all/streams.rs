//! Streams under failure: each caller its own whole answer.

use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use sycamorestile_standins::fault_proxy;
use sycamorestile_standins::text;

use crate::support::caller;
use crate::support::cluster;

/// Tokens of the streams; long enough for a fault to fall into the middle.
const TOKENS: u32 = 800;
/// Tokens after which a fault may come.
const BEGUN: u32 = 20;

struct Running {
    prompt: &'static str,
    reader: JoinHandle<caller::Streamed>,
}

fn begin(cluster: &cluster::Cluster, prompt: &'static str) -> Running {
    let caller = cluster.caller(0);
    let (told, begun) = mpsc::channel();
    let reader = thread::spawn(move || {
        let each = |tokens| {
            if tokens == BEGUN {
                told.send(()).expect("the test waits");
            }
        };
        caller.stream(prompt, TOKENS, each).expect("a stream")
    });
    begun.recv().expect("the stream begins");
    Running { prompt, reader }
}

impl Running {
    fn expect_whole(self) {
        let streamed = self.reader.join().expect("the reader ends");
        assert_eq!(streamed.error, None);
        assert!(streamed.ended, "{} tokens and no end mark", streamed.tokens);
        assert_eq!(streamed.text, text::completion(self.prompt, TOKENS));
    }
}

#[test]
fn a_stream_survives_a_connection_to_its_agent_that_goes_silent() {
    let cluster = cluster::Cluster::start(1);
    let running = begin(&cluster, "quality report");
    cluster.agents[cluster.busy_agent()]
        .calls
        .set_mode_of_open(fault_proxy::Mode::Stall);
    running.expect_whole();
}

#[test]
fn a_stream_survives_a_connection_to_its_agent_that_is_cut() {
    let cluster = cluster::Cluster::start(1);
    let running = begin(&cluster, "lot lookup");
    cluster.agents[cluster.busy_agent()]
        .calls
        .set_mode_of_open(fault_proxy::Mode::Close);
    running.expect_whole();
}

#[test]
fn a_stream_survives_a_connection_to_its_endpoint_that_goes_silent() {
    let cluster = cluster::Cluster::start(1);
    let running = begin(&cluster, "foreign bottle");
    cluster.agents[cluster.busy_agent()]
        .back
        .set_mode_of_open(fault_proxy::Mode::Stall);
    running.expect_whole();
}

#[test]
fn a_stream_survives_its_agent_being_frozen() {
    let cluster = cluster::Cluster::start(1);
    let running = begin(&cluster, "damaged label");
    let busy = cluster.busy_agent();
    cluster.agents[busy].process.freeze();
    running.expect_whole();
    cluster.agents[busy].process.thaw();
}

#[test]
fn a_stream_survives_a_rank_that_stalls() {
    let cluster = cluster::Cluster::start(1);
    let running = begin(&cluster, "mismatched crate");
    let busy = cluster.busy_agent();
    cluster::Cluster::set_faults(&cluster.engine.addrs()[busy], r#"{"stall_steps":100000}"#);
    running.expect_whole();
}

#[test]
fn a_stream_without_a_way_to_go_on_is_not_passed_off_as_whole() {
    let mut cluster = cluster::Cluster::start(1);
    let running = begin(&cluster, "cut short");
    cluster.engine.kill();
    let streamed = running.reader.join().expect("the reader ends");
    assert!(!streamed.ended);
    let error = streamed.error.expect("an error event");
    assert_eq!(error["outcome"], "unknown");
    assert!(text::completion("cut short", TOKENS).starts_with(&streamed.text));
}
