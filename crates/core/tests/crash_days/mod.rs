//! Days in virtual time on which requests with one segment crash every endpoint that answers them.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::crash_evidence::{CrashEvidence, is_proof};
use sycamorestile_core::time::Time;

const INSTANCES: usize = 8;
const ENDPOINTS: usize = 24;
/// Time between two requests of any kind.
const REQUEST_INTERVAL_MS: u64 = 15;
/// One of so many requests has the crashing segment.
const CRASHING_SHARE: u32 = 25;
/// Segments that requests draw from, in which sound and crashing requests don't differ.
const SEGMENTS: usize = 180;
/// Time from the beginning of a response to a crash.
const CRASH_DELAY_MS: u64 = 100;
/// Time that a sound response takes.
const RESPONSE_MS: u64 = 1_600;
/// Time for which a crashed endpoint is down.
const DOWN_MS: u64 = 4_500;
/// When the first request with the crashing segment arrives.
const FIRST_CRASHING_MS: u64 = 6_000;
const END_MS: u64 = 60_000;
/// Time within which knowledge must spread.
const BOUND_MS: u64 = 3_000;
/// Interval between two rounds of datagrams.
const ROUND_MS: u64 = 200;
/// Number of peers that each round reaches.
const FANOUT: usize = 3;
/// Share of datagrams that get lost.
const LOSS: f64 = 0.05;

/// How instances learn from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// They don't.
    None,
    /// By datagrams.
    Datagrams,
}

/// What happened on a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of crashes by the segment.
    pub crashes: usize,
    /// Crashing requests that reached endpoints after the bound, sent by undisturbed instances.
    pub late_crashing_requests: usize,
    /// Sound requests that arrived at undisturbed instances after twice the bound.
    pub sound_sent: usize,
    /// How many of these were refused because of a quarantine.
    pub sound_refused: usize,
}

struct Running {
    instance: usize,
    segments: Vec<Arc<str>>,
    began_ms: u64,
    is_crashing: bool,
}

#[derive(Default)]
struct Endpoint {
    running: Vec<Running>,
    down_until_ms: u64,
    incarnation: u32,
}

/// A disturbance of one instance.
struct Disturbance {
    instance: usize,
    from_ms: u64,
    to_ms: u64,
    loses_state: bool,
}

struct Day {
    rng: ChaCha8Rng,
    exchange: Exchange,
    instances: Vec<CrashEvidence>,
    endpoints: Vec<Endpoint>,
    disturbances: Vec<Disturbance>,
    /// Times of the crashes by the segment.
    crash_times: Vec<u64>,
    outcome: Outcome,
}

/// Plays the day of `seed`, on which an endpoint crashes for another reason every `other_crashes_ms` milliseconds.
pub fn play(seed: u64, exchange: Exchange, other_crashes_ms: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let disturbances = (0..3)
        .map(|n| {
            let from_ms = rng.random_range(4_000..20_000);
            Disturbance {
                instance: rng.random_range(0..INSTANCES),
                from_ms,
                to_ms: from_ms + rng.random_range(500..5_000),
                loses_state: n == 0,
            }
        })
        .collect();
    let mut day = Day {
        rng,
        exchange,
        instances: vec![CrashEvidence::default(); INSTANCES],
        endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
        disturbances,
        crash_times: Vec::new(),
        outcome: Outcome::default(),
    };
    for now_ms in 0..END_MS {
        day.end_responses(now_ms);
        if now_ms % ROUND_MS == 0 {
            day.exchange_facts(now_ms);
        }
        if now_ms % REQUEST_INTERVAL_MS == 0 {
            day.send_request(now_ms);
        }
        if now_ms % other_crashes_ms == other_crashes_ms - 1 {
            let endpoint = day.rng.random_range(0..ENDPOINTS);
            day.crash(endpoint, now_ms);
        }
    }
    day.outcome.crashes = day.crash_times.len();
    day.outcome
}

impl Day {
    fn is_disturbed(&self, instance: usize, now_ms: u64) -> bool {
        let is_active = |d: &Disturbance| d.instance == instance && (d.from_ms..d.to_ms).contains(&now_ms);
        self.disturbances.iter().any(is_active)
    }

    /// Returns whether the instance has been undisturbed for the time within which knowledge must reach it.
    fn is_in_touch(&self, instance: usize, now_ms: u64) -> bool {
        let is_recent = |d: &Disturbance| d.instance == instance && d.from_ms <= now_ms && now_ms < d.to_ms + BOUND_MS;
        !self.disturbances.iter().any(is_recent)
    }

