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
        "memory-of-answers" => memory_of_answers(trouble, record),
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
        .map(|n| {
            Replica::start(
                &format!("i-ledger-{n}"),
                record,
                answers_after(Duration::from_millis(15), BYTES),
            )
        })
        .collect();
    for replica in &replicas {
        env::register(&store, replica, "contract-ledger", "hu-central-a", 6, "ready");
    }
    env::configure(
        &store,
        record,
        1,
        &[("/lots/", "safe", "contract-ledger", 8_000, 2)],
        15_000,
    );
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
                stream
                    .write_all(client::request("GET", "/lots/all", &attempt, 8_000, "").as_bytes())
                    .ok()?;
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

/// LOST: gateways that get SIGTERM in turn exit while requests run that they have just accepted.
fn stop_while_request_begins(trouble: bool, record: &Record) -> Outcome {
    /// Time from the SIGTERM of one machine to that of the next.
    const GAP: Duration = Duration::from_millis(1_300);
    /// When each client has sent the last byte of its request, from the SIGTERM of its machine on.
    const SENT_AFTER_MS: [u64; 4] = [2_630, 2_650, 2_680, 2_720];
    let store = Store::start();
    let replicas: Vec<Replica> = (0..3)
        .map(|n| {
            Replica::start(
                &format!("i-ledger-{n}"),
                record,
                answers_after(Duration::from_millis(400), 800),
            )
        })
        .collect();
    for replica in &replicas {
        env::register(&store, replica, "payout-ledger", "nl-west-a", 6, "ready");
    }
    env::configure(
        &store,
        record,
        1,
        &[("/payout/", "unsafe", "payout-ledger", 4_000, 1)],
        15_000,
    );
    let mut gateways = Vec::new();
    for n in 1..=SENT_AFTER_MS.len() {
        gateways.push(Gateway::start(
            &format!("front-nl-west-a-{n}"),
            "nl-west-a",
            260,
            &store,
        )?);
    }
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let mut clients = Vec::new();
    for (gateway, sent_after_ms) in gateways.iter().zip(SENT_AFTER_MS) {
        let term = Instant::now();
        if trouble {
            record.line(&format!(
                "SIGTERM to {}; SIGKILL would follow after graceS = 8 s",
                gateway.name
            ));
            gateway.signal(env::SIGTERM);
        }
        let (record, callers, attempt) = (record.clone(), gateway.callers, format!("booking-at-{}", gateway.name));
        clients.push(std::thread::spawn(move || {
            // The balancer takes a machine out after two questions, one a second.
            sleep_until(term + Duration::from_millis(1_700));
            let text = client::request("POST", "/payout/book", &attempt, 4_000, "slip");
            let mut stream = TcpStream::connect(callers).ok()?;
            let (first, rest) = text.split_at(60);
            stream.write_all(first.as_bytes()).ok()?;
            record.line(&format!("client connects and begins to send {attempt}"));
            sleep_until(term + Duration::from_millis(sent_after_ms));
            let sent = stream.write_all(rest.as_bytes()).is_ok();
            record.line(&format!(
                "client has sent all of {attempt}: {sent}; waits 4000 ms at most"
            ));
            let got = client::read_answer(stream, None, Instant::now() + Duration::from_millis(3_900));
            record.line(&format!("client got of {attempt}: {got:?}"));
            Some((attempt, got))
        }));
        std::thread::sleep(GAP);
    }
    let (mut whole, mut lost) = (0, 0);
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
    // Replicas may still work on what was cut.
    std::thread::sleep(Duration::from_millis(500));
    let exited = gateways.iter_mut().filter_map(|g| g.has_exited().then_some(1)).count();
    record.line(&format!(
        "gateways that have exited: {exited}; complete answers: {whole}, passed on, run and cut: {lost}"
    ));
    if whole + lost == 0 {
        return Err("no request was passed on".to_owned());
    }
    Ok(lost == 0)
}

