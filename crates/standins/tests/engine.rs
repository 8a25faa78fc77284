//! Tests of the stand-in engine: detection of ranks with different expert maps, and deterministic completions.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use sycamorestile_standins::engine;
use sycamorestile_standins::text;
use tokio::runtime::Runtime;

/// Time within which the group has to make a step.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

struct Group {
    engine: engine::Engine,
    /// Runs the group's tasks. The group stops when this is dropped.
    _runtime: Runtime,
}

fn start() -> Group {
    let runtime = Runtime::new().expect("failed to create a runtime");
    let engine = runtime.block_on(engine::Engine::start(engine::EngineOptions {
        first_addr: SocketAddr::from(([127, 0, 0, 1], 0)),
        ranks: 3,
        slots: 2,
        step_time: Duration::from_millis(1),
        step_time_per_sequence: Duration::ZERO,
    }));
    Group {
        engine: engine.expect("failed to start the engine"),
        _runtime: runtime,
    }
}

impl Group {
    fn state(&self) -> engine::GroupState {
        let url = format!("http://{}/state", self.engine.addrs()[0]);
        let mut response = ureq::get(url).call().expect("no response from the engine");
        response.body_mut().read_json().expect("response is not a group state")
    }

    fn set_map(&self, rank: usize, map: u64) {
        let url = format!("http://{}/faults", self.engine.addrs()[rank]);
        ureq::post(url)
            .send(format!("{{\"map\":{map}}}"))
            .expect("no response from the engine");
    }

    /// Waits until a whole step has run after step `from`.
    fn wait_for_full_step_after(&self, from: u64) {
        let started = Instant::now();
        while self.state().steps <= from + 1 {
            assert!(started.elapsed() < STEP_TIMEOUT, "the group made no step in time");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn steps_with_different_maps_are_counted() {
    let group = start();
    group.wait_for_full_step_after(3);
    assert_eq!(group.state().split_steps, 0);
    group.set_map(1, 7);
    group.wait_for_full_step_after(group.state().steps);
    let split = group.state();
    assert!(split.split_steps > 0, "{split:?}");
    assert_eq!(split.maps, [0, 7, 0]);
    group.set_map(0, 7);
    group.set_map(2, 7);
    group.wait_for_full_step_after(group.state().steps);
    let before = group.state().split_steps;
    group.wait_for_full_step_after(group.state().steps);
    assert_eq!(
        group.state().split_steps,
        before,
        "steps with equal maps were counted as split"
    );
}

#[test]
fn completion_depends_only_on_its_prompt() {
    let group = start();
    let complete = |rank: usize, body: &str| -> engine::CompletionResponse {
        let url = format!("http://{}/v1/completions", group.engine.addrs()[rank]);
        let mut response = ureq::post(url).send(body).expect("no response from the engine");
        response.body_mut().read_json().expect("response is not a completion")
    };
    let whole = text::completion("cork", 12);
    for rank in 0..3 {
        assert_eq!(complete(rank, r#"{"prompt":"cork","max_tokens":12}"#).text, whole);
    }
    let rest = complete(0, r#"{"prompt":"cork","max_tokens":12,"resume_from":5}"#).text;
    assert_eq!(text::completion("cork", 5) + &rest, whole);
}
