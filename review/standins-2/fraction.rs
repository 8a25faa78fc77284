//! A deployment whose sheet has a fraction for one of its bounds.

use std::thread;
use std::time::Duration;

use crate::env::{Case, Gateway, Verdict, ledger_configuration};
use crate::replica::Replica;
use crate::store::Store;

/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(60);
/// How often the platform starts a process again that has ended.
const STARTS: usize = 5;
/// The pause before it does.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// The time in which a sound process becomes ready.
const STARTUP: Duration = Duration::from_secs(5);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new(record);
    store.put("op", "config", Some(&ledger_configuration()));
    let replica = Replica::start("i-1", "ledger", WORK, record);
    store.put("servers", &replica.id, Some(&replica.entry(1)));
    let stall_ms = if case.has_trouble { "1500.5" } else { "1500" };
    record.line(&format!("platform: the settings have \"stall_ms\": {stall_ms}"));
    let addr = store.listen("front-1");
    for start in 1..=STARTS {
        let Some(mut gateway) = Gateway::start("front-1", addr, stall_ms, &case.scratch) else {
            return Verdict::NotRun("the gateway can't be run".to_owned());
        };
        if gateway.wait_until_ready(STARTUP) {
            record.line(&format!("front-1: start {start}: ready"));
            return Verdict::Held;
        }
        let Some(code) = gateway.exit_code() else {
            return Verdict::NotRun("the gateway runs and is not ready".to_owned());
        };
        record.line(&format!(
            "front-1: start {start}: ended by itself with code {code}: {}",
            gateway.last_words()
        ));
        thread::sleep(RESTART_PAUSE);
    }
    Verdict::Broken(format!("the gateway ended by itself at each of {STARTS} starts"))
}
