//! Seeded pairs of failures under load, and the invariants at the end.
//!
//! Each booking goes to an account of its own, so the ledger itself tells how often each call ran.

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
use crate::support::enough;

/// Pairs of failures in one run.
const PAIRS: usize = 5;
/// Time for which a failure lasts.
const FAILURE: Duration = Duration::from_millis(1_200);
/// Callers that book.
const BOOKERS: u64 = 6;
/// Callers that stream.
const STREAMERS: u32 = 3;
/// Tokens of a stream.
const TOKENS: u32 = 120;
/// Entries.
const ENTRIES: usize = 2;

/// What one caller was told of one account.
#[derive(Debug)]
struct Told {
    account: String,
    outcome: String,
    /// Last part of the problem's type, if there was one.
    cause: String,
}

/// A failure that ends when its time is up.
#[derive(Debug, Clone, Copy)]
enum Failure {
    KillAgent(usize),
    FreezeAgent(usize),
    SilenceCalls(usize),
    CutCalls(usize),
    CutAnswers(usize),
    SilenceBack(usize),
    SilencePlatform(usize),
    FreezeEntry(usize),
    StallRank(usize),
    PlatformOut,
    PlatformSlow,
    LoseAnswers,
}

impl Failure {
    fn draw(rng: &mut ChaCha8Rng, agents: usize) -> Self {
        let agent = rng.random_range(0..agents);
        match rng.random_range(0..12) {
            0 => Self::KillAgent(agent),
            1 => Self::FreezeAgent(agent),
            2 => Self::SilenceCalls(agent),
            3 => Self::CutCalls(agent),
            4 => Self::CutAnswers(agent),
            5 => Self::SilenceBack(agent),
            6 => Self::SilencePlatform(agent),
            7 => Self::FreezeEntry(rng.random_range(0..ENTRIES)),
            8 => Self::StallRank(rng.random_range(0..cluster::RANKS)),
            9 => Self::PlatformOut,
            10 => Self::PlatformSlow,
            _ => Self::LoseAnswers,
        }
    }

