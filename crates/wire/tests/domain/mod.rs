//! Simulates the control plane of one failure domain in virtual time and measures its cost.
//!
//! Failure domains share nothing but the platform's table, so simulating one of them is enough. The simulation uses the
//! real entry boards and counts messages in their encoded size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use sycamorestile_core::agent_view;
use sycamorestile_core::config::change;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::config::group;
use sycamorestile_core::config::organisation;
use sycamorestile_core::config::service;
use sycamorestile_core::config::state;
use sycamorestile_core::control_intervals;
use sycamorestile_core::entry_board;
use sycamorestile_core::entry_selector;
use sycamorestile_core::incarnation;
use sycamorestile_core::limits;
use sycamorestile_core::load;
use sycamorestile_core::name;
use sycamorestile_core::packed;
use sycamorestile_core::revision;
use sycamorestile_core::time;

/// Bytes of TCP and IP headers for a message and its acknowledgement.
const TRANSPORT_BYTES: u64 = 92;
/// Bytes that the RPC library adds to a request: length, identifier, deadline and trace.
const RPC_BYTES: u64 = 60;
/// One-way delay between two processes of a domain.
const HOP_DELAY: Duration = Duration::from_micros(500);
/// Maximum random delay of the first message of each process.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(500);

/// Size of a simulated domain.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of declared organisations that make calls.
    pub calling_organisations: usize,
    /// Duration of the simulation.
    pub length: Duration,
    /// Number of configuration changes during the simulation.
    pub changes: usize,
}

/// The cost of a simulation, averaged over the entries unless noted otherwise.
#[derive(Debug, Clone, Default)]
pub struct Cost {
    /// Control bytes sent and received per second.
    pub entry_bytes: f64,
    /// Control messages sent and received per second.
    pub entry_messages: f64,
    /// Control bytes sent and received per second by one agent, averaged over the agents.
    pub agent_bytes: f64,
    /// Processing time of the entry boards, as a fraction of one core.
    pub entry_core_share: f64,
    /// Reads of the platform per second by the whole domain.
    pub platform_reads: f64,
    /// Times from the acceptance of a change until it is in force at every entry, in milliseconds, sorted.
    pub entries_in_force_ms: Vec<u64>,
    /// Times from the acceptance of a change until it is in force at every agent, in milliseconds, sorted.
    pub agents_in_force_ms: Vec<u64>,
}

/// Creates a name.
pub fn name(text: &str) -> name::Name {
    name::Name::new(text).expect("the name is valid")
}

/// Creates declarations with the given numbers of organisations and endpoints.
pub fn declarations(organisations: usize, endpoints: usize) -> state::ConfigState {
    let mut objects = vec![declaration::Declaration::Service(service::Service {
        name: name("model"),
        kind: service::ServiceKind::Model,
        routes: vec![service::Route {
            path: "/v1/completions".to_owned(),
            methods: vec!["POST".to_owned()],
            idempotent: Some(true),
        }],
        deadline_ms: 30_000,
        max_body_bytes: 1 << 20,
    })];
    for group in 0..endpoints.div_ceil(32) {
        objects.push(declaration::Declaration::Group(group::Group {
            name: name(&format!("group-{group:04}")),
            service: name("model"),
            failure_domain: name("hu-central-1"),
            ranks: 32,
            experts: 256,
            slots: 9,
            skew_weight: 1.0,
            cost_weight: 1.0,
            frozen: false,
        }));
    }
    for endpoint in 0..endpoints {
        objects.push(declaration::Declaration::Endpoint(endpoint::Endpoint {
            name: name(&format!("endpoint-{endpoint:05}")),
            service: name("model"),
            failure_domain: name("hu-central-1"),
            address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
            slots: 64,
            rank_of: Some(endpoint::RankOf {
                group: name(&format!("group-{:04}", endpoint / 32)),
                rank: (endpoint % 32) as u32,
            }),
            features: vec![endpoint::Feature::Resume, endpoint::Feature::Cancel],
        }));
    }
    for organisation in 0..organisations {
        objects.push(organisation_declaration(organisation, 1));
    }
    let entries = objects.into_iter().map(|object| state::VersionedObject {
        key: object.key(),
        version: revision::Revision::new(1),
        object,
    });
    state::ConfigState::from_objects(revision::Revision::new(1), entries.collect())
}

fn organisation_declaration(number: usize, weight: u32) -> declaration::Declaration {
    declaration::Declaration::Organisation(organisation::Organisation {
        name: name(&format!("organisation-{number:05}")),
        calls_per_second: 10.0,
        burst: 20.0,
        weight,
    })
}

fn transmitted_bytes<T>(message: &T) -> u64
where
    T: Serialize,
{
    bincode::serialized_size(message).expect("the message is encodable") + RPC_BYTES + TRANSPORT_BYTES
}

struct Agent {
    view: agent_view::AgentView,
    selector: entry_selector::EntrySelector,
    heartbeat_due: time::Time,
}

