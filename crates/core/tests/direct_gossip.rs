//! Spread of facts between instances, and the bytes that it takes.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_core::direct::gossip::{Round, Rounds};
use sycamorestile_core::time::Time;

/// Time within which a fact must reach all instances.
const BOUND: Duration = Duration::from_secs(3);
/// Limit of all control traffic of an instance, in bytes per second.
const CONTROL_BYTES_PER_SECOND: f64 = 9.0 * 1_024.0;
/// Size of a datagram with the facts of two crashes, in bytes.
const DATAGRAM_BYTES: usize = 450;
/// Share of datagrams that get lost.
const LOSS: f64 = 0.05;
/// When the first instance learns the fact.
const NEWS_MS: u64 = 10_000;

struct Node {
    rounds: Rounds,
    knows: bool,
    sent_bytes: usize,
}

/// The instances of one simulation. They reply to peers that know less.
struct Nodes {
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
}

impl Nodes {
    fn start(count: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |_| Node {
            rounds: Rounds::new(Time::from_millis(rng.random_range(0..500))),
            knows: false,
            sent_bytes: 0,
        };
        Self {
            nodes: (0..count).map(node).collect(),
            rng,
        }
    }

    fn learn(&mut self, index: usize, now: Time) {
        if !self.nodes[index].knows {
            self.nodes[index].knows = true;
            self.nodes[index].rounds.record_news(now);
        }
    }

    fn send(&mut self, from: usize, to: usize, now: Time) {
        self.nodes[from].sent_bytes += DATAGRAM_BYTES;
        if self.rng.random_bool(LOSS) {
            return;
        }
        if self.nodes[from].knows {
            self.learn(to, now);
        } else if self.nodes[to].knows {
            self.nodes[to].sent_bytes += DATAGRAM_BYTES;
            if !self.rng.random_bool(LOSS) {
                self.learn(from, now);
            }
        }
    }

    /// Runs all rounds that are due, but those of the instance `suspended`.
    fn step(&mut self, now: Time, suspended: Option<usize>) {
        for index in 0..self.nodes.len() {
            if suspended == Some(index) || now < self.nodes[index].rounds.next() {
                continue;
            }
            let Round { fanout, asks } = self.nodes[index].rounds.begin(now);
            if !self.nodes[index].knows && !asks {
                continue;
            }
            for _ in 0..fanout {
                let peer = self.rng.random_range(0..self.nodes.len());
                if peer != index && suspended != Some(peer) {
                    self.send(index, peer, now);
                }
                self.nodes[index].rounds.record_sent(DATAGRAM_BYTES);
            }
        }
    }
}

#[rstest]
fn news_reaches_all_instances_within_the_bound(#[values(8, 40, 200, 800)] count: usize) {
    for seed in 1..=5 {
        let mut nodes = Nodes::start(count, seed);
        for ms in 0..NEWS_MS {
            nodes.step(Time::from_millis(ms), None);
        }
        let before: usize = nodes.nodes.iter().map(|n| n.sent_bytes).max().unwrap_or_default();
        nodes.learn(0, Time::from_millis(NEWS_MS));
        let mut known_by_all = None;
        for ms in NEWS_MS..NEWS_MS + 10_000 {
            let now = Time::from_millis(ms);
            nodes.step(now, None);
            if known_by_all.is_none() && nodes.nodes.iter().all(|n| n.knows) {
                known_by_all = Some(now.since(Time::from_millis(NEWS_MS)));
            }
        }
        let took = known_by_all.expect("all instances learn the fact");
        assert!(took < BOUND, "seed {seed}: {took:?}");
        let most = nodes.nodes.iter().map(|n| n.sent_bytes).max().unwrap_or_default() - before;
        let per_second = most as f64 / 10.0;
        println!("{count} instances, seed {seed}: known by all after {took:?}, at most {per_second} B/s over 10 s");
        assert!(per_second < CONTROL_BYTES_PER_SECOND, "seed {seed}: {per_second} B/s");
    }
}

#[rstest]
fn instance_that_was_suspended_learns_soon_what_it_missed(#[values(8, 40, 200, 800)] count: usize) {
    for seed in 1..=5 {
        let mut nodes = Nodes::start(count, seed);
        let (suspended, woken_ms) = (count - 1, NEWS_MS + 8_000);
        nodes.learn(0, Time::from_millis(NEWS_MS));
        for ms in NEWS_MS..woken_ms {
            nodes.step(Time::from_millis(ms), Some(suspended));
        }
        assert!(!nodes.nodes[suspended].knows);
        let woken_at = Time::from_millis(woken_ms);
        let learned = (woken_ms..woken_ms + 5_000).map(Time::from_millis).find(|now| {
            nodes.step(*now, None);
            nodes.nodes[suspended].knows
        });
        let took = learned.expect("it learns the fact").since(woken_at);
        assert!(took < BOUND, "seed {seed}: {took:?}");
    }
}

#[test]
fn rounds_without_allowance_send_nothing() {
    let mut rounds = Rounds::new(Time::ZERO);
    assert_eq!(rounds.begin(Time::ZERO), Round { fanout: 3, asks: true });
    rounds.record_sent(20_500);
    assert_eq!(rounds.begin(Time::from_millis(200)).fanout, 0);
    assert_eq!(rounds.begin(Time::from_millis(400)).fanout, 3);
}
