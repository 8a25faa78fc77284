//! Replicas hand out wrong bytes: some answers have a coding, although clients say that they accept none.

use std::thread;
use std::time::Duration;

use crate::client::Traffic;
use crate::env::{Case, Gateway, Verdict, ledger_configuration};
use crate::replica::Replica;
use crate::store::Store;

/// The number of replicas.
const REPLICAS: usize = 5;
/// The number of replicas that spoil answers.
const FAULTY: usize = 3;
/// They spoil one of so many answers.
const SPOILS_EACH: usize = 34;
/// How long they do.
const FAULT_TIME: Duration = Duration::from_millis(5_000);
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(60);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(16);
/// The header of clients that want bodies without any coding.
const NO_CODING: &str = "Accept-Encoding: identity\r\n";

pub fn play(case: &Case) -> Verdict {
    let store = Store::new(&case.record);
    store.put("op", "config", Some(&ledger_configuration()));
    let replicas: Vec<Replica> = (1..=REPLICAS)
        .map(|i| Replica::start(&format!("i-{i}"), "ledger", WORK, &case.record))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, Some(&replica.entry(1)));
    }
    let Some(mut gateway) = Gateway::start("front-1", store.listen("front-1"), &case.scratch) else {
        return Verdict::NotRun("the gateway did not start".to_owned());
    };
    if !gateway.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the gateway is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let requests = [("GET", "/lots/1"), ("POST", "/sign/1")];
    let traffic = Traffic::start(
        gateway.callers,
        &gateway.name,
        &requests,
        NO_CODING,
        REQUEST_INTERVAL,
        &case.record,
    );
    thread::sleep(Duration::from_secs(1));
    if case.has_trouble {
        case.record.line("some replicas begin to hand out wrong bytes");
        replicas.iter().take(FAULTY).for_each(|r| r.spoil(SPOILS_EACH));
    }
    thread::sleep(FAULT_TIME);
    replicas.iter().for_each(|r| r.spoil(0));
    case.record.line("all replicas hand out their own bytes again");
    thread::sleep(Duration::from_secs(1));
    let sent = traffic.stop();
    let (mut served, mut wrong) = (0, Vec::new());
    for request in &sent {
        let Some(answer) = request.answer.as_ref().filter(|a| a.status() / 100 == 2) else {
            continue;
        };
        served += 1;
        let is_own = String::from_utf8_lossy(&answer.body).ends_with(&format!("for {}", request.attempt));
        if answer.header("content-encoding").is_some() || !is_own || !answer.is_complete {
            wrong.push(request.attempt.clone());
        }
    }
    case.record
        .line(&format!("{served} of {} requests were served", sent.len()));
    if served * 2 < sent.len() {
        return Verdict::NotRun("most requests were not served".to_owned());
    }
    if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} of {served} successes had a coding, and bytes that are no replica's body: {}",
            wrong.len(),
            wrong.join(", ")
        ))
    }
}
