//! Seeded random pairs of failures under load, followed by checks of the booking invariants.
//!
//! Each booking uses an account of its own, so the ledger shows how often each call ran.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_standins::fault_proxy;
use sycamorestile_standins::text;

use crate::support::caller;
use crate::support::cluster;
use crate::support::stop_guard;

/// Number of pairs of failures in one run.
const PAIRS: usize = 5;
/// Time for which both failures of a pair are active.
const FAILURE_DURATION: Duration = Duration::from_millis(1_200);
/// Number of callers that book.
const BOOKERS: u64 = 6;
/// Number of callers that stream.
const STREAMERS: u32 = 3;
/// Number of tokens of each stream.
const TOKENS: u32 = 120;
/// Number of entries.
const ENTRIES: usize = 2;

/// The response to one booking of an account.
#[derive(Debug)]
struct BookingResult {
    account: String,
    outcome: String,
    /// Last segment of the problem's type; empty if the response is not a problem.
    cause: String,
}

/// A failure that can be injected and ended.
#[derive(Debug, Clone, Copy)]
enum Failure {
    KillAgent(usize),
    FreezeAgent(usize),
    StallCalls(usize),
    CloseCalls(usize),
    CloseCallsOnResponse(usize),
    StallEndpoint(usize),
    StallPlatform(usize),
    FreezeEntry(usize),
    StallRank(usize),
    PlatformOutage,
    PlatformSlow,
    LosePlatformResponses,
}

impl Failure {
    fn draw(rng: &mut ChaCha8Rng, agents: usize) -> Self {
        let agent = rng.random_range(0..agents);
        match rng.random_range(0..12) {
            0 => Self::KillAgent(agent),
            1 => Self::FreezeAgent(agent),
            2 => Self::StallCalls(agent),
            3 => Self::CloseCalls(agent),
            4 => Self::CloseCallsOnResponse(agent),
            5 => Self::StallEndpoint(agent),
            6 => Self::StallPlatform(agent),
            7 => Self::FreezeEntry(rng.random_range(0..ENTRIES)),
            8 => Self::StallRank(rng.random_range(0..cluster::RANKS)),
            9 => Self::PlatformOutage,
            10 => Self::PlatformSlow,
            _ => Self::LosePlatformResponses,
        }
    }

