//! Agents and entries that drain.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sycamorestile_standins::fault_proxy;
use sycamorestile_standins::text;

use crate::support::caller;
use crate::support::cluster;
use crate::support::process;
use crate::support::stop_guard;
use crate::support::wait;

/// Number of tokens of each stream.
const TOKENS: u32 = 200;

fn stream_completes(caller: &caller::Caller, prompt: &str) -> bool {
    caller
        .stream(prompt, TOKENS, |_| {})
        .is_ok_and(|s| s.ended && s.text == text::completion(prompt, TOKENS))
}

/// Runs `change` while callers stream and book, and checks that each of their calls succeeds.
fn under_load<F>(cluster: &cluster::Cluster, change: F)
where
    F: FnOnce(),
{
    let caller = cluster.caller(0);
    let stop = AtomicBool::new(false);
    let booked: u64 = thread::scope(|scope| {
        let streams: Vec<_> = (0..4)
            .map(|n| {
                let (caller, stop) = (&caller, &stop);
                scope.spawn(move || {
                    while !stop.load(Ordering::Acquire) {
                        assert!(stream_completes(caller, &format!("prompt {n}")));
                    }
                })
            })
            .collect();
        let booker = scope.spawn(|| {
            let mut booked = 0;
            while !stop.load(Ordering::Acquire) {
                let response = caller.book("load", 1, None).expect("the entry responds");
                assert_eq!(response.outcome, "done", "{response:?}");
                booked += 1;
            }
            booked
        });
        let load_guard = stop_guard::StopOnDrop(&stop);
        wait::until("some bookings are done", || caller.bookings("load") > 5);
        change();
        let before = caller.bookings("load");
        wait::until("more bookings are done", || caller.bookings("load") > before + 5);
        drop(load_guard);
        for thread in streams {
            thread.join().expect("all streams complete");
        }
        booker.join().expect("all bookings are done")
    });
    assert_eq!(caller.bookings("load"), booked);
}

#[test]
fn a_terminated_agent_finishes_its_calls() {
    let mut cluster = cluster::Cluster::start(1);
    let terminated = [0, cluster::RANKS];
    under_load(&cluster, || {
        for index in terminated {
            cluster.agents[index].process.terminate();
        }
    });
    for index in terminated {
        assert!(cluster.agents[index].process.wait().success());
    }
}

#[test]
fn a_drained_agent_finishes_its_calls_and_accepts_no_new_ones() {
    let cluster = cluster::Cluster::start(1);
    under_load(&cluster, || {
        let operators = cluster.entries[0].process.addr("operators");
        for endpoint in ["assistant-1", "ledger-1"] {
            let output = process::run(&["operator", "--addr", &operators, "drain", endpoint]);
            assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        }
    });
    wait::until("both agents are reported as leaving without running calls", || {
        let status = cluster.status(0);
        let agents = status["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
        let leaving = agents.iter().filter(|a| a["standing"] == "leaving");
        leaving.filter(|a| a["running"] == 0).count() == 2
    });
}

#[test]
fn an_agent_listed_as_leaving_gets_no_new_attempts() {
    let cluster = cluster::Cluster::start(1);
    let platform = &cluster.platform.addrs()[0];
    let change = r#"{"name":"instance-ledger-0","instance":{"name":"instance-ledger-0","failure_domain":"hu-central-1",
        "role":"agent","state":"leaving","control":"127.0.0.1:9","endpoint":"ledger-0"}}"#;
    let listed = ureq::post(format!("http://{platform}/instances")).send(change);
    assert_eq!(listed.expect("the platform responds").status().as_u16(), 200);
    wait::until("the entry reports the agent as leaving", || {
        let status = cluster.status(0);
        let agents = status["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
        agents
            .iter()
            .any(|a| a["endpoint"] == "ledger-0" && a["standing"] == "leaving")
    });
    let caller = cluster.caller(0);
    for n in 0..20 {
        let key = format!("key-{n}");
        assert_eq!(
            caller
                .book("listed", 1, Some(&key))
                .expect("the entry responds")
                .outcome,
            "done"
        );
    }
    assert_eq!(caller.bookings("listed"), 20);
    let metrics = cluster.agent_metrics(cluster::RANKS);
    assert!(
        !metrics.contains("queue_seconds_count{"),
        "the agent received an attempt: {metrics}"
    );
}

#[test]
fn a_terminated_entry_finishes_its_streams_and_exits_successfully() {
    let mut cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let (started_tx, started_rx) = std::sync::mpsc::channel();
    let reader = thread::spawn(move || {
        let on_token = |tokens| {
            if tokens == 10 {
                started_tx.send(()).expect("the test waits for the start");
            }
        };
        caller
            .stream("draining entry", 600, on_token)
            .expect("the stream starts")
    });
    started_rx.recv().expect("the stream starts");
    cluster.entries[0].process.terminate();
    let streamed = reader.join().expect("the reader does not panic");
    assert!(streamed.ended && streamed.error.is_none());
    assert_eq!(streamed.text, text::completion("draining entry", 600));
    assert!(cluster.entries[0].process.wait().success());
}

/// Guards against changes that an operator submitted and whose outcome is lost with the entry's process.
#[test]
fn a_terminated_entry_reports_the_outcome_of_a_change_that_is_being_written() {
    let mut cluster = cluster::Cluster::start(1);
    let operators = cluster.entries[0].process.addr("operators");
    let yaml = "organisations:\n- name: late\n  calls_per_second: 10\n  burst: 20\n";
    let file = cluster.write_file("late.yaml", yaml);
    let path = file.to_str().expect("the path is UTF-8").to_owned();
    // Slow, but within the timeout of a call to the platform, which is delayed up to three times.
    let mode = fault_proxy::Mode::Delay(Duration::from_millis(250));
    cluster.entries[0].platform_proxy.set_mode(mode);
    let operator = thread::spawn(move || process::run(&["operator", "--addr", &operators, "declare", &path]));
    thread::sleep(Duration::from_millis(100));
    cluster.entries[0].process.terminate();
    let output = operator.join().expect("the operator's thread finishes");
    assert!(
        output.status.success(),
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(cluster.entries[0].process.wait().success());
}

/// Guards against daemons that a stop signal ends abruptly, since it comes while they start.
#[test]
fn an_entry_that_is_terminated_while_it_starts_exits_successfully() {
    let platform = process::Process::start(&["standin", "platform", "--addr", "127.0.0.1:0"]);
    let dir = tempfile::tempdir().expect("a temporary directory");
    let file = dir.path().join("entry.yaml");
    let settings = format!(
        "role: entry\ninstance: starting\nfailure_domain: {}\ncallers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
         control: 127.0.0.1:0\nmetrics: 127.0.0.1:0\nplatform: {}\npeers: []\n",
        cluster::DOMAIN,
        platform.addrs()[0]
    );
    std::fs::write(&file, settings).expect("the file is written");
    let path = file.to_str().expect("the path is UTF-8");
    let start = |_| {
        // The process is signalled as soon as its first line shows that it accepts connections.
        let entry = process::Process::start(&["entry", "--settings", path, "--log-level", "error"]);
        entry.terminate();
        entry
    };
    let mut entries: Vec<process::Process> = (0..20).map(start).collect();
    let exits: Vec<bool> = entries.iter_mut().map(|entry| entry.wait().success()).collect();
    assert_eq!(exits, [true; 20]);
}
