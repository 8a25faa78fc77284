//! Drivers of the cases. Each returns whether the rule held.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Got};
use crate::env::{self, Gateway};
use crate::group::Group;
use crate::record::Record;
use crate::replica::{Behaviour, Replica};
use crate::store::Store;

type Outcome = Result<bool, String>;

pub fn run(name: &str, trouble: bool, record: &Record) -> Outcome {
    match name {
        "stop-while-answer-is-sent" => stop_while_answer_is_sent(trouble, record),
        "stop-while-request-begins" => stop_while_request_begins(trouble, record),
        "poison-after-restart" => poison_after_restart(trouble, record),
        _ => Err(format!("no case {name}")),
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A plain behaviour: work for a time, then answer with so many bytes.
fn answers_after(work: Duration, bytes: usize) -> Behaviour {
    let body = vec![b'a'; bytes];
    Arc::new(move |replica, req, writer| {
        std::thread::sleep(work);
        let sent = replica.answer(req, writer, &body);
        replica.record.line(&format!(
            "replica {} has answered {} completely: {sent}",
            replica.id,
            req.header("x-attempt-id").unwrap_or_default()
        ));
        sent
    })
}

/// LOST: a gateway that gets SIGTERM exits while it still sends an answer.
fn stop_while_answer_is_sent(trouble: bool, record: &Record) -> Outcome {
    const BYTES: usize = 7_500_000;
    const PER_SECOND: usize = 1_050_000;
    const CLIENTS: usize = 4;
    let store = Store::start();
    let replicas: Vec<Replica> = (0..3)
        .map(|n| Replica::start(&format!("i-ledger-{n}"), record, answers_after(Duration::from_millis(15), BYTES)))
        .collect();
    for replica in &replicas {
        env::register(&store, replica, "contract-ledger", "hu-central-a", 6, "ready");
    }
    env::configure(&store, record, 1, &[("/lots/", "safe", "contract-ledger", 8_000, 2)], 15_000);
    let mut gateway = Gateway::start("front-hu-central-a-1", "hu-central-a", 260, &store)?;
    gateway.wait_until_ready()?;
    std::thread::sleep(Duration::from_millis(1_500));
    let start = Instant::now();
    let callers = gateway.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                let attempt = format!("a{n}");
                let mut stream = client::connect_over_link(callers)?;
                stream.write_all(client::request("GET", "/lots/all", &attempt, 8_000, "").as_bytes()).ok()?;
                record.line(&format!("client sends {attempt}, waits 8000 ms at most"));
                let got = client::read_answer(stream, Some(PER_SECOND), start + Duration::from_millis(7_900));
                record.line(&format!("client got of {attempt}: {got:?}"));
                Some((attempt, got))
            })
        })
        .collect();
    if trouble {
        sleep_until(start + Duration::from_millis(100));
        record.line("SIGTERM to the gateway; SIGKILL would follow after graceS = 8 s");
        gateway.signal(env::SIGTERM);
        while !gateway.has_exited() && start.elapsed() < Duration::from_millis(8_500) {
            std::thread::sleep(Duration::from_millis(20));
        }
        record.line("the gateway has exited by itself");
    }
    let mut lost = 0;
    let mut ended = 0;
    for client in clients {
        let Some((attempt, got)) = client.join().map_err(|_| "a client panicked")? else {
            return Err("a client could not connect".to_owned());
        };
        let has_run = replicas.iter().any(|r| r.has_run(&attempt));
        match got {
            Got::Whole { status: 200, .. } => ended += 1,
            Got::Whole { .. } => {}
            Got::Part { .. } | Got::Nothing if has_run => lost += 1,
            _ => {}
        }
    }
    record.line(&format!("complete answers: {ended}, passed on and cut: {lost}"));
    if lost + ended < CLIENTS {
        return Err("not all requests were passed on".to_owned());
    }
    Ok(lost == 0)
}

/// LOST: a gateway that gets SIGTERM exits while a request runs that it has just accepted.
fn stop_while_request_begins(trouble: bool, record: &Record) -> Outcome {
    let store = Store::start();
    let replicas: Vec<Replica> = (0..3)
        .map(|n| Replica::start(&format!("i-ledger-{n}"), record, answers_after(Duration::from_millis(400), 800)))
        .collect();
    for replica in &replicas {
        env::register(&store, replica, "payout-ledger", "hu-central-a", 6, "ready");
    }
    env::configure(&store, record, 1, &[("/payout/", "unsafe", "payout-ledger", 4_000, 1)], 15_000);
    let mut gateway = Gateway::start("front-hu-central-a-1", "hu-central-a", 260, &store)?;
    gateway.wait_until_ready()?;
    std::thread::sleep(Duration::from_millis(1_500));
    let start = Instant::now();
    if trouble {
        record.line("SIGTERM to the gateway; SIGKILL would follow after graceS = 8 s");
        gateway.signal(env::SIGTERM);
    }
    let callers = gateway.callers;
    let clients: Vec<_> = (0..4_u64)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                // The balancer takes a gateway out after two questions, one a second.
                sleep_until(start + Duration::from_millis(1_700 + 20 * n));
                let attempt = format!("b{n}");
                let text = client::request("POST", "/payout/book", &attempt, 4_000, "slip");
                let mut stream = TcpStream::connect(callers).ok()?;
                let (first, rest) = text.split_at(60);
                stream.write_all(first.as_bytes()).ok()?;
                record.line(&format!("client connects and begins to send {attempt}"));
                sleep_until(start + Duration::from_millis(2_640 + 30 * n));
                let sent = stream.write_all(rest.as_bytes()).is_ok();
                record.line(&format!("client has sent all of {attempt}: {sent}; waits 4000 ms at most"));
                let got = client::read_answer(stream, None, start + Duration::from_millis(6_500));
                record.line(&format!("client got of {attempt}: {got:?}"));
                Some((attempt, got))
            })
        })
        .collect();
    let mut lost = 0;
    let mut whole = 0;
    for client in clients {
        let Some((attempt, got)) = client.join().map_err(|_| "a client panicked")? else {
            return Err("a client could not connect".to_owned());
        };
        let has_run = replicas.iter().any(|r| r.has_run(&attempt));
        match got {
            Got::Whole { .. } => whole += 1,
            Got::Part { .. } | Got::Nothing if has_run => lost += 1,
            _ => {}
        }
    }
    record.line(&format!("gateway has exited: {}", gateway.has_exited()));
    record.line(&format!("complete answers: {whole}, passed on and cut: {lost}"));
    Ok(lost == 0)
}

