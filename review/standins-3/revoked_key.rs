//! A key is taken away. A drill of the store undoes that for a moment, while several gateways are killed and start again.

use std::thread;
use std::time::{Duration, Instant};

use crate::replica::{Options, unix_ms};
use crate::system::{KEY, System, free_addr};

const GATEWAYS: usize = 6;
/// Number of gateways that are killed, unless `KILLS` names another.
const KILLS: usize = 6;
const REVOKED_KEY: &str = "key-that-was-lost";
const REVOKE_MS: u64 = 5_000;
/// Requests a second to each gateway, with either key.
const PER_S: f64 = 8.0;
/// Time from the copy until the key is taken away.
const REVOKED_AFTER: Duration = Duration::from_millis(200);
/// Time from then until the store is away and the gateways are killed.
const DRILL_AFTER: Duration = Duration::from_millis(4_300);
const AWAY: Duration = Duration::from_millis(300);
/// Time from the kill until the processes start again, each a little after the one before.
const START_AFTER: Duration = Duration::from_millis(500);
const START_GAP: Duration = Duration::from_millis(20);
/// Time from the store's return until the operator has written again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(2_000);

pub fn run(case: &str) -> i32 {
    let kills = std::env::var("KILLS").ok().and_then(|p| p.parse().ok()).unwrap_or(KILLS);
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
    system.configure_with(7, &[KEY, REVOKED_KEY]);
    if !system.start_gateways(GATEWAYS) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let mut sent = 0;
    let mut keep_sending = |system: &System, until: Instant| {
        while Instant::now() < until {
            let due = (started.elapsed().as_secs_f64() * PER_S * GATEWAYS as f64) as usize;
            while sent < due {
                let (kind, key) = if sent / GATEWAYS % 2 == 0 { ("kept", KEY) } else { ("revoked", REVOKED_KEY) };
                system.send_with_key(kind, sent % GATEWAYS, "GET", "/look/saldo", 4_000, "", key);
                sent += 1;
            }
            thread::sleep(Duration::from_millis(5));
        }
    };
    keep_sending(&system, Instant::now() + Duration::from_secs(4));
    let copy = system.store.copy();
    keep_sending(&system, Instant::now() + REVOKED_AFTER);
    system.configure_with(9, &[KEY]);
    let revoked = Instant::now();
    let acknowledged_at = unix_ms();
    system.note("a configuration takes a key away, and the store has accepted it");
    keep_sending(&system, revoked + DRILL_AFTER);
    let drill = Instant::now();
    if system.has_trouble {
        system.store.go_away();
        for index in 0..kills {
            system.kill_gateway(index);
        }
        system.note(&format!("the store is away; {kills} gateways are killed"));
    }
    keep_sending(&system, drill + AWAY);
    let returned = Instant::now();
    if system.has_trouble {
        system.store.come_back(copy);
        system.note("the store is back, from a copy in which the key is there");
    }
    for index in 0..kills {
        keep_sending(&system, drill + START_AFTER + START_GAP * index as u32);
        if system.has_trouble {
            system.restart_gateway(index);
        }
    }
    keep_sending(&system, returned + WRITTEN_AGAIN_AFTER);
    if system.has_trouble {
        system.configure_with(9, &[KEY]);
        system.note("the operator has written the configuration again");
    }
    keep_sending(&system, Instant::now() + Duration::from_secs(4));
    system.wait_for_clients();
    system.write_record();
    let answers = system.answers.lock().expect("no panic under the lock").clone();
    let runs = system.replica_notes();
    let mut broken = 0;
    for a in answers.iter().filter(|a| a.kind == "revoked" && a.sent_at > acknowledged_at + REVOKE_MS) {
        if runs.iter().any(|n| n.2 == "runs" && n.3 == a.attempt) {
            broken += 1;
            system.note(&format!(
                "BROKEN: {} at gateway {} was sent {} ms after the acknowledgement and ran; status {}",
                a.attempt,
                a.gateway,
                a.sent_at - acknowledged_at,
                a.status()
            ));
        }
    }
    let early = answers.iter().filter(|a| a.kind == "revoked" && a.sent_at > acknowledged_at + 1_000 && a.status() == 200).count();
    system.note(&format!("answers: {}; with the key that was taken away, later than a second: {early}, later than revokeMs: {broken}", system.summary()));
    i32::from(broken > 0)
}