    fn begin(self, cluster: &mut cluster::Cluster) {
        match self {
            Self::KillAgent(n) => cluster.agents[n].process.kill(),
            Self::FreezeAgent(n) => cluster.agents[n].process.freeze(),
            Self::StallCalls(n) => cluster.agents[n].calls_proxy.set_mode_of_open(fault_proxy::Mode::Stall),
            Self::CloseCalls(n) => cluster.agents[n].calls_proxy.set_mode(fault_proxy::Mode::Close),
            Self::CloseCallsOnResponse(n) => cluster.agents[n]
                .calls_proxy
                .set_mode(fault_proxy::Mode::CloseOnResponse),
            Self::StallEndpoint(n) => cluster.agents[n]
                .endpoint_proxy
                .set_mode_of_open(fault_proxy::Mode::Stall),
            Self::StallPlatform(n) => cluster.agents[n].platform_proxy.set_mode(fault_proxy::Mode::Stall),
            Self::FreezeEntry(n) => cluster.entries[n].process.freeze(),
            Self::StallRank(n) => cluster::Cluster::set_faults(&cluster.engine.addrs()[n], r#"{"stall_steps":400}"#),
            Self::PlatformOutage => cluster.set_platform_faults(r#"{"outage_ms":1200}"#),
            Self::PlatformSlow => cluster.set_platform_faults(r#"{"delay_ms":150}"#),
            Self::LosePlatformResponses => cluster.set_platform_faults(r#"{"lose_answers":5}"#),
        }
    }

    fn end(self, cluster: &mut cluster::Cluster) {
        match self {
            Self::KillAgent(n) => cluster.replace_agent(n),
            Self::FreezeAgent(n) => cluster.agents[n].process.thaw(),
            Self::StallCalls(n) | Self::CloseCalls(n) | Self::CloseCallsOnResponse(n) => {
                cluster.agents[n].calls_proxy.set_mode(fault_proxy::Mode::Pass);
            }
            Self::StallEndpoint(n) => cluster.agents[n].endpoint_proxy.set_mode(fault_proxy::Mode::Pass),
            Self::StallPlatform(n) => cluster.agents[n].platform_proxy.set_mode(fault_proxy::Mode::Pass),
            Self::FreezeEntry(n) => cluster.entries[n].process.thaw(),
            Self::StallRank(n) => cluster::Cluster::set_faults(&cluster.engine.addrs()[n], r#"{"stall_steps":0}"#),
            Self::PlatformOutage | Self::PlatformSlow | Self::LosePlatformResponses => {
                cluster.set_platform_faults(r#"{"outage_ms":0,"delay_ms":0,"lose_answers":0}"#);
            }
        }
    }
}

fn book(caller: &caller::Caller, number: u64) -> Vec<BookingResult> {
    let account = format!("account-{number}");
    let key = format!("key-{number}");
    let has_key = number.is_multiple_of(3);
    let mut results = Vec::new();
    // Calls with a key are safe to retry; calls without one are not.
    for _ in 0..if has_key { 3 } else { 1 } {
        let response = caller
            .book(&account, 1, has_key.then_some(key.as_str()))
            .expect("the entry responds");
        let body: serde_json::Value = serde_json::from_str(&response.body).unwrap_or_default();
        let cause = body["type"].as_str().unwrap_or_default();
        results.push(BookingResult {
            account: account.clone(),
            cause: cause.trim_start_matches("/problems/").to_owned(),
            outcome: response.outcome,
        });
    }
    results
}

/// Numbers of streams of one caller by their result.
#[derive(Debug, Default)]
struct StreamCounts {
    complete: u32,
    /// Streams that ended with an error event or were rejected.
    incomplete: u32,
}

/// Streams until `stop` is set.
///
/// A stream with an end event must be complete, and any other stream must end with an error event.
fn stream(caller: &caller::Caller, number: u32, stop: &AtomicBool) -> StreamCounts {
    let mut counts = StreamCounts::default();
    while !stop.load(Ordering::Acquire) {
        let prompt = format!("prompt {number} {}", counts.complete);
        match caller.stream(&prompt, TOKENS, |_| {}) {
            Ok(streamed) if streamed.ended => {
                assert_eq!(streamed.error, None);
                assert_eq!(streamed.text, text::completion(&prompt, TOKENS));
                counts.complete += 1;
            }
            Ok(streamed) => {
                assert!(
                    streamed.error.is_some(),
                    "a stream stopped without an end or error event: {streamed:?}"
                );
                assert!(text::completion(&prompt, TOKENS).starts_with(&streamed.text));
                counts.incomplete += 1;
            }
            Err(refused) => {
                assert!(!refused.outcome.is_empty(), "{refused:?}");
                counts.incomplete += 1;
            }
        }
    }
    counts
}

fn check(results: &[BookingResult], caller: &caller::Caller, seed: u64) {
    let count = |outcome: &str| results.iter().filter(|result| result.outcome == outcome).count();
    println!(
        "seed {seed}: {} calls, {} done, {} not-run, {} unknown",
        results.len(),
        count("done"),
        count("not-run"),
        count("unknown"),
    );
    for cause in [
        "answer-lost",
        "earlier-answer-lost",
        "deadline-after-start",
        "answer-cut",
    ] {
        let count = results.iter().filter(|result| result.cause == cause).count();
        println!("seed {seed}: {count} unknown by {cause}");
    }
    for group in results.chunk_by(|a, b| a.account == b.account) {
        let account = &group[0].account;
        let bookings = caller.bookings(account);
        let has_outcome = |outcome: &str| group.iter().any(|result| result.outcome == outcome);
        assert!(
            bookings <= 1,
            "seed {seed}: {account} was booked {bookings} times: {group:?}"
        );
        assert!(
            bookings == 1 || !has_outcome("done"),
            "seed {seed}: {account} was reported as done and never booked"
        );
        let only_not_run = !has_outcome("done") && !has_outcome("unknown");
        assert!(
            bookings == 0 || !only_not_run,
            "seed {seed}: {account} was reported as not-run and was booked"
        );
    }
    assert!(count("done") > 0, "seed {seed}: no booking was done");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn pairs_of_failures_preserve_booking_invariants(#[case] seed: u64) {
    let mut cluster = cluster::Cluster::start(ENTRIES);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let stop = AtomicBool::new(false);
    let next = AtomicU64::new(0);
    let callers = [cluster.caller(0), cluster.caller(1)];
    let results: Vec<BookingResult> = thread::scope(|scope| {
        let bookers: Vec<_> = (0..BOOKERS)
            .map(|n| {
                let (stop, next) = (&stop, &next);
                let caller = &callers[usize::from(n % 2 == 0)];
                scope.spawn(move || {
                    let mut results = Vec::new();
                    while !stop.load(Ordering::Acquire) {
                        results.extend(book(caller, next.fetch_add(1, Ordering::AcqRel)));
                        thread::sleep(Duration::from_millis(10));
                    }
                    results
                })
            })
            .collect();
        let streamers: Vec<_> = (0..STREAMERS)
            .map(|n| {
                let (caller, stop) = (&callers[n as usize % ENTRIES], &stop);
                scope.spawn(move || stream(caller, n, stop))
            })
            .collect();
        let load_guard = stop_guard::StopOnDrop(&stop);
        for _ in 0..PAIRS {
            let agents = cluster.agents.len();
            let first = Failure::draw(&mut rng, agents);
            let second = Failure::draw(&mut rng, agents);
            println!("seed {seed}: {first:?} with {second:?}");
            first.begin(&mut cluster);
            thread::sleep(Duration::from_millis(rng.random_range(0..300)));
            second.begin(&mut cluster);
            thread::sleep(FAILURE_DURATION);
            // Failures end in reverse order, because both may affect the same agent: one that was killed first is replaced
            // last.
            second.end(&mut cluster);
            first.end(&mut cluster);
            thread::sleep(Duration::from_millis(500));
        }
        drop(load_guard);
        for streamer in streamers {
            let counts = streamer.join().expect("each stream is complete or reports an error");
            println!(
                "seed {seed}: {} streams complete, {} incomplete",
                counts.complete, counts.incomplete
            );
            assert!(counts.complete > 0);
        }
        bookers
            .into_iter()
            .flat_map(|thread| thread.join().expect("the booker does not panic"))
            .collect()
    });
    cluster.wait_ready();
    check(&results, &callers[0], seed);
}
