//! The configuration changes: a route moves to another service and gets a rank far behind the others.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::Traffic;
use crate::env::{Case, Gateway, Verdict, configuration, route, route_of_rank};
use crate::replica::Replica;
use crate::store::Store;

/// The service of the route before the change.
const FORMER: &str = "ledger";
/// The service of the route after it.
const LATTER: &str = "ledger-new";
/// The rank of the route after the change.
const RANK: u32 = 300;
/// Its rank without the disruption.
const USUAL_RANK: u32 = 3;
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(60);
/// The time between two requests on a route.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// The bound `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// The time after the change in which requests are sent.
const OBSERVED: Duration = Duration::from_secs(12);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new(record);
    let service = |name: &str| format!(r#""service":"{name}""#);
    let other = route("/lots/", "safe", 2_000, 2, &service(FORMER));
    let moved = |name, rank| route_of_rank("/sign/", "unsafe", 2_000, 1, &service(name), rank);
    let services = [FORMER, LATTER];
    store.put(
        "op",
        "config",
        Some(&configuration(
            1,
            &[other.clone(), moved(FORMER, USUAL_RANK)],
            &services,
        )),
    );
    let start = |id: &str, name: &str| Replica::start(id, name, WORK, record);
    let former = ["i-1", "i-2", "i-3"].map(|id| start(id, FORMER));
    let latter = ["i-4", "i-5", "i-6"].map(|id| start(id, LATTER));
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
    let begin = |method, path| {
        let requests = [(method, path)];
        Traffic::start(gateway.callers, &gateway.name, &requests, "", REQUEST_INTERVAL, record)
    };
    let traffic = [begin("POST", "/sign/1"), begin("GET", "/lots/1")];
    thread::sleep(Duration::from_secs(4));
    let rank = if case.has_trouble { RANK } else { USUAL_RANK };
    store.put(
        "op",
        "config",
        Some(&configuration(2, &[other, moved(LATTER, rank)], &services)),
    );
    let acknowledged = Instant::now();
    record.line(&format!(
        "store: accepts version 2, in which /sign/ has moved and has the priority {rank}"
    ));
    thread::sleep(OBSERVED);
    let [sign, lots] = traffic.map(Traffic::stop);
    let runs: Vec<String> = former.iter().flat_map(Replica::runs).collect();
    let late = sign.iter().filter(|s| s.at > acknowledged + CONFIG_APPLY);
    let by_former = late.filter(|s| runs.contains(&s.attempt)).count();
    let is_served = |s: &&crate::client::Sent| s.answer.as_ref().is_some_and(|a| a.status() == 200);
    let is_last = |s: &&crate::client::Sent| s.at > acknowledged + OBSERVED / 2;
    for (name, sent) in [("/sign/", &sign), ("/lots/", &lots)] {
        let last = sent.iter().filter(is_last).count();
        let served = sent.iter().filter(is_last).filter(is_served).count();
        record.line(&format!(
            "{name}: {served} of {last} requests of the last {:?} were served",
            OBSERVED / 2
        ));
    }
    if !sign.iter().any(|s| s.at < acknowledged && is_served(&s)) {
        return Verdict::NotRun("no request was served before the change".to_owned());
    }
    if by_former == 0 {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{by_former} requests that were sent more than configApplyMs after the acknowledgement ran at the former service"
        ))
    }
}