/// LOST: after a restart of the gateways, requests with a part that crashes replicas have all requests of the same first part
/// refused.
fn poison_after_restart(trouble: bool, record: &Record) -> Outcome {
    /// `contactMs` of the settings.
    const CONTACT_MS: u64 = 3_000;
    let store = Store::start();
    let group = Group::start(4, "bad0bad0", &store, record);
    env::configure(&store, record, 1, &[("/draft/", "streaming", "drafting-model", 8_000, 2)], 15_000);
    let mut gateways = vec![
        Gateway::start("front-hu-central-a-1", "hu-central-a", 260, &store)?,
        Gateway::start("front-hu-central-b-1", "hu-central-b", 260, &store)?,
    ];
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let callers: Vec<_> = gateways.iter().map(|g| g.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let poisons = Arc::new(AtomicBool::new(false));
    // Attempts of sound requests and when they were sent.
    let sent = Arc::new(Mutex::new(Vec::<(String, u64)>::new()));
    let spawn_request = |attempt: String, parts: String, to: std::net::SocketAddr, record: Record| {
        std::thread::spawn(move || {
            let until = Instant::now() + Duration::from_secs(8);
            let Ok(mut stream) = TcpStream::connect(to) else { return };
            let text = format!(
                "POST /draft/1 HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\n\
                 X-Token-Usage: 740,150\r\nX-Prompt-Prefix: {parts}\r\nAuthorization: Bearer {}\r\nContent-Length: 6\r\n\r\nprompt",
                client::HOST,
                client::KEY
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            let (status, bytes, complete) = client::read_stream(stream, usize::MAX, until);
            record.line(&format!("client got of {attempt}: status {status}, {bytes} bytes, complete {complete}"));
        })
    };
    {
        let (stop, sent, record, callers) = (Arc::clone(&stop), Arc::clone(&sent), record.clone(), callers.clone());
        std::thread::spawn(move || {
            for n in 0_usize.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("s{n}");
                sent.lock().unwrap_or_else(|e| e.into_inner()).push((attempt.clone(), record.ms()));
                spawn_request(attempt, format!("5c1e07a2:40,{n:08x}:700"), callers[n % 2], record.clone());
                std::thread::sleep(Duration::from_millis(125));
            }
        });
    }
    {
        let (stop, poisons, record, callers) = (Arc::clone(&stop), Arc::clone(&poisons), record.clone(), callers.clone());
        std::thread::spawn(move || {
            for n in 0_usize.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                if poisons.load(Ordering::Relaxed) {
                    let attempt = format!("p{n}");
                    spawn_request(attempt, format!("5c1e07a2:40,bad0bad0:300,f{n:07x}:400"), callers[n % 2], record.clone());
                }
                std::thread::sleep(Duration::from_millis(800));
            }
        });
    }
    let start_ms = record.ms();
    std::thread::sleep(Duration::from_secs(8));
    let before_ms = record.ms();
    if trouble {
        record.line("both gateways are killed, and start again at once");
        for gateway in &mut gateways {
            gateway.kill();
        }
        for gateway in &mut gateways {
            gateway.restart()?;
        }
    }
    record.line("requests with a part that crashes replicas begin to come");
    poisons.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(50));
    let end_ms = record.ms();
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(3));
    let crashes = group.crashes();
    let Some(&last) = crashes.get(4).or(crashes.last()) else {
        return Err("no replica crashed".to_owned());
    };
    let sent = sent.lock().unwrap_or_else(|e| e.into_inner());
    let share_of = |from: u64, to: u64| {
        let in_time: Vec<_> = sent.iter().filter(|(_, at)| (from..to).contains(at)).collect();
        let begun = in_time.iter().filter(|(attempt, _)| group.has_begun(attempt)).count();
        (begun, in_time.len())
    };
    let before = share_of(start_ms, before_ms);
    let after = share_of(last + 2 * CONTACT_MS, end_ms);
    record.line(&format!("crashes at {crashes:?} ms"));
    record.line(&format!("sound requests that began: before {} of {}, from 2 x contactMs after the crashes {} of {}", before.0, before.1, after.0, after.1));
    for gateway in &gateways {
        let log = gateway.log_text();
        for line in log.lines().filter(|l| l.contains("quarantined") && l.contains("WARN")) {
            record.line(&format!("{} logs {line}", gateway.name));
        }
    }
    if before.1 < 20 || after.1 < 20 || before.0 < 20 {
        return Err("too few requests".to_owned());
    }
    Ok(2 * after.0 * before.1 >= before.0 * after.1)
}