struct DomainSimulation {
    size: Size,
    rng: ChaCha8Rng,
    boards: Vec<entry_board::EntryBoard>,
    agents: Vec<Agent>,
    /// Control addresses of the entries, in the order of the boards.
    addresses: Vec<SocketAddr>,
    /// Time of each entry's next regular digest exchange.
    gossip_due: Vec<time::Time>,
    read_due: Vec<time::Time>,
    /// Accepted changes; `accepted_at` holds the times of their acceptance.
    accepted: Vec<change::Change>,
    accepted_at: Vec<time::Time>,
    board_time: Duration,
    entry_bytes: u64,
    entry_messages: u64,
    agent_bytes: u64,
    reads: u64,
}

/// Simulates a domain of `size`.
pub fn simulate(size: Size, seed: u64) -> Cost {
    let mut simulation = DomainSimulation::new(size, seed);
    simulation.run()
}

impl DomainSimulation {
    fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = declarations(50, size.agents);
        let domain = name("hu-central-1");
        let addresses: Vec<SocketAddr> = (0..size.entries)
            .map(|n| SocketAddr::from(([10, 0, 1, n as u8], 7_200)))
            .collect();
        let boards: Vec<entry_board::EntryBoard> = (0..size.entries)
            .map(|n| {
                let name = name(&format!("entry-{n:03}"));
                let mut board = entry_board::EntryBoard::new(name, domain.clone()).with_epoch(n as u32);
                board.adopt_snapshot(&config, time::Time::ZERO);
                board.control = Some(addresses[n]);
                board
            })
            .collect();
        let initial_delay = |rng: &mut ChaCha8Rng, span: Duration| {
            time::Time::from_micros(rng.random_range(0..span.as_micros() as u64))
        };
        let agents = (0..size.agents).map(|n| Agent {
            view: view(n),
            selector: entry_selector::EntrySelector::new(name(&format!("endpoint-{n:05}")), addresses.clone()),
            heartbeat_due: initial_delay(&mut rng, MAX_INITIAL_DELAY),
        });
        let agents = agents.collect();
        let gossip_due = (0..size.entries)
            .map(|_| initial_delay(&mut rng, MAX_INITIAL_DELAY))
            .collect();
        Self {
            read_due: (0..size.entries)
                .map(|_| initial_delay(&mut rng, MAX_INITIAL_DELAY))
                .collect(),
            addresses,
            boards,
            agents,
            gossip_due,
            rng,
            size,
            accepted: Vec::new(),
            accepted_at: Vec::new(),
            board_time: Duration::ZERO,
            entry_bytes: 0,
            entry_messages: 0,
            agent_bytes: 0,
            reads: 0,
        }
    }

    fn run(&mut self) -> Cost {
        let tick = Duration::from_millis(5);
        let mut now = time::Time::ZERO;
        let end = time::Time::ZERO + self.size.length;
        let mut entry_delays_ms: Vec<Option<u64>> = Vec::new();
        let mut agent_delays_ms: Vec<Option<u64>> = Vec::new();
        let spacing = self.size.length / (self.size.changes as u32 + 1);
        while now < end {
            now = now + tick;
            let due = time::Time::ZERO + Duration::from_secs(2) + spacing * self.accepted.len() as u32;
            if self.accepted.len() < self.size.changes && now >= due {
                self.accept_change(now);
                entry_delays_ms.push(None);
                agent_delays_ms.push(None);
            }
            self.step(now);
            for index in 0..self.accepted.len() {
                let revision = self.accepted[index].revision;
                let delay_ms = now.since(self.accepted_at[index]).as_millis() as u64;
                if entry_delays_ms[index].is_none() && self.boards.iter().all(|b| b.config().revision() >= revision) {
                    entry_delays_ms[index] = Some(delay_ms);
                }
                if agent_delays_ms[index].is_none() && self.agents.iter().all(|a| a.view.revision >= revision) {
                    agent_delays_ms[index] = Some(delay_ms);
                }
            }
        }
        self.cost(entry_delays_ms, agent_delays_ms)
    }

    fn cost(&self, entry_delays_ms: Vec<Option<u64>>, agent_delays_ms: Vec<Option<u64>>) -> Cost {
        let secs = self.size.length.as_secs_f64();
        let entries = self.size.entries as f64;
        let sorted = |mut delays: Vec<u64>| {
            delays.sort_unstable();
            delays
        };
        Cost {
            entry_bytes: self.entry_bytes as f64 / secs / entries,
            entry_messages: self.entry_messages as f64 / secs / entries,
            agent_bytes: self.agent_bytes as f64 / secs / self.size.agents as f64,
            entry_core_share: self.board_time.as_secs_f64() / secs / entries,
            platform_reads: self.reads as f64 / secs,
            entries_in_force_ms: sorted(entry_delays_ms.into_iter().flatten().collect()),
            agents_in_force_ms: sorted(agent_delays_ms.into_iter().flatten().collect()),
        }
    }

    fn accept_change(&mut self, now: time::Time) {
        let number = self.accepted.len();
        self.accepted.push(change::Change {
            revision: revision::Revision::new(number as u64 + 2),
            id: name(&format!("change-{number}")),
            edits: vec![change::Edit::Put(organisation_declaration(
                number % 50,
                number as u32 + 2,
            ))],
        });
        self.accepted_at.push(now);
    }

    fn step(&mut self, now: time::Time) {
        for entry in 0..self.size.entries {
            if now >= self.read_due[entry] {
                self.read(entry, now);
            }
            let mut peers = self.boards[entry].take_pushes();
            if now >= self.gossip_due[entry] {
                let jitter = Duration::from_micros(self.rng.random_range(0..5_000));
                self.gossip_due[entry] = now + control_intervals::GOSSIP_INTERVAL + jitter;
                peers.push(
                    self.boards[entry]
                        .next_gossip_peer(&self.addresses, now)
                        .expect("there are other entries"),
                );
            }
            for addr in peers {
                let peer = self.entry_at(addr);
                self.gossip(entry, peer, now);
            }
        }
        for agent in 0..self.size.agents {
            if now >= self.agents[agent].heartbeat_due {
                let addr = self.agents[agent].selector.candidates(now)[0];
                let entry = self.entry_at(addr);
                self.send_heartbeat(agent, entry, now);
            }
        }
    }

    fn entry_at(&self, addr: SocketAddr) -> usize {
        let index = self.addresses.iter().position(|a| *a == addr);
        index.expect("the address belongs to an entry")
    }

    fn read(&mut self, entry: usize, now: time::Time) {
        // One read of the head row and one of the instance list.
        self.reads += 2;
        let known = self.boards[entry].config().revision();
        let newer: Vec<change::Change> = self.accepted.iter().filter(|c| c.revision > known).cloned().collect();
        if !newer.is_empty() {
            self.reads += 1;
            let started = Instant::now();
            self.boards[entry].apply_local_changes(&newer, now + HOP_DELAY);
            self.board_time += started.elapsed();
        }
        self.read_due[entry] = now + self.boards[entry].read_interval(now);
    }

    fn gossip(&mut self, entry: usize, peer: usize, now: time::Time) {
        let peer_name = self.boards[peer].instance().clone();
        let demands: Vec<limits::Demand> = (0..self.size.calling_organisations)
            .map(|n| limits::Demand {
                organisation: name(&format!("organisation-{n:05}")),
                calls_per_second: 1.0,
            })
            .collect();
        let started = Instant::now();
        let digest = self.boards[entry].digest(Some(&peer_name));
        self.boards[peer].update_report(demands, now + HOP_DELAY);
        let reply = self.boards[peer].reply_to_digest(&digest, now + HOP_DELAY);
        self.boards[entry].apply_digest_reply(&reply, now + HOP_DELAY * 2);
        self.board_time += started.elapsed();
        // Both ends are entries, so each byte and each message counts twice.
        self.entry_bytes += 2 * (transmitted_bytes(&digest) + transmitted_bytes(&reply));
        self.entry_messages += 4;
    }

    fn send_heartbeat(&mut self, agent: usize, entry: usize, now: time::Time) {
        let jitter = Duration::from_micros(self.rng.random_range(0..5_000));
        let sender = &mut self.agents[agent];
        sender.view.seq += 1;
        sender.view.load.running = self.rng.random_range(0..64);
        let view = sender.view.clone();
        let request_bytes = transmitted_bytes(&packed::Packed(view.clone()));
        let started = Instant::now();
        let reply = self.boards[entry].on_heartbeat(view, now + HOP_DELAY);
        self.board_time += started.elapsed();
        let reply_bytes = transmitted_bytes(&reply);
        sender.heartbeat_due = now + Duration::from_millis(u64::from(reply.heartbeat_ms)) + jitter;
        if reply.revision > sender.view.revision {
            sender.view.revision = reply.revision;
        }
        if let Some(entries) = &reply.entries {
            sender.view.entries = sycamorestile_core::announce_reply::fingerprint(entries);
            sender.selector.set_advertised(entries.clone());
        }
        self.entry_bytes += request_bytes + reply_bytes;
        self.agent_bytes += request_bytes + reply_bytes;
        self.entry_messages += 2;
    }
}

fn view(agent: usize) -> agent_view::AgentView {
    let addr = SocketAddr::from(([10, 0, 0, 1], 7_100));
    agent_view::AgentView {
        endpoint: name(&format!("endpoint-{agent:05}")),
        incarnation: incarnation::Incarnation::new(agent as u64 + 1),
        seq: 0,
        calls: addr,
        control: addr,
        load: load::Load {
            running: 10,
            queued: 0,
            slots: 64,
            hold_us: 7_000_000,
            first_us: 200_000,
            gap_us: 29_000,
        },
        leaving: false,
        entries: 0,
        revision: revision::Revision::new(1),
    }
}