    fn begin(self, cluster: &mut cluster::Cluster) {
        match self {
            Self::KillAgent(n) => cluster.agents[n].process.kill(),
            Self::FreezeAgent(n) => cluster.agents[n].process.freeze(),
            Self::SilenceCalls(n) => cluster.agents[n].calls.set_mode_of_open(fault_proxy::Mode::Stall),
            Self::CutCalls(n) => cluster.agents[n].calls.set_mode(fault_proxy::Mode::Close),
            Self::CutAnswers(n) => cluster.agents[n].calls.set_mode(fault_proxy::Mode::CloseOnResponse),
            Self::SilenceBack(n) => cluster.agents[n].back.set_mode_of_open(fault_proxy::Mode::Stall),
            Self::SilencePlatform(n) => cluster.agents[n].platform.set_mode(fault_proxy::Mode::Stall),
            Self::FreezeEntry(n) => cluster.entries[n].process.freeze(),
            Self::StallRank(n) => cluster::Cluster::set_faults(&cluster.engine.addrs()[n], r#"{"stall_steps":400}"#),
            Self::PlatformOut => cluster.platform_faults(r#"{"outage_ms":1200}"#),
            Self::PlatformSlow => cluster.platform_faults(r#"{"delay_ms":150}"#),
            Self::LoseAnswers => cluster.platform_faults(r#"{"lose_answers":5}"#),
        }
    }

    fn end(self, cluster: &mut cluster::Cluster) {
        match self {
            Self::KillAgent(n) => cluster.replace_agent(n),
            Self::FreezeAgent(n) => cluster.agents[n].process.thaw(),
            Self::SilenceCalls(n) | Self::CutCalls(n) | Self::CutAnswers(n) => {
                cluster.agents[n].calls.set_mode(fault_proxy::Mode::Pass);
            }
            Self::SilenceBack(n) => cluster.agents[n].back.set_mode(fault_proxy::Mode::Pass),
            Self::SilencePlatform(n) => cluster.agents[n].platform.set_mode(fault_proxy::Mode::Pass),
            Self::FreezeEntry(n) => cluster.entries[n].process.thaw(),
            Self::StallRank(n) => cluster::Cluster::set_faults(&cluster.engine.addrs()[n], r#"{"stall_steps":0}"#),
            Self::PlatformOut | Self::PlatformSlow | Self::LoseAnswers => {
                cluster.platform_faults(r#"{"outage_ms":0,"delay_ms":0,"lose_answers":0}"#);
            }
        }
    }
}

fn book(caller: &caller::Caller, number: u64) -> Vec<Told> {
    let account = format!("account-{number}");
    let key = format!("key-{number}");
    let keyed = number.is_multiple_of(3);
    let mut told = Vec::new();
    // A caller with a key comes back, as it may; one without a key does not.
    for _ in 0..if keyed { 3 } else { 1 } {
        let answer = caller
            .book(&account, 1, keyed.then_some(key.as_str()))
            .expect("an answer");
        let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let cause = body["type"].as_str().unwrap_or_default();
        told.push(Told {
            account: account.clone(),
            cause: cause.trim_start_matches("/problems/").to_owned(),
            outcome: answer.outcome,
        });
    }
    told
}

/// What came of the streams of one caller.
#[derive(Debug, Default)]
struct Streams {
    whole: u32,
    /// Ended with an error event, or refused.
    told: u32,
}

/// Streams until it is enough. A stream that looks whole must be; one that does not must say so.
fn stream(caller: &caller::Caller, number: u32, enough: &AtomicBool) -> Streams {
    let mut streams = Streams::default();
    while !enough.load(Ordering::Acquire) {
        let prompt = format!("prompt {number} {}", streams.whole);
        match caller.stream(&prompt, TOKENS, |_| {}) {
            Ok(streamed) if streamed.ended => {
                assert_eq!(streamed.error, None);
                assert_eq!(streamed.text, text::completion(&prompt, TOKENS));
                streams.whole += 1;
            }
            Ok(streamed) => {
                assert!(
                    streamed.error.is_some(),
                    "a stream stopped without a word: {streamed:?}"
                );
                assert!(text::completion(&prompt, TOKENS).starts_with(&streamed.text));
                streams.told += 1;
            }
            Err(refused) => {
                assert!(!refused.outcome.is_empty(), "{refused:?}");
                streams.told += 1;
            }
        }
    }
    streams
}

fn check(told: &[Told], caller: &caller::Caller, seed: u64) {
    let count = |outcome: &str| told.iter().filter(|t| t.outcome == outcome).count();
    println!(
        "seed {seed}: {} calls, {} done, {} not-run, {} unknown",
        told.len(),
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
        let count = told.iter().filter(|t| t.cause == cause).count();
        println!("seed {seed}: {count} unknown by {cause}");
    }
    for group in told.chunk_by(|a, b| a.account == b.account) {
        let account = &group[0].account;
        let ran = caller.bookings(account);
        let any = |outcome: &str| group.iter().any(|t| t.outcome == outcome);
        assert!(ran <= 1, "seed {seed}: {account} was booked {ran} times: {group:?}");
        assert!(
            ran == 1 || !any("done"),
            "seed {seed}: {account} was told done and never booked"
        );
        let only_refused = !any("done") && !any("unknown");
        assert!(
            ran == 0 || !only_refused,
            "seed {seed}: {account} was told not-run and was booked"
        );
    }
    assert!(count("done") > 0, "seed {seed}: some bookings are done");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn pairs_of_failures_leave_the_books_true(#[case] seed: u64) {
    let mut cluster = cluster::Cluster::start(ENTRIES);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let enough = AtomicBool::new(false);
    let next = AtomicU64::new(0);
    let callers = [cluster.caller(0), cluster.caller(1)];
    let told: Vec<Told> = thread::scope(|scope| {
        let bookers: Vec<_> = (0..BOOKERS)
            .map(|n| {
                let (enough, next) = (&enough, &next);
                let caller = &callers[usize::from(n % 2 == 0)];
                scope.spawn(move || {
                    let mut told = Vec::new();
                    while !enough.load(Ordering::Acquire) {
                        told.extend(book(caller, next.fetch_add(1, Ordering::AcqRel)));
                        thread::sleep(Duration::from_millis(10));
                    }
                    told
                })
            })
            .collect();
        let streamers: Vec<_> = (0..STREAMERS)
            .map(|n| {
                let (caller, enough) = (&callers[n as usize % ENTRIES], &enough);
                scope.spawn(move || stream(caller, n, enough))
            })
            .collect();
        let ended = enough::Enough(&enough);
        for _ in 0..PAIRS {
            let agents = cluster.agents.len();
            let first = Failure::draw(&mut rng, agents);
            let second = Failure::draw(&mut rng, agents);
            println!("seed {seed}: {first:?} with {second:?}");
            first.begin(&mut cluster);
            thread::sleep(Duration::from_millis(rng.random_range(0..300)));
            second.begin(&mut cluster);
            thread::sleep(FAILURE);
            // The same agent may be struck twice: a killed one is replaced once, and last.
            second.end(&mut cluster);
            first.end(&mut cluster);
            thread::sleep(Duration::from_millis(500));
        }
        drop(ended);
        for streamer in streamers {
            let streams = streamer.join().expect("streams are whole or say that they are not");
            println!(
                "seed {seed}: {} streams whole, {} told otherwise",
                streams.whole, streams.told
            );
            assert!(streams.whole > 0);
        }
        bookers
            .into_iter()
            .flat_map(|thread| thread.join().expect("a booker"))
            .collect()
    });
    cluster.wait_ready();
    check(&told, &callers[0], seed);
}
