//! A configuration has taken all requests away from a service, and the replicas of the one that gets them are lost.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::Traffic;
use crate::env::{Case, Gateway, Verdict, configuration, route};
use crate::replica::Replica;
use crate::store::Store;

/// The service that had all requests before.
const FORMER: &str = "ledger";
/// The service that has them now.
const LATTER: &str = "ledger-new";
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(60);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Three heartbeats, after which the entry of a replica that is silent is removed.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);
/// The bound `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new(record);
    let to = |split: &str| [route("/sign/", "unsafe", 2_000, 1, split)];
    let former_only = to(&format!(r#""service":"{FORMER}""#));
    store.put("op", "config", Some(&configuration(1, &former_only, &[FORMER, LATTER])));
    let start = |id: &str, service: &str, zone| Replica::start(id, service, WORK, record).in_zone(zone);
    let former = ["i-1", "i-2", "i-3"].map(|id| start(id, FORMER, "zone-a"));
    let latter = ["i-4", "i-5"].map(|id| start(id, LATTER, "zone-b"));
    for replica in former.iter().chain(&latter) {
        store.put("servers", &replica.id, Some(&replica.entry(1)));
    }
    let Some(mut gateway) = Gateway::start("front-1", store.listen("front-1"), &case.scratch) else {
        return Verdict::NotRun("the gateway did not start".to_owned());
    };
    if !gateway.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the gateway is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let requests = [("POST", "/sign/1")];
    let traffic = Traffic::start(gateway.callers, &gateway.name, &requests, "", REQUEST_INTERVAL, record);
    thread::sleep(Duration::from_secs(2));
    let moved = to(&format!(
        r#""trafficSplit":[{{"service":"{FORMER}","weight":0}},{{"service":"{LATTER}","weight":100}}]"#
    ));
    store.put("op", "config", Some(&configuration(2, &moved, &[FORMER, LATTER])));
    let acknowledged = Instant::now();
    record.line("store: accepts the configuration that takes all requests away from the former service");
    thread::sleep(CONFIG_APPLY + Duration::from_secs(4));
    if case.has_trouble {
        record.line("all replicas of the failure domain zone-b crash");
        latter.iter().for_each(Replica::end);
        thread::sleep(ENTRY_LIFE);
        for replica in &latter {
            store.put("servers", &replica.id, None);
        }
        record.line("store: removes their entries");
    }
    thread::sleep(Duration::from_secs(5));
    let sent = traffic.stop();
    let runs: Vec<String> = former.iter().flat_map(Replica::runs).collect();
    let is_late = |attempt: &&String| {
        let mut late = sent.iter().filter(|s| s.at > acknowledged + CONFIG_APPLY);
        late.any(|s| s.attempt == **attempt)
    };
    let late: Vec<&String> = runs.iter().filter(is_late).collect();
    let before = runs.len() - late.len();
    record.line(&format!(
        "{before} requests ran at the former service before, {} after",
        late.len()
    ));
    if before == 0 || latter.iter().all(|r| r.runs().is_empty()) {
        return Verdict::NotRun("a service got no requests".to_owned());
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} requests that were sent more than configApplyMs after the acknowledgement ran at the former service",
            late.len()
        ))
    }
}