/// LOST: after a restart of the gateways, requests with a part that crashes replicas have all requests of the same first part
/// refused.
fn poison_after_restart(trouble: bool, record: &Record) -> Outcome {
    /// `contactMs` of the settings.
    const CONTACT_MS: u64 = 3_000;
    let store = Store::start();
    let group = Group::start(4, "bad0bad0", &store, record);
    env::configure(
        &store,
        record,
        1,
        &[("/draft/", "streaming", "drafting-model", 8_000, 2)],
        15_000,
    );
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
            record.line(&format!(
                "client got of {attempt}: status {status}, {bytes} bytes, complete {complete}"
            ));
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
                sent.lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .push((attempt.clone(), record.ms()));
                spawn_request(
                    attempt,
                    format!("5c1e07a2:40,{n:08x}:700"),
                    callers[n % 2],
                    record.clone(),
                );
                std::thread::sleep(Duration::from_millis(125));
            }
        });
    }
    {
        let (stop, poisons, record, callers) =
            (Arc::clone(&stop), Arc::clone(&poisons), record.clone(), callers.clone());
        std::thread::spawn(move || {
            for n in 0_usize.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                if poisons.load(Ordering::Relaxed) {
                    let attempt = format!("p{n}");
                    spawn_request(
                        attempt,
                        format!("5c1e07a2:40,bad0bad0:300,f{n:07x}:400"),
                        callers[n % 2],
                        record.clone(),
                    );
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
    record.line(&format!(
        "sound requests that began: before {} of {}, from 2 x contactMs after the crashes {} of {}",
        before.0, before.1, after.0, after.1
    ));
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

/// Fault: after the loss of machines, the others need more memory than they have for the answers that they send to clients.
fn memory_of_answers(trouble: bool, record: &Record) -> Outcome {
    const MEMORY_MB: u64 = 260;
    const BYTES: usize = 7_500_000;
    const BYTES_PER_SECOND: usize = 1_050_000;
    /// Time between two requests to the whole system: nine a second.
    const INTERVAL: Duration = Duration::from_micros(111_000);
    const LOSS_AT: Duration = Duration::from_secs(10);
    const LENGTH: Duration = Duration::from_secs(85);
    let store = Store::start();
    let replicas: Vec<Replica> = (0..3)
        .map(|n| {
            Replica::start(
                &format!("i-ledger-{n}"),
                record,
                answers_after(Duration::from_millis(15), BYTES),
            )
        })
        .collect();
    for replica in &replicas {
        env::register(&store, replica, "contract-ledger", "hu-central-a", 6, "ready");
    }
    env::configure(
        &store,
        record,
        1,
        &[("/lots/", "safe", "contract-ledger", 8_000, 2)],
        15_000,
    );
    let mut gateways = Vec::new();
    for (name, zone) in [
        ("a-1", "hu-central-a"),
        ("b-1", "hu-central-b"),
        ("a-2", "hu-central-a"),
        ("b-2", "hu-central-b"),
    ] {
        gateways.push(Gateway::start(
            &format!("front-hu-central-{name}"),
            zone,
            MEMORY_MB,
            &store,
        )?);
    }
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let start = Instant::now();
    let results = Arc::new(Mutex::new([0_u64; 3]));
    let callers: Vec<_> = gateways.iter().map(|g| g.callers).collect();
    {
        let (results, record) = (Arc::clone(&results), record.clone());
        std::thread::spawn(move || {
            for n in 0_usize.. {
                let at = start.elapsed();
                if at > LENGTH {
                    return;
                }
                let machines = if trouble && at >= LOSS_AT { 2 } else { 4 };
                let to = callers[n % machines];
                let (results, record) = (Arc::clone(&results), record.clone());
                std::thread::spawn(move || {
                    let attempt = format!("a{n}");
                    let until = Instant::now() + Duration::from_millis(7_900);
                    let got = match client::connect_over_link(to) {
                        Some(mut stream) => {
                            let text = client::request("GET", "/lots/all", &attempt, 8_000, "");
                            let _sent = stream.write_all(text.as_bytes());
                            client::read_answer(stream, Some(BYTES_PER_SECOND), until)
                        }
                        None => Got::Nothing,
                    };
                    let kind = match got {
                        Got::Whole { status: 200, .. } => 0,
                        Got::Part { .. } => 1,
                        _ => 2,
                    };
                    results.lock().unwrap_or_else(|e| e.into_inner())[kind] += 1;
                    record.line(&format!("client got of {attempt}: {got:?}"));
                });
                std::thread::sleep(INTERVAL);
            }
        });
    }
    let (mut ends, mut peaks) = ([0_u32; 4], [0_u64; 4]);
    let mut machines = 4;
    while start.elapsed() < LENGTH && ends.iter().filter(|e| **e >= 3).count() < 2 {
        if trouble && machines == 4 && start.elapsed() >= LOSS_AT {
            record.line("two of the four machines are lost for good");
            machines = 2;
            gateways[2].kill();
            gateways[3].kill();
        }
        for (g, gateway) in gateways.iter_mut().enumerate().take(machines) {
            let kb = gateway.resident_kb();
            peaks[g] = peaks[g].max(kb);
            if kb > MEMORY_MB * 1_024 || gateway.has_exited() {
                ends[g] += 1;
                record.line(&format!(
                    "{} uses {kb} KB, more than memoryMb = {MEMORY_MB}: the platform kills it and starts it again",
                    gateway.name
                ));
                gateway.kill();
                std::thread::sleep(Duration::from_millis(300));
                gateway.restart()?;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let [whole, part, nothing] = *results.lock().unwrap_or_else(|e| e.into_inner());
    record.line(&format!("processes ended {ends:?} times, most memory {peaks:?} KB"));
    record.line(&format!("answers: {whole} whole, {part} in part, {nothing} none"));
    if whole == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(ends.iter().filter(|e| **e >= 3).count() < 2)
}
