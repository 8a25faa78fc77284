//! The only replica of a service crashes for good, to which a route sends one of ten requests.

use std::thread;
use std::time::Duration;

use crate::client::{Sent, Traffic};
use crate::env::{Case, Gateway, Verdict, configuration, route};
use crate::replica::Replica;
use crate::store::Store;

/// The service of the first route, and of nine of ten requests of the route that is added.
const MAIN: &str = "model";
/// The service of the others.
const NEW: &str = "model-new";
/// The number of replicas of [`MAIN`].
const REPLICAS: usize = 6;
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(20);
/// The time between two requests on a route.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Three heartbeats, after which the entry of a replica that is silent is removed.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);
/// The time from then until requests count, in which everything is calm. More than `contactMs`.
const CALM: Duration = Duration::from_secs(5);
/// The time for which requests count.
const COUNTED: Duration = Duration::from_secs(6);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new(record);
    let first = route("/draft/", "streaming", 8_000, 2, &format!(r#""service":"{MAIN}""#));
    store.put("op", "config", Some(&configuration(1, &[first.clone()], &[MAIN])));
    let start = |number: usize| Replica::start(&format!("i-{number}"), MAIN, WORK, record);
    let mut replicas: Vec<Replica> = (1..=REPLICAS).map(start).collect();
    replicas.push(Replica::start("i-new", NEW, WORK, record));
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
    record.line("store: accepts a configuration with a further route");
    let split = format!(r#""trafficSplit":[{{"service":"{NEW}","weight":10}},{{"service":"{MAIN}","weight":90}}]"#);
    let added = route("/draft-new/", "streaming", 8_000, 2, &split);
    store.put("op", "config", Some(&configuration(2, &[first, added], &[MAIN, NEW])));
    thread::sleep(Duration::from_secs(3));
    let before = count(&gateway, case, Duration::from_secs(3));
    if before.0 * 4 < before.1 * 3 {
        return Verdict::NotRun("the added route is not served before".to_owned());
    }
    if case.has_trouble {
        let new = &replicas[REPLICAS];
        new.end();
        thread::sleep(ENTRY_LIFE);
        store.put("servers", &new.id, None);
        record.line(&format!("store: removes the entry of {}", new.id));
    }
    thread::sleep(CALM);
    let (added, first) = count(&gateway, case, COUNTED);
    if first < 20 {
        return Verdict::NotRun("the first route is not served".to_owned());
    }
    if added * 4 < first {
        Verdict::Broken(format!(
            "{added} requests on the added route were served, and {first} on the first one"
        ))
    } else {
        Verdict::Held
    }
}

/// Sends requests on both routes for `time`, and returns how many were served on the added and on the first one.
fn count(gateway: &Gateway, case: &Case, time: Duration) -> (usize, usize) {
    let start = |path: &'static str| {
        let requests = [("POST", path)];
        Traffic::start(
            gateway.callers,
            &gateway.name,
            &requests,
            "",
            REQUEST_INTERVAL,
            &case.record,
        )
    };
    let (added, first) = (start("/draft-new/1"), start("/draft/1"));
    thread::sleep(time);
    let [added, first] = [added, first].map(|traffic| {
        let sent = traffic.stop();
        (sent.iter().filter(|s| is_served(s)).count(), sent.len())
    });
    case.record.line(&format!(
        "served: {} of {} on the added route, {} of {} on the first one",
        added.0, added.1, first.0, first.1
    ));
    (added.0, first.0)
}

fn is_served(sent: &Sent) -> bool {
    sent.answer.as_ref().is_some_and(|a| a.status() == 200 && a.is_complete)
}
