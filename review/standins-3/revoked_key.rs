//! A key is taken away. A drill of the store undoes that for a moment, while most gateways are killed and start again. Several
//! rounds of this, each with a key of its own.

use std::thread;
use std::time::{Duration, Instant};

use crate::replica::{Options, unix_ms};
use crate::system::{KEY, System, free_addr};

const GATEWAYS: usize = 6;
/// Number of gateways that are killed, unless `KILLS` names another.
const KILLS: usize = 5;
const ROUNDS: usize = 6;
/// The gateways that are killed, in the order in which they start again.
const START_ORDER: [usize; GATEWAYS] = [2, 0, 1, 3, 4, 5];
const REVOKE_MS: u64 = 5_000;
/// Requests a second to each gateway, with either key by turns.
const PER_S: f64 = 8.0;
/// Time for which the key is valid before the copy is made, and from the copy until the key is taken away.
const VALID_TIME: Duration = Duration::from_millis(2_500);
const REVOKED_AFTER: Duration = Duration::from_millis(200);
/// Time from then until the store is away and the gateways are killed.
const DRILL_AFTER: Duration = Duration::from_millis(4_600);
const AWAY: Duration = Duration::from_millis(300);
/// Time from the kill until the processes start again, each a little after the one before.
const START_AFTER: Duration = Duration::from_millis(500);
const START_GAP: Duration = Duration::from_millis(25);
/// Time from the store's return until the operator has written again, and from then to the next round.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(2_000);
const REST: Duration = Duration::from_millis(3_000);

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
    system.configure_with(7, &[KEY]);
    if !system.start_gateways(GATEWAYS) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    for round in 0..ROUNDS {
        let lost_key = format!("key-that-was-lost-{round}");
        let mut attempts = Vec::new();
        let started = Instant::now();
        let mut sent = 0;
        let mut keep_sending = |system: &System, until: Instant| {
            while Instant::now() < until {
                let due = (started.elapsed().as_secs_f64() * PER_S * GATEWAYS as f64) as usize;
                while sent < due {
                    let is_lost = sent / GATEWAYS % 2 == 1;
                    let (kind, key) = if is_lost { ("revoked", lost_key.as_str()) } else { ("kept", KEY) };
                    let attempt = system.send_with_key(kind, sent % GATEWAYS, "GET", "/look/saldo", 4_000, "", key);
                    if is_lost {
                        attempts.push(attempt);
                    }
                    sent += 1;
                }
                thread::sleep(Duration::from_millis(5));
            }
        };
        let version = 10 + 10 * round as u64;
        system.configure_with(version, &[KEY, &lost_key]);
        keep_sending(&system, Instant::now() + VALID_TIME);
        let copy = system.store.copy();
        keep_sending(&system, Instant::now() + REVOKED_AFTER);
        system.configure_with(version + 3, &[KEY]);
        let revoked = Instant::now();
        let acknowledged_at = unix_ms();
        system.note(&format!("round {round}: configuration {} takes a key away, and the store has accepted it", version + 3));
        keep_sending(&system, revoked + DRILL_AFTER);
        let drill = Instant::now();
        if system.has_trouble {
            system.store.go_away();
            for index in START_ORDER.into_iter().take(kills) {
                system.kill_gateway(index);
            }
            system.note(&format!("the store is away; {kills} gateways are killed"));
        }
        keep_sending(&system, drill + AWAY);
        let returned = Instant::now();
        if system.has_trouble {
            system.store.come_back(copy);
            system.note(&format!("the store is back, from a copy with configuration {version}"));
        }
        for (at, index) in START_ORDER.into_iter().take(kills).enumerate() {
            keep_sending(&system, drill + START_AFTER + START_GAP * at as u32);
            if system.has_trouble {
                system.restart_gateway(index);
            }
        }
        keep_sending(&system, returned + WRITTEN_AGAIN_AFTER);
        if system.has_trouble {
            system.configure_with(version + 3, &[KEY]);
            system.note(&format!("the operator has written configuration {} again", version + 3));
        }
        keep_sending(&system, Instant::now() + REST);
        system.wait_for_clients();
        let answers = system.answers.lock().expect("no panic under the lock").clone();
        let runs = system.replica_notes();
        for attempt in &attempts {
            let Some(a) = answers.iter().find(|a| a.attempt == *attempt && a.sent_at > acknowledged_at + REVOKE_MS) else {
                continue;
            };
            if runs.iter().any(|n| n.2 == "runs" && n.3 == *attempt) {
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
    }
    system.write_record();
    system.note(&format!("answers: {}; requests that ran with a key that was taken away, later than revokeMs: {broken}", system.summary()));
    i32::from(broken > 0)
}
