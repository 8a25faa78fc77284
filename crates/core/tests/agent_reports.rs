//! Propagation of agent reports between the entries of a failure domain, where each agent sends heartbeats to one
//! entry.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::agent_view;
use sycamorestile_core::control_intervals;
use sycamorestile_core::entry_board;
use sycamorestile_core::entry_selector;
use sycamorestile_core::incarnation;
use sycamorestile_core::load;
use sycamorestile_core::membership;
use sycamorestile_core::name;
use sycamorestile_core::revision;
use sycamorestile_core::time;

const TICK: Duration = Duration::from_millis(20);

fn name(text: &str) -> name::Name {
    name::Name::new(text).unwrap()
}

fn addr(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, host, 1], port))
}

fn view(agent: usize, incarnation: u64, seq: u64, running: u32) -> agent_view::AgentView {
    agent_view::AgentView {
        endpoint: name(&format!("endpoint-{agent:03}")),
        incarnation: incarnation::Incarnation::new(incarnation),
        seq,
        calls: addr(2, 7_000 + agent as u16),
        control: addr(3, 7_000 + agent as u16),
        load: load::Load {
            running,
            slots: 64,
            ..load::Load::default()
        },
        leaving: false,
        entries: 0,
        revision: revision::Revision::default(),
    }
}

struct Agent {
    view: agent_view::AgentView,
    selector: entry_selector::EntrySelector,
    next_heartbeat: time::Time,
}

/// Simulated entries and agents of one failure domain. A message is delivered immediately or lost.
struct Domain {
    boards: Vec<entry_board::EntryBoard>,
    agents: Vec<Agent>,
    alive: Vec<bool>,
    next_gossip: Vec<time::Time>,
    listed: Vec<SocketAddr>,
    now: time::Time,
    rng: ChaCha8Rng,
    loss: f64,
}

impl Domain {
    fn new(entries: usize, agents: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let listed: Vec<SocketAddr> = (0..entries).map(|n| addr(1, 7_000 + n as u16)).collect();
        let spread = |rng: &mut ChaCha8Rng| time::Time::from_millis(rng.random_range(0..500));
        let boards = (0..entries).map(|n| board(n, 1, listed[n])).collect();
        let agents = (0..agents).map(|n| {
            let selector = entry_selector::EntrySelector::new(name(&format!("endpoint-{n:03}")), listed.clone());
            Agent {
                view: view(n, 1, 0, n as u32 % 50),
                selector,
                next_heartbeat: spread(&mut rng),
            }
        });
        let agents = agents.collect();
        Self {
            boards,
            agents,
            alive: vec![true; entries],
            next_gossip: (0..entries).map(|_| spread(&mut rng)).collect(),
            listed,
            now: time::Time::from_millis(1_000),
            rng,
            loss: 0.0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for entry in 0..self.boards.len() {
                self.boards[entry].tick(self.now);
                if self.alive[entry] && self.now >= self.next_gossip[entry] {
                    self.next_gossip[entry] = self.now + control_intervals::GOSSIP_INTERVAL;
                    self.gossip(entry);
                }
            }
            for agent in 0..self.agents.len() {
                if self.now >= self.agents[agent].next_heartbeat {
                    self.heartbeat(agent);
                }
            }
        }
    }

    fn gossip(&mut self, entry: usize) {
        let listed = self.listed.clone();
        let Some(peer_addr) = self.boards[entry].next_gossip_peer(&listed, self.now) else {
            return;
        };
        let peer = self.listed.iter().position(|a| *a == peer_addr).unwrap();
        if !self.alive[peer] || self.rng.random_bool(self.loss) {
            return;
        }
        let peer_name = self.boards[peer].instance().clone();
        let digest = self.boards[entry].digest(Some(&peer_name));
        self.boards[peer].update_report(Vec::new(), self.now);
        let reply = self.boards[peer].reply_to_digest(&digest, self.now);
        if !self.rng.random_bool(self.loss) {
            self.boards[entry].apply_digest_reply(&reply, self.now);
        }
    }

    fn heartbeat(&mut self, agent: usize) {
        let candidates = self.agents[agent].selector.candidates(self.now);
        for entry in candidates {
            let at = self.listed.iter().position(|a| *a == entry).unwrap();
            if !self.alive[at] || self.rng.random_bool(self.loss) {
                let now = self.now;
                self.agents[agent].selector.record_failure(entry, now);
                continue;
            }
            self.agents[agent].view.seq += 1;
            let reply = self.boards[at].on_heartbeat(self.agents[agent].view.clone(), self.now);
            self.agents[agent].next_heartbeat = self.now + Duration::from_millis(u64::from(reply.heartbeat_ms));
            return;
        }
        self.agents[agent].next_heartbeat = self.now + Duration::from_millis(400);
    }

    /// Endpoints that entry `at` considers live, with their number of running attempts.
    fn live_agents(&self, at: usize) -> Vec<(name::Name, u32)> {
        let members = self.boards[at].members.members().iter();
        let live = members.filter(|m| m.liveness(self.now) == membership::Liveness::Live);
        live.map(|m| (m.view.endpoint.clone(), m.view.load.running)).collect()
    }

    fn expected_agents(&self) -> Vec<(name::Name, u32)> {
        let expected = self
            .agents
            .iter()
            .map(|a| (a.view.endpoint.clone(), a.view.load.running));
        expected.collect()
    }
}