    fn draw_segment(&mut self) -> Arc<str> {
        // Small numbers are more frequent.
        let fraction: f64 = self.rng.random();
        Arc::from(format!("s-{}", (fraction * fraction * SEGMENTS as f64) as usize))
    }

    fn send_request(&mut self, now_ms: u64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let is_crashing = now_ms >= FIRST_CRASHING_MS && self.rng.random_ratio(1, CRASHING_SHARE);
        let mut segments = vec![self.draw_segment()];
        if is_crashing {
            let place = self.rng.random_range(0..=1);
            segments.insert(place, Arc::from("bad"));
        }
        if self.is_disturbed(instance, now_ms) {
            return;
        }
        let is_quarantined = self.instances[instance].quarantined(&segments).is_some();
        let fifth_or_last = self.crash_times.get(4).or(self.crash_times.last()).copied();
        let is_after = |bound: u64| fifth_or_last.is_some_and(|at| now_ms > at + bound);
        if !is_crashing && is_after(2 * BOUND_MS) && self.is_in_touch(instance, now_ms) {
            self.outcome.sound_sent += 1;
            self.outcome.sound_refused += usize::from(is_quarantined);
        }
        let up: Vec<usize> = (0..ENDPOINTS)
            .filter(|&e| self.endpoints[e].down_until_ms <= now_ms)
            .collect();
        let Some(&endpoint) = up.choose(&mut self.rng).filter(|_| !is_quarantined) else {
            return;
        };
        let is_late = self.crash_times.get(4).is_some_and(|at| now_ms > at + BOUND_MS);
        if is_crashing && is_late && self.is_in_touch(instance, now_ms) {
            self.outcome.late_crashing_requests += 1;
        }
        self.endpoints[endpoint].running.push(Running {
            instance,
            segments,
            began_ms: now_ms,
            is_crashing,
        });
    }

    fn end_responses(&mut self, now_ms: u64) {
        let now = Time::from_millis(now_ms);
        for index in 0..ENDPOINTS {
            let is_due = |r: &Running| r.is_crashing && now_ms >= r.began_ms + CRASH_DELAY_MS;
            if self.endpoints[index].running.iter().any(is_due) {
                self.crash_times.push(now_ms);
                self.crash(index, now_ms);
            }
            let is_complete = |r: &mut Running| now_ms >= r.began_ms + RESPONSE_MS;
            let complete: Vec<Running> = self.endpoints[index].running.extract_if(.., is_complete).collect();
            for response in complete {
                self.instances[response.instance].record_proof(&response.segments, now);
            }
        }
    }

    fn crash(&mut self, index: usize, now_ms: u64) {
        let endpoint = &mut self.endpoints[index];
        let id: Arc<str> = Arc::from(format!("m-{index}-{}", endpoint.incarnation));
        endpoint.incarnation += 1;
        endpoint.down_until_ms = now_ms + DOWN_MS;
        let broken = std::mem::take(&mut endpoint.running);
        for response in broken {
            let written_for = Duration::from_millis(now_ms - response.began_ms);
            if !is_proof(written_for, false) && !self.is_disturbed(response.instance, now_ms) {
                let evidence = &mut self.instances[response.instance];
                evidence.record_crash(&id, &response.segments, Time::from_millis(now_ms));
            }
        }
    }

    fn exchange_facts(&mut self, now_ms: u64) {
        let now = Time::from_millis(now_ms);
        for instance in 0..INSTANCES {
            self.instances[instance].refresh(now);
        }
        for disturbance in &self.disturbances {
            if disturbance.loses_state && (disturbance.from_ms..disturbance.to_ms).contains(&now_ms) {
                self.instances[disturbance.instance] = CrashEvidence::default();
            }
        }
        if self.exchange == Exchange::None {
            return;
        }
        for sender in 0..INSTANCES {
            let facts = self.instances[sender].facts(now);
            for _ in 0..FANOUT {
                let receiver = self.rng.random_range(0..INSTANCES);
                let is_lost = self.rng.random_bool(LOSS)
                    || self.is_disturbed(sender, now_ms)
                    || self.is_disturbed(receiver, now_ms);
                if receiver != sender && !is_lost {
                    self.instances[receiver].merge(&facts, Duration::ZERO, now);
                }
            }
        }
    }
}
