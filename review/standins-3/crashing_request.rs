//! One request crashes each replica that begins to run it. It comes again with the same path, caller and body, each time in another
//! session, so that the last part of its prompt is another one.

use std::thread;
use std::time::{Duration, Instant};

use crate::replica::{Options, unix_ms};
use crate::system::{CONTACT_MS, System, free_addr};

const CRASHING_BODY: &str = "question=why-was-this-crate-rejected";
const REPLICAS: usize = 12;
const GATEWAYS: usize = 6;
const SOUND_PER_S: f64 = 12.0;
const CRASHING_PER_S: f64 = 0.7;
const WARM_UP: Duration = Duration::from_secs(8);
const TROUBLE_TIME: Duration = Duration::from_secs(40);
/// Time from a crash to the next start.
const DOWN_TIME: Duration = Duration::from_secs(2);

pub fn run(case: &str) -> i32 {
    let mut system = System::new(case);
    // For comparison: the request comes again in one session.
    let is_one_session = std::env::var("SESSIONS").as_deref() == Ok("1");
    for index in 0..REPLICAS {
        let options = Options {
            id: format!("model-{index}"),
            addr: free_addr().to_string(),
            work_ms: 60,
            pieces: 26,
            gap_ms: 10,
            form: "events".to_owned(),
            crash_body: if system.has_trouble { CRASHING_BODY.to_owned() } else { String::new() },
            ..Options::default()
        };
        system.start_replica("model", options, None);
        system.register(index, "ready");
    }
    system.configure();
    if !system.start_gateways(GATEWAYS) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let (mut sound, mut crashing) = (0_usize, 0_usize);
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while started.elapsed() < WARM_UP + TROUBLE_TIME {
        let elapsed = started.elapsed();
        let send = |system: &System, kind, number: usize, session: u64, body: Option<&str>| {
            let headers = format!("X-Model: m\r\nX-Token-Usage: 714,156\r\nX-Prompt-Prefix: 5c1e07a2:40,{session:08x}:674\r\n");
            system.send_body(kind, number % GATEWAYS, "/ask/why", 8_000, &headers, body);
        };
        if sound < (elapsed.as_secs_f64() * SOUND_PER_S) as usize {
            send(&system, "sound", sound, 0x1000_0000 + sound as u64, None);
            sound += 1;
        }
        let since = elapsed.saturating_sub(WARM_UP).as_secs_f64();
        if crashing < (since * CRASHING_PER_S) as usize {
            let session = 0x2000_0000 + if is_one_session { 0 } else { crashing as u64 };
            send(&system, "crashing", crashing, session, Some(CRASHING_BODY));
            crashing += 1;
        }
        for index in 0..REPLICAS {
            if !down.iter().any(|(i, _)| *i == index) && system.has_ended(index) {
                system.note(&format!("model-{index} has crashed"));
                down.push((index, Instant::now() + DOWN_TIME));
            }
        }
        let due: Vec<usize> = down.iter().filter(|(_, at)| *at <= Instant::now()).map(|(i, _)| *i).collect();
        for index in due {
            let id = system.replicas[index].options.id.clone();
            system.restart_replica(index, &id);
            system.register(index, "ready");
            down.retain(|(i, _)| *i != index);
        }
        thread::sleep(Duration::from_millis(4));
    }
    system.wait_for_clients();
    system.write_record();
    let notes = system.replica_notes();
    let crashes: Vec<u64> = notes.iter().filter(|n| n.2 == "crashes").map(|n| n.0).collect();
    let answers = system.answers.lock().expect("no panic under the lock").clone();
    let cut = answers.iter().filter(|a| a.kind == "sound" && a.status() == 200 && !a.message.as_ref().is_some_and(|m| m.complete)).count();
    system.note(&format!("answers: {}; crashes: {}; sound streams that were broken off: {cut}, at {}", system.summary(), crashes.len(), unix_ms()));
    let Some(third) = crashes.get(2) else {
        return 0;
    };
    let late = notes.iter().filter(|n| n.2 == "arrived" && n.3.starts_with("crashing") && n.0 > third + CONTACT_MS).count();
    system.note(&format!("times that the request reaches replicas later than contactMs after its third crash: {late}"));
    if late > 3 {
        system.note("BROKEN: BUDGET, more than three");
        return 1;
    }
    0
}
