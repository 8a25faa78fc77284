//! A replica leaves, and a drill of the store follows: it comes back from a copy in which the replica is still ready.

use std::thread;
use std::time::{Duration, Instant};

use crate::replica::{Options, unix_ms};
use crate::system::{DRAIN_MS, System, free_addr};

const GATEWAYS: usize = 6;
/// Bookings and lookups a second, as on the site's sheet.
const BOOKINGS_PER_S: f64 = 4.86;
const LOOKUPS_PER_S: f64 = 3.0;
/// Time from the copy to the report that the replica leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(500);
/// Time from that report until the store is away, and for how long it is.
const DRILL_AFTER: Duration = Duration::from_millis(3_500);
const AWAY: Duration = Duration::from_millis(400);
/// Time from the store's return until the replica has written its entry again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(2_000);
/// Time from the report until the replica exits.
const EXIT_AFTER: Duration = Duration::from_millis(6_200);

pub fn run(case: &str) -> i32 {
    let mut system = System::new(case);
    for index in 0..3 {
        let options = Options {
            id: format!("ledger-{index}"),
            addr: free_addr().to_string(),
            work_ms: 60,
            pieces: 10,
            gap_ms: 0,
            form: "length".to_owned(),
            ..Options::default()
        };
        system.start_replica("ledger", options, None);
        system.register(index, "ready");
    }
    system.start_idle_models();
    system.configure();
    if !system.start_gateways(GATEWAYS) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let mut sent = [0_usize; 2];
    let mut keep_sending = |system: &System, until: Instant| {
        while Instant::now() < until {
            let elapsed = started.elapsed().as_secs_f64();
            let due = [BOOKINGS_PER_S, LOOKUPS_PER_S].map(|rate| (elapsed * rate) as usize);
            if sent[0] < due[0] {
                system.send("book", sent[0] % GATEWAYS, "POST", "/book/slip", 4_000, "");
                sent[0] += 1;
            }
            if sent[1] < due[1] {
                system.send("look", (sent[1] + 3) % GATEWAYS, "GET", "/look/saldo", 4_000, "");
                sent[1] += 1;
            }
            thread::sleep(Duration::from_millis(5));
        }
    };
    keep_sending(&system, Instant::now() + Duration::from_secs(4));
    let copy = system.store.copy();
    keep_sending(&system, Instant::now() + LEAVES_AFTER);
    let leaves = Instant::now();
    system.tell_replica(0, "leave");
    system.register(0, "draining");
    let acknowledged_at = unix_ms();
    system.note("ledger-0 reports that it is draining, and the store has accepted that");
    keep_sending(&system, leaves + DRILL_AFTER);
    if system.has_trouble {
        system.store.go_away();
        system.note("the store is away");
    }
    keep_sending(&system, leaves + DRILL_AFTER + AWAY);
    let returned = Instant::now();
    if system.has_trouble {
        system.store.come_back(copy);
        system.note("the store is back, from the copy");
    }
    keep_sending(&system, returned + WRITTEN_AGAIN_AFTER);
    if system.has_trouble {
        system.register(0, "draining");
        system.note("ledger-0 has written its entry again");
    }
    keep_sending(&system, leaves + EXIT_AFTER);
    system.kill_replica(0);
    system.note("ledger-0 has exited");
    system.store.put("servers", "ledger-0", None);
    keep_sending(&system, Instant::now() + Duration::from_secs(3));
    system.wait_for_clients();
    system.write_record();
    let answers = system.answers.lock().expect("no panic under the lock").clone();
    let gateway_of = |attempt: &str| answers.iter().find(|a| a.attempt == attempt).map(|a| a.gateway);
    let is_of = |n: &&(u64, String, String, String)| n.1 == "ledger-0" && n.2 == "runs";
    let runs: Vec<_> = system.replica_notes().iter().filter(is_of).cloned().collect();
    let late: Vec<_> = runs.iter().filter(|n| n.0 > acknowledged_at + DRAIN_MS).collect();
    for n in &late {
        let last_before = runs.iter().filter(|b| b.0 < acknowledged_at + DRAIN_MS && gateway_of(&b.3) == gateway_of(&n.3));
        let status = answers.iter().find(|a| a.attempt == n.3).map_or(0, |a| a.status());
        system.note(&format!(
            "BROKEN: {} from gateway {:?} runs on ledger-0 {} ms after the acknowledgement; the last one before was {:?} ms after it; the client has status {status}",
            n.3,
            gateway_of(&n.3),
            n.0 - acknowledged_at,
            last_before.map(|b| b.0 as i64 - acknowledged_at as i64).max()
        ));
    }
    system.note(&format!("answers: {}; requests that the leaving replica ran later than drainMs: {}", system.summary(), late.len()));
    i32::from(!late.is_empty())
}
