//! Days in virtual time on which instances spend a retry budget together, judged by the budget's own arithmetic.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::attempts::{NextAttempt, RequestAttempts};
use sycamorestile_core::direct::retry_share::{RetryLimit, RetryShare, Sharers};
use sycamorestile_core::direct::route::RouteKind;
use sycamorestile_core::time::Time;

pub const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    extra: 92.0,
    window: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 10_000;
const END_MS: u64 = 60_000;
/// Longest time for which a link holds back what was sent.
const MAX_SILENCE_MS: u64 = 3_000;
/// Largest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// What happens on a day.
#[derive(Debug, Clone)]
pub struct Day {
    pub instances: usize,
    pub requests_per_second: f64,
    /// Whether processes of instances are killed, often many at once.
    pub restarts: bool,
    /// Whether the connection of a first attempt often turns out to be closed before the request is sent.
    pub closed_connections: bool,
    /// Time after a start until a process knows the other instances.
    pub list_delay_ms: u64,
    /// Whether the links of some instances hold back what they send, for as long as a connection may be silent.
    pub silent_links: bool,
}

struct Instance {
    share: RetryShare,
    started_ms: u64,
}

impl Instance {
    fn started_at(now_ms: u64) -> Self {
        Self {
            share: RetryShare::new(LIMIT, Time::from_millis(now_ms)),
            started_ms: now_ms,
        }
    }

    fn sharers(&self, day: &Day, now_ms: u64) -> Sharers {
        let is_known = now_ms >= self.started_ms + day.list_delay_ms;
        Sharers {
            instances: is_known.then_some(day.instances),
            may_have_predecessor: self.started_ms > 0,
        }
    }
}

/// A time span, from its first millisecond to the one after its last.
type Span = (u64, u64);

fn is_within(spans: &[Span], now_ms: u64) -> bool {
    spans.iter().any(|(from, to)| (*from..*to).contains(&now_ms))
}

/// Returns `count` spans of up to `longest_ms` that begin at random times.
fn random_spans(rng: &mut ChaCha8Rng, count: usize, longest_ms: u64) -> Vec<Span> {
    let span = |_| {
        let from = rng.random_range(0..END_MS);
        (from, from + rng.random_range(0..longest_ms))
    };
    (0..count).map(span).collect()
}

/// Plays the day of `seed`. Returns the largest excess of retries over the budget in any window.
pub fn max_excess(day: &Day, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Answers get lost for a while, and instances have saved up their shares before.
    let losses = random_spans(&mut rng, 4, 20_000);
    let bursts = random_spans(&mut rng, 2, 6_000);
    let kills: Vec<(u64, f64)> = (0..8)
        .map(|_| (rng.random_range(0..END_MS), rng.random_range(0.2..1.6)))
        .collect();
    let silences: Vec<(usize, Span)> = random_spans(&mut rng, 16, MAX_SILENCE_MS)
        .into_iter()
        .filter(|_| day.silent_links)
        .map(|span| (rng.random_range(0..day.instances), span))
        .collect();
    let mut instances: Vec<Instance> = (0..day.instances).map(|_| Instance::started_at(0)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now_ms in 0..END_MS {
        let now = Time::from_millis(now_ms);
        for (_, share) in kills.iter().filter(|(at, _)| day.restarts && *at == now_ms) {
            for instance in &mut instances {
                if rng.random_bool(share.min(1.0)) {
                    *instance = Instance::started_at(now_ms);
                }
            }
        }
        let factor = if is_within(&bursts, now_ms) { 3.0 } else { 1.0 };
        if !rng.random_bool((factor * day.requests_per_second / 1_000.0).min(1.0)) {
            continue;
        }
        let index = rng.random_range(0..day.instances);
        let instance = &mut instances[index];
        let silence = silences
            .iter()
            .filter(|(at, span)| *at == index && is_within(&[*span], now_ms));
        let arrives_ms = silence.map(|(_, (_, to))| *to).max().unwrap_or(now_ms);
        requests.push(now_ms);
        let mut attempts = RequestAttempts::new(RouteKind::Safe, MAX_ATTEMPTS);
        let sharers = instance.sharers(day, now_ms);
        let mut next = NextAttempt::Send { repeat: false };
        while let NextAttempt::Send { repeat } = next {
            if attempts.count_request() {
                instance.share.record_request(now);
            }
            if repeat && !instance.share.try_spend(now, sharers) {
                break;
            }
            attempts.start();
            if day.closed_connections && !repeat && rng.random_bool(0.7) {
                next = attempts.not_sent();
                continue;
            }
            if repeat {
                retries.push(arrives_ms);
            }
            if !is_within(&losses, now_ms) {
                break;
            }
            next = attempts.lost();
        }
    }
    retries.sort_unstable();
    let windows = (0..END_MS).step_by(50);
    windows
        .map(|begin| excess(&requests, &retries, begin))
        .fold(f64::MIN, f64::max)
}

/// Returns by how much the retries exceed the budget in the window that starts at `begin`. Requests are counted in that
/// window, the one before it or the one half a window before it, whichever has most.
fn excess(requests: &[u64], retries: &[u64], begin: u64) -> f64 {
    let count = |times: &[u64], begin: i64| {
        let from = times.partition_point(|t| (*t as i64) < begin);
        let to = times.partition_point(|t| (*t as i64) < begin + WINDOW_MS as i64);
        (to - from) as f64
    };
    let (begin, window) = (begin as i64, WINDOW_MS as i64);
    let starts = [begin, begin - window / 2, begin - window];
    let counted = starts
        .map(|start| count(requests, start))
        .into_iter()
        .fold(0.0, f64::max);
    count(retries, begin) - (LIMIT.ratio * counted + LIMIT.extra)
}
