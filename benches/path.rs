//! Measures the latency that an entry and an agent add to a call, and their resident memory.
//!
//! The processes communicate over loopback without proxies. Calls through the entry and the agent alternate with calls
//! that go directly to the stand-in.

#[expect(dead_code, reason = "only the tests use all of it")]
#[path = "../tests/all/support/process.rs"]
mod process;

use std::time::{Duration, Instant};

use process::Process;

/// Number of calls over each path.
const CALLS: usize = 400;

fn median(mut durations: Vec<Duration>) -> f64 {
    durations.sort_unstable();
    durations[durations.len() / 2].as_secs_f64() * 1e6
}

fn get(agent: &ureq::Agent, url: &str) -> Duration {
    let started = Instant::now();
    let mut response = agent
        .get(url)
        .header("sycamorestile-organisation", "bench")
        .call()
        .expect("the call succeeds");
    assert_eq!(response.status().as_u16(), 200);
    let _body = response.body_mut().read_to_string().expect("the body is text");
    started.elapsed()
}

fn main() {
    let platform = Process::start(&["standin", "platform", "--addr", "127.0.0.1:0"]);
    let ledger = Process::start(&["standin", "ledger", "--addr", "127.0.0.1:0", "--replicas", "1"]);
    let platform_addr = platform.addrs()[0].clone();
    let ledger_addr = ledger.addrs()[0].clone();
    let dir = tempfile::tempdir().expect("the temporary directory is created");
    let write = |name: &str, text: String| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.to_str().expect("the path is UTF-8").to_owned()
    };
    let entry_file = write(
        "entry.yaml",
        format!(
            "role: entry\ninstance: entry-1\nfailure_domain: d\ncallers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
             control: 127.0.0.1:0\nmetrics: 127.0.0.1:0\nplatform: {platform_addr}\n"
        ),
    );
    let entry = Process::start(&["entry", "--settings", &entry_file]);
    let declarations = write(
        "declarations.yaml",
        format!(
            "services:\n- name: ledger\n  kind: plain\n  routes:\n  - path: '/accounts/{{account}}'\n    methods: [GET]\n\
             endpoints:\n- name: ledger-0\n  service: ledger\n  failure_domain: d\n  address: {ledger_addr}\n  slots: 16\n"
        ),
    );
    let declared = process::run(&["operator", "--addr", &entry.addr("operators"), "declare", &declarations]);
    assert!(declared.status.success());
    let agent_file = write(
        "agent.yaml",
        format!(
            "role: agent\ninstance: i\nfailure_domain: d\nendpoint: ledger-0\ncalls: 127.0.0.1:0\ncontrol: 127.0.0.1:0\n\
             metrics: 127.0.0.1:0\nplatform: {platform_addr}\nentries: ['{}']\n",
            entry.addr("control")
        ),
    );
    let agent = Process::start(&["agent", "--settings", &agent_file]);
    std::thread::sleep(Duration::from_secs(2));
    let idle_kb = [entry.resident_kb(), agent.resident_kb()];

    let config = ureq::Agent::config_builder().max_idle_connections(0).build();
    let client = ureq::Agent::new_with_config(config);
    let entry_url = format!("http://{}/ledger/accounts/a", entry.addr("callers"));
    let direct_url = format!("http://{ledger_addr}/accounts/a");
    let mut through_entry = Vec::new();
    let mut direct = Vec::new();
    for _ in 0..CALLS {
        through_entry.push(get(&client, &entry_url));
        direct.push(get(&client, &direct_url));
    }
    let (through_entry, direct) = (median(through_entry), median(direct));
    println!(
        "median call: {through_entry:.0} us through entry and agent, {direct:.0} us direct, ratio {:.2}",
        through_entry / direct
    );
    println!("idle: entry {} KB, agent {} KB resident", idle_kb[0], idle_kb[1]);
    println!(
        "after {CALLS} calls: entry {} KB, agent {} KB resident",
        entry.resident_kb(),
        agent.resident_kb()
    );
}