fn board(number: usize, epoch: u32, control: SocketAddr) -> entry_board::EntryBoard {
    let mut board = entry_board::EntryBoard::new(name(&format!("entry-{number:02}")), name("d")).with_epoch(epoch);
    board.control = Some(control);
    board
}

#[test]
fn agents_and_their_load_propagate_to_every_entry() {
    for (entries, agents) in [(1, 4), (2, 30), (3, 5), (10, 150), (40, 600)] {
        let mut domain = Domain::new(entries, agents, 1);
        domain.run(Duration::from_secs(20));
        for entry in 0..entries {
            assert_eq!(
                domain.live_agents(entry),
                domain.expected_agents(),
                "entry {entry} of {entries}"
            );
        }
        for agent in &mut domain.agents {
            agent.view.load.running = 50 - agent.view.load.running;
        }
        domain.run(Duration::from_secs(20));
        for entry in 0..entries {
            assert_eq!(
                domain.live_agents(entry),
                domain.expected_agents(),
                "entry {entry} of {entries}, later"
            );
        }
    }
}

#[test]
fn agents_stay_known_at_every_entry_when_a_tenth_of_the_messages_is_lost() {
    for seed in 0..8 {
        let mut domain = Domain::new(10, 150, seed);
        domain.run(Duration::from_secs(15));
        domain.loss = 0.1;
        for _ in 0..40 {
            domain.run(Duration::from_millis(500));
            for entry in 0..10 {
                // In production a message is lost only together with its connection, so this loss rate is far higher
                // than that of any real link.
                let live = domain.live_agents(entry).len();
                assert!(
                    live >= 142,
                    "seed {seed}: entry {entry} considers {live} of 150 agents live"
                );
                let members = domain.boards[entry].members.members().iter();
                let gone = members.filter(|m| m.liveness(domain.now) == membership::Liveness::Gone);
                assert_eq!(gone.count(), 0, "seed {seed}: entry {entry}");
            }
        }
    }
}

#[test]
fn agents_of_a_failed_entry_are_live_again_after_they_move_to_another() {
    let mut domain = Domain::new(10, 150, 4);
    domain.run(Duration::from_secs(15));
    domain.alive[3] = false;
    domain.run(Duration::from_secs(10));
    for entry in (0..10).filter(|entry| *entry != 3) {
        assert_eq!(domain.live_agents(entry).len(), 150, "entry {entry}");
    }
}

#[test]
fn a_failed_agent_is_gone_at_every_entry() {
    let mut domain = Domain::new(10, 150, 5);
    domain.run(Duration::from_secs(15));
    let dead = domain.agents.remove(7).view.endpoint;
    domain.run(Duration::from_secs(30));
    for entry in 0..10 {
        let liveness = domain.boards[entry].members.get(&dead).map(|m| m.liveness(domain.now));
        assert!(
            matches!(liveness, None | Some(membership::Liveness::Gone)),
            "entry {entry}: {liveness:?}"
        );
        assert_eq!(domain.live_agents(entry).len(), 149, "entry {entry}");
    }
}

#[test]
fn a_restarted_agent_replaces_its_previous_incarnation_at_every_entry() {
    let mut domain = Domain::new(10, 150, 6);
    domain.run(Duration::from_secs(15));
    domain.agents[20].view = view(20, 2, 0, 1);
    domain.run(Duration::from_secs(10));
    for entry in 0..10 {
        let member = domain.boards[entry].members.get(&name("endpoint-020")).unwrap();
        assert_eq!(
            member.view.incarnation,
            incarnation::Incarnation::new(2),
            "entry {entry}"
        );
    }
}

#[test]
fn reports_of_a_restarted_entry_replace_those_of_its_previous_process() {
    let mut domain = Domain::new(6, 60, 7);
    domain.run(Duration::from_secs(30));
    let control = domain.listed[2];
    // The new process numbers its reports from 1, far below the last number of the previous process.
    domain.boards[2] = board(2, 77, control);
    domain.run(Duration::from_secs(15));
    for entry in 0..6 {
        assert_eq!(domain.live_agents(entry), domain.expected_agents(), "entry {entry}");
    }
}

#[test]
fn a_failed_entry_is_preferred_again_after_the_backoff() {
    let entries = vec![addr(1, 1), addr(1, 2), addr(1, 3)];
    let mut selector = entry_selector::EntrySelector::new(name("endpoint"), entries);
    let first = selector.candidates(time::Time::ZERO)[0];
    selector.record_failure(first, time::Time::ZERO);
    assert_eq!(selector.candidates(time::Time::from_millis(100))[2], first);
    assert_eq!(selector.candidates(time::Time::from_millis(6_000))[0], first);
}

#[test]
fn agents_are_spread_evenly_over_the_entries() {
    let entries: Vec<SocketAddr> = (0..40).map(|n| addr(1, n)).collect();
    let mut agents_per_entry = vec![0; entries.len()];
    for agent in 0..600 {
        let selector = entry_selector::EntrySelector::new(name(&format!("endpoint-{agent:05}")), entries.clone());
        let preferred = selector.candidates(time::Time::ZERO)[0];
        agents_per_entry[entries.iter().position(|e| *e == preferred).unwrap()] += 1;
    }
    // The mean is 15 agents; the limit is six standard deviations above it.
    assert!(
        agents_per_entry.iter().all(|count| *count <= 39),
        "{agents_per_entry:?}"
    );
}
