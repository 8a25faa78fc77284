//! One part of prompts crashes each replica that begins to write an answer on it. The prompts have many parts.

use std::thread;
use std::time::{Duration, Instant};

use crate::replica::{Options, unix_ms};
use crate::system::{CONTACT_MS, System, free_addr};

const CRASH_PART: &str = "bad0c0de";
const REPLICAS: usize = 12;
const GATEWAYS: usize = 6;
/// Number of parts that all prompts share, unless `PARTS` names another.
const SHARED_PARTS: usize = 40;
const SOUND_PER_S: f64 = 12.0;
const CRASHING_PER_S: f64 = 0.7;
const WARM_UP: Duration = Duration::from_secs(10);
const TROUBLE_TIME: Duration = Duration::from_secs(45);
/// Time from a crash to the next start.
const DOWN_TIME: Duration = Duration::from_secs(2);

pub fn run(case: &str) -> i32 {
    let shared_parts = std::env::var("PARTS").ok().and_then(|p| p.parse().ok()).unwrap_or(SHARED_PARTS);
    let mut system = System::new(case);
    system.note(&format!("{shared_parts} parts that all prompts share"));
    for index in 0..REPLICAS {
        let options = Options {
            id: format!("model-{index}"),
            addr: free_addr().to_string(),
            work_ms: 60,
            pieces: 26,
            gap_ms: 10,
            form: "events".to_owned(),
            crash_part: if system.has_trouble { CRASH_PART.to_owned() } else { String::new() },
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
    let shared: Vec<String> = (0..shared_parts).map(|n| format!("{:08x}:17", 0x5c1e_0000 + n)).collect();
    let started = Instant::now();
    let begun_at = unix_ms();
    let (mut sound, mut crashing) = (0_usize, 0_usize);
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while started.elapsed() < WARM_UP + TROUBLE_TIME {
        let elapsed = started.elapsed();
        let send = |system: &System, kind, number: usize, part: &str| {
            let own = format!("{:08x}:40", unix_ms() as u32 ^ (number as u32) << 20);
            let prefix = shared.iter().map(String::as_str).chain([part, own.as_str()].into_iter().filter(|p| !p.is_empty()));
            let prefix: Vec<&str> = prefix.collect();
            let headers = format!("X-Model: m\r\nX-Token-Usage: {},156\r\nX-Prompt-Prefix: {}\r\n", shared_parts * 17 + 40 + if part.is_empty() { 0 } else { 17 }, prefix.join(","));
            system.send(kind, number % GATEWAYS, "POST", "/ask/why", 8_000, &headers);
        };
        if sound < (elapsed.as_secs_f64() * SOUND_PER_S) as usize {
            send(&system, "sound", sound, "");
            sound += 1;
        }
        let since = elapsed.saturating_sub(WARM_UP).as_secs_f64();
        if crashing < (since * CRASHING_PER_S) as usize {
            send(&system, "crashing", crashing, &format!("{CRASH_PART}:17"));
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
    let ended_at = unix_ms();
    system.wait_for_clients();
    system.write_record();
    judge(&system, begun_at, ended_at)
}

fn judge(system: &System, begun_at: u64, ended_at: u64) -> i32 {
    let notes = system.replica_notes();
    let crashes: Vec<u64> = notes.iter().filter(|(_, _, what, _)| what == "crashes").map(|n| n.0).collect();
    let answers = system.answers.lock().expect("no panic under the lock").clone();
    let share = |from: u64, to: u64| {
        let sent: Vec<_> = answers.iter().filter(|a| a.kind == "sound" && (from..to).contains(&a.sent_at)).collect();
        let begun = sent.iter().filter(|a| a.status() == 200).count();
        let lost = sent.iter().filter(|a| a.status() == 200 && !a.message.as_ref().is_some_and(|m| m.complete)).count();
        (begun, sent.len(), lost)
    };
    system.note(&format!("answers: {}; crashes: {}", system.summary(), crashes.len()));
    let trouble_at = begun_at + WARM_UP.as_millis() as u64;
    let (usual, usual_of, _) = share(begun_at, trouble_at);
    system.note(&format!("sound requests that begin at the first attempt before: {usual} of {usual_of}"));
    let Some(fifth) = crashes.get(4).or(crashes.last()) else {
        system.note("no crash");
        return 0;
    };
    let is_late = |n: &&(u64, String, String, String)| n.2 == "arrived" && n.3.starts_with("crashing") && n.0 > fifth + CONTACT_MS;
    let late = notes.iter().filter(is_late).count();
    let mut is_broken = false;
    if crashes.len() >= 5 {
        system.note(&format!("requests with the part that reach replicas later than contactMs after the fifth crash: {late}"));
        if late > 3 {
            is_broken = true;
            system.note("BROKEN: BUDGET, more than three");
        }
    }
    let (begun, of, lost) = share(fifth + 2 * CONTACT_MS, ended_at);
    system.note(&format!("sound requests that begin at the first attempt from 2 x contactMs after the fifth crash: {begun} of {of}; broken off: {lost}"));
    if usual_of >= 20 && of >= 20 && 2 * begun * usual_of < usual * of {
        is_broken = true;
        system.note("BROKEN: LOST, less than half as often as before");
    }
    i32::from(is_broken)
}
