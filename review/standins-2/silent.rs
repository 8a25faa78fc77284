//! A replica pauses in the middle of a stream while its gateway is stopped as planned, and the other replicas are full.

use std::thread;
use std::time::Duration;

use crate::client::Traffic;
use crate::env::{Case, Gateway, Verdict, configuration, route};
use crate::replica::Replica;
use crate::store::Store;

/// The number of replicas.
const REPLICAS: usize = 3;
/// How long a replica works on a request that is no stream.
const WORK: Duration = Duration::from_millis(20);
/// A time in which one request is sent.
const ONE_REQUEST: Duration = Duration::from_secs(60);
/// The time between the start of two streams.
const APART: Duration = Duration::from_millis(300);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new(record);
    let routes = [route("/draft/", "streaming", 8_000, 2, r#""service":"model""#)];
    store.put("op", "config", Some(&configuration(1, &routes, &["model"])));
    let start = |number: usize| Replica::start(&format!("i-{number}"), "model", WORK, record);
    let replicas: Vec<Replica> = (1..=REPLICAS).map(start).collect();
    for replica in &replicas {
        store.put("servers", &replica.id, Some(&replica.entry(1)));
    }
    let Some(mut gateway) = Gateway::start("front-1", store.listen("front-1"), &case.scratch) else {
        return Verdict::NotRun("the gateway did not start".to_owned());
    };
    if !gateway.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the gateway is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let begin = |path| {
        let requests = [("POST", path)];
        let traffic = Traffic::start(gateway.callers, &gateway.name, &requests, "", ONE_REQUEST, record);
        thread::sleep(APART);
        traffic
    };
    // Each stream goes to the replica with the fewest.
    let steady = [begin("/draft/steady"), begin("/draft/steady")];
    let preempted = begin("/draft/preempted");
    record.line("the replicas are full from now on");
    replicas.iter().for_each(Replica::fill);
    if case.has_trouble {
        record.line("platform: stops the gateway (SIGTERM)");
        if !gateway.terminate() {
            return Verdict::NotRun("no signal was sent".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(5));
    // Whether each stream has begun, and whether it is whole.
    let outcome = |traffic: Traffic| {
        let sent = traffic.stop();
        let answers = sent
            .iter()
            .filter_map(|s| s.answer.as_ref())
            .filter(|a| a.status() == 200);
        answers.map(|a| a.is_complete).next()
    };
    let [steady_1, steady_2] = steady.map(outcome);
    let preempted = outcome(preempted);
    record.line(&format!(
        "whole streams: steady {steady_1:?} and {steady_2:?}, preempted {preempted:?}"
    ));
    if steady_1 != Some(true) || steady_2 != Some(true) {
        return Verdict::NotRun("a steady stream is not whole".to_owned());
    }
    let Some(is_whole) = preempted else {
        return Verdict::NotRun("the stream did not begin".to_owned());
    };
    // Without planned work, the rule doesn't say anything about the stream.
    if is_whole || !case.has_trouble {
        Verdict::Held
    } else {
        Verdict::Broken("a stream that was passed on to a sound replica ended without a complete answer".to_owned())
    }
}
