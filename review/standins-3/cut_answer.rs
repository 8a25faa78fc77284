//! A replica is cut off while it writes answers without a length, is killed behind the cut and starts again; then the cut ends.
//!
//! With `KILL=1`, nothing is cut: the replica is only killed, and starts again. Then there is no link between it and the gateways.

use std::thread;
use std::time::{Duration, Instant};

use crate::link::Link;
use crate::replica::{Options, PIECE_BYTES, piece};
use crate::system::{System, free_addr};

/// Number of the ledger's replicas, so that one of them is a share that the site file names.
const LEDGERS: usize = 6;
const PIECES: usize = 10;
/// Time between two pieces, in milliseconds.
const GAP_MS: u64 = 270;
/// Number of crashes, of one replica each.
const CRASHES: usize = 36;
/// The same with cuts, which take longer.
const CRASHES_BEHIND_CUTS: usize = 12;
/// Time from the beginning of a cut to its end, to the crash, and from either beginning to the next start.
const CUT_TIME: Duration = Duration::from_millis(2_000);
const CRASH_AFTER: Duration = Duration::from_millis(150);
const START_AFTER: Duration = Duration::from_millis(1_200);
/// Time from a crash until the entry of the process is removed: three heartbeat intervals.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
const BETWEEN_CRASHES: Duration = Duration::from_millis(1_100);
/// Bookings and lookups a second, as on the site's sheet.
const BOOKINGS_PER_S: f64 = 4.86;
const LOOKUPS_PER_S: f64 = 3.0;

pub fn run(case: &str) -> i32 {
    let mut system = System::new(case);
    let cuts = std::env::var("KILL").as_deref() != Ok("1");
    let mut links = Vec::new();
    for index in 0..LEDGERS {
        let (own, listed) = (free_addr(), free_addr());
        let options = Options {
            id: format!("ledger-{index}-0"),
            addr: own.to_string(),
            work_ms: 60,
            pieces: PIECES,
            gap_ms: GAP_MS,
            form: "none".to_owned(),
            ..Options::default()
        };
        system.start_replica("ledger", options, cuts.then_some(listed));
        if cuts {
            links.push(Link::start(listed, own));
        }
        system.register(index, "ready");
    }
    system.start_idle_models();
    system.configure();
    if !system.start_gateways(6) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let mut entries: Vec<(Instant, String)> = Vec::new();
    let mut sent = [0_usize; 2];
    let mut keep_sending = |system: &System, until: Instant| {
        while Instant::now() < until {
            let elapsed = started.elapsed().as_secs_f64();
            let due = [BOOKINGS_PER_S, LOOKUPS_PER_S].map(|rate| (elapsed * rate) as usize);
            if sent[0] < due[0] {
                system.send("book", sent[0] % 6, "POST", "/book/slip", 4_000, "");
                sent[0] += 1;
            }
            if sent[1] < due[1] {
                system.send("look", (sent[1] + 3) % 6, "GET", "/look/saldo", 4_000, "");
                sent[1] += 1;
            }
            thread::sleep(Duration::from_millis(5));
        }
    };
    for crash in 0..if cuts { CRASHES_BEHIND_CUTS } else { CRASHES } {
        keep_sending(&system, Instant::now() + BETWEEN_CRASHES);
        for (_, id) in entries.iter().filter(|(at, _)| *at <= Instant::now()) {
            system.store.put("servers", id, None);
        }
        entries.retain(|(at, _)| *at > Instant::now());
        let index = crash % LEDGERS;
        let begin = Instant::now();
        let former = system.replicas[index].options.id.clone();
        if system.has_trouble && cuts {
            links[index].cut();
            system.note(&format!("{former} is cut off"));
            keep_sending(&system, begin + CRASH_AFTER);
        }
        if system.has_trouble {
            system.kill_replica(index);
            system.note(&format!("{former} is killed"));
        }
        keep_sending(&system, begin + START_AFTER);
        if system.has_trouble {
            system.restart_replica(index, &format!("ledger-{index}-{}", crash + 1));
            system.note(&format!("{} has started at its address", system.replicas[index].options.id));
        }
        if system.has_trouble && cuts {
            keep_sending(&system, begin + CUT_TIME);
            links[index].heal();
            system.note("the cut has ended");
        }
        if system.has_trouble {
            system.register(index, "ready");
            entries.push((Instant::now() + ENTRY_TIME - if cuts { CUT_TIME - CRASH_AFTER } else { START_AFTER }, former));
        }
    }
    keep_sending(&system, Instant::now() + BETWEEN_CRASHES);
    system.wait_for_clients();
    system.write_record();
    let answers = system.answers.lock().expect("no panic under the lock").clone();
    let mut broken = 0;
    for answer in &answers {
        let Some(message) = answer.message.as_ref().filter(|m| (200..300).contains(&m.status()) && m.complete) else {
            continue;
        };
        let whole: String = (1..=PIECES).map(|number| piece(&answer.attempt, number)).collect();
        if message.body != whole.as_bytes() {
            broken += 1;
            system.note(&format!(
                "BROKEN: {} got {} with {} bytes, complete, of the replica's {}",
                answer.attempt,
                message.status(),
                message.body.len(),
                PIECES * PIECE_BYTES
            ));
        }
    }
    system.note(&format!("{} answers: {}; successes that are not whole: {broken}", answers.len(), system.summary()));
    i32::from(broken > 0)
}
