//! Discrete-event simulation of entries and agents in virtual time.
//!
//! Routing and admission are done by the code under test, or by a baseline policy. Messages take a fixed time, and load
//! reports are sent at a fixed interval; the network is not modelled any further.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::agent_view;
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::class;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::config::group;
use sycamorestile_core::config::service;
use sycamorestile_core::config::state;
use sycamorestile_core::dispatcher;
use sycamorestile_core::incarnation;
use sycamorestile_core::membership;
use sycamorestile_core::name;
use sycamorestile_core::prefix_memory;
use sycamorestile_core::problem;
use sycamorestile_core::revision;
use sycamorestile_core::router;
use sycamorestile_core::time;

/// One-way delay between an entry and an agent.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Time before the first sample.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Routing and admission policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The code under test: dispatchers route, and attempt queues admit.
    Product,
    /// Each entry uses the agents in turn, and the agents have unbounded queues.
    RoundRobin,
    /// Each entry uses the agent to which it has the fewest outstanding calls, and the agents have unbounded queues.
    LeastOutstanding,
}

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Routing and admission policy.
    pub policy: Policy,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of calls that an agent runs at once.
    pub slots: u32,
    /// Mean time for which a call holds its slot.
    pub hold_time: Duration,
    /// Time from the arrival of a call to its deadline.
    pub deadline: Duration,
    /// Arrival rate of calls relative to the capacity of all agents.
    pub load: f64,
    /// Fraction of the calls that come from one flooding organisation; nine others share the rest equally.
    pub flood_share: f64,
    /// Time during which calls arrive.
    pub duration: Duration,
    /// Whether the calls are spread evenly over the classes; otherwise all have the same class.
    pub mixed_classes: bool,
    /// Number of agents, counted from the first, that fail after half of the duration.
    pub failing_agents: usize,
    /// Number of agents, counted from the first, whose calls take `slowness` times as long.
    pub slow_agents: usize,
    /// Factor for the hold time at slow agents.
    pub slowness: f64,
    /// Time between two load reports of an agent.
    pub report_interval: Duration,
    /// Time that a load report takes to reach the entries.
    pub report_delay: Duration,
    /// Cost model of the dispatchers.
    pub cost_model: router::GroupCostModel,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            policy: Policy::Product,
            entries: 6,
            agents: 12,
            slots: 8,
            hold_time: Duration::from_millis(400),
            deadline: Duration::from_secs(2),
            load: 1.0,
            flood_share: 0.0,
            duration: Duration::from_secs(40),
            mixed_classes: false,
            failing_agents: 0,
            slow_agents: 0,
            slowness: 1.0,
            report_interval: Duration::from_millis(400),
            report_delay: Duration::ZERO,
            cost_model: router::GroupCostModel::SlowestRank,
            seed: 1,
        }
    }
}

/// Result of one call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// When the call arrived at its entry.
    pub arrived: time::Time,
    /// Index of the calling organisation; 0 is the flooding one.
    pub organisation: usize,
    /// Priority class.
    pub class: class::Class,
    /// When the call got a slot.
    pub began: Option<time::Time>,
    /// When the response was complete.
    pub completed: Option<time::Time>,
    /// When the call was refused.
    pub refused: Option<time::Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    ArriveAtAgent { call: usize, agent: usize },
    Finish { call: usize, agent: usize },
    Report { agent: usize },
    DeliverReport { report: usize },
    Tick { agent: usize },
    FailAgents,
    Sample,
}

struct Call {
    record: CallRecord,
    entry: usize,
    excluded: Vec<name::Name>,
    attempts: u32,
    ended: bool,
}

struct Agent {
    name: name::Name,
    attempt_queue: attempt_queue::AttemptQueue,
    alive: bool,
    /// Waiting calls under the baseline policies.
    fifo: std::collections::VecDeque<usize>,
    running: u32,
}

/// State of a simulation run.
pub struct Run {
    setup: Setup,
    rng: ChaCha8Rng,
    /// Separate generator for arrivals, so that all policies get the same calls.
    arrivals: ChaCha8Rng,
    now: time::Time,
    /// Number of events scheduled so far, which orders events with the same time.
    event_count: u64,
    events: BinaryHeap<Reverse<(time::Time, u64, SimEvent)>>,
    calls: Vec<Call>,
    agents: Vec<Agent>,
    dispatchers: Vec<dispatcher::Dispatcher>,
    members: Vec<membership::Membership>,
    outstanding: Vec<Vec<u32>>,
    next_agents: Vec<usize>,
    /// Load reports with the times at which they were made.
    reports: Vec<(agent_view::AgentView, time::Time)>,
    config: state::ConfigState,
    /// Ratio of the maximum to the mean number of running calls per agent, for each sample.
    skews: Vec<f64>,
}

fn name(text: &str) -> name::Name {
    name::Name::new(text).expect("the name is valid")
}

fn declarations(setup: &Setup) -> state::ConfigState {
    let mut objects = vec![
        declaration::Declaration::Service(service::Service {
            name: name("model"),
            kind: service::ServiceKind::Model,
            routes: Vec::new(),
            deadline_ms: 1,
            max_body_bytes: 1,
        }),
        declaration::Declaration::Group(group::Group {
            name: name("group"),
            service: name("model"),
            failure_domain: name("d"),
            ranks: setup.agents as u32,
            experts: 1,
            slots: 1,
            skew_weight: 1.0,
            cost_weight: 1.0,
            frozen: false,
        }),
    ];
    for rank in 0..setup.agents {
        objects.push(declaration::Declaration::Endpoint(endpoint::Endpoint {
            name: name(&format!("agent-{rank:03}")),
            service: name("model"),
            failure_domain: name("d"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: setup.slots,
            rank_of: Some(endpoint::RankOf {
                group: name("group"),
                rank: rank as u32,
            }),
            features: Vec::new(),
        }));
    }
    let entries = objects.into_iter().map(|object| state::VersionedObject {
        key: object.key(),
        version: revision::Revision::new(1),
        object,
    });
    state::ConfigState::from_objects(revision::Revision::new(1), entries.collect())
}

impl Run {
    /// Runs a simulation and returns the records of all calls.
    pub fn call_records(setup: Setup) -> Vec<CallRecord> {
        Self::run_to_end(setup)
            .calls
            .into_iter()
            .map(|call| call.record)
            .collect()
    }

    /// Runs a simulation and returns the ratio of the maximum to the mean number of running calls per agent, averaged
    /// over all samples.
    pub fn mean_skew(setup: Setup) -> f64 {
        let skews = Self::run_to_end(setup).skews;
        skews.iter().sum::<f64>() / skews.len() as f64
    }

    fn run_to_end(setup: Setup) -> Self {
        let mut run = Self::new(setup);
        run.start();
        while let Some(Reverse((at, _, event))) = run.events.pop() {
            run.now = at;
            run.handle(event);
        }
        run
    }

    fn new(setup: Setup) -> Self {
        let agents = (0..setup.agents).map(|rank| Agent {
            name: name(&format!("agent-{rank:03}")),
            attempt_queue: attempt_queue::AttemptQueue::new(setup.slots),
            alive: true,
            fifo: std::collections::VecDeque::new(),
            running: 0,
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: time::Time::ZERO,
            event_count: 0,
            events: BinaryHeap::new(),
            calls: Vec::new(),
            agents: agents.collect(),
            dispatchers: (0..setup.entries)
                .map(|_| dispatcher::Dispatcher::new(name("d")).with_cost_model(setup.cost_model))
                .collect(),
            members: vec![membership::Membership::default(); setup.entries],
            outstanding: vec![vec![0; setup.agents]; setup.entries],
            next_agents: vec![0; setup.entries],
            reports: Vec::new(),
            config: declarations(&setup),
            arrivals: ChaCha8Rng::seed_from_u64(setup.seed + 1_000),
            skews: Vec::new(),
            setup,
        }
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + delay, self.event_count, event)));
    }

    fn start(&mut self) {
        for agent in 0..self.setup.agents {
            self.make_report(agent);
            let stagger = self.setup.report_interval * agent as u32 / self.setup.agents as u32;
            self.schedule(stagger, SimEvent::Report { agent });
        }
        let entries = self.setup.entries as u32;
        self.dispatchers.iter_mut().for_each(|d| d.set_entries(entries));
        self.schedule(Duration::ZERO, SimEvent::Arrive);
        self.schedule(WARM_UP, SimEvent::Sample);
        if self.setup.failing_agents > 0 {
            self.schedule(self.setup.duration / 2, SimEvent::FailAgents);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(),
            SimEvent::ArriveAtAgent { call, agent } => self.arrive_at_agent(call, agent),
            SimEvent::Finish { call, agent } => self.finish(call, agent),
            SimEvent::Report { agent } => {
                self.make_report(agent);
                if self.now.since(time::Time::ZERO) < self.setup.duration {
                    self.schedule(self.setup.report_interval, SimEvent::Report { agent });
                }
            }
            SimEvent::DeliverReport { report } => self.deliver_report(report),
            SimEvent::Tick { agent } => self.start_waiting(agent),
            SimEvent::Sample => self.sample(),
            SimEvent::FailAgents => {
                for agent in &mut self.agents[..self.setup.failing_agents] {
                    agent.alive = false;
                }
            }
        }
    }

    fn sample(&mut self) {
        let running: Vec<u32> = self.agents.iter().map(|a| a.attempt_queue.load().running).collect();
        let total: u32 = running.iter().sum();
        let most = running.iter().copied().max().unwrap_or(0);
        if total > 0 {
            self.skews
                .push(f64::from(most) * running.len() as f64 / f64::from(total));
        }
        if self.now.since(time::Time::ZERO) < self.setup.duration {
            self.schedule(SAMPLE_INTERVAL, SimEvent::Sample);
        }
    }

    fn make_report(&mut self, agent: usize) {
        let agent_state = &self.agents[agent];
        if !agent_state.alive {
            return;
        }
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let view = agent_view::AgentView {
            endpoint: agent_state.name.clone(),
            incarnation: incarnation::Incarnation::new(1),
            seq: self.now.as_micros() + 1,
            calls: addr,
            control: addr,
            load: agent_state.attempt_queue.load().quantised(),
            leaving: false,
            entries: 0,
            revision: revision::Revision::new(1),
        };
        self.reports.push((view, self.now));
        if self.setup.report_delay.is_zero() {
            self.deliver_report(self.reports.len() - 1);
        } else {
            let report = self.reports.len() - 1;
            self.schedule(self.setup.report_delay, SimEvent::DeliverReport { report });
        }
    }

    /// Delivers a load report to all entries.
    fn deliver_report(&mut self, report: usize) {
        let (view, made) = self.reports[report].clone();
        let lag = self.setup.report_interval + self.setup.report_delay;
        for entry in 0..self.setup.entries {
            self.members[entry].record_reported_heartbeat(view.clone(), made, lag, self.now);
            self.dispatchers[entry].record_report(&view.endpoint, made);
        }
    }

    fn arrive(&mut self) {
        let capacity = self.setup.agents as f64 * f64::from(self.setup.slots) / self.setup.hold_time.as_secs_f64();
        let gap = -self.arrivals.random::<f64>().max(1e-12).ln() / (capacity * self.setup.load);
        if self.now.since(time::Time::ZERO) < self.setup.duration {
            self.schedule(Duration::from_secs_f64(gap), SimEvent::Arrive);
        } else {
            return;
        }
        let is_flooding = self.arrivals.random_bool(self.setup.flood_share);
        let organisation = if is_flooding {
            0
        } else {
            self.arrivals.random_range(1..10)
        };
        let class = if self.setup.mixed_classes {
            class::Class::ALL[self.arrivals.random_range(0..3)]
        } else {
            class::Class::Standard
        };
        let entry = self.arrivals.random_range(0..self.setup.entries);
        self.calls.push(Call {
            record: CallRecord {
                arrived: self.now,
                organisation,
                class,
                began: None,
                completed: None,
                refused: None,
            },
            entry,
            excluded: Vec::new(),
            attempts: 0,
            ended: false,
        });
        self.dispatchers[entry].budget.record_first_attempt();
        self.dispatch(self.calls.len() - 1);
    }

    fn dispatch(&mut self, call: usize) {
        let entry = self.calls[call].entry;
        let agent = match self.setup.policy {
            Policy::Product => self.route(call),
            Policy::RoundRobin => {
                self.next_agents[entry] += 1;
                Some(self.next_agents[entry] % self.setup.agents)
            }
            Policy::LeastOutstanding => {
                let least = self.outstanding[entry]
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, count)| **count);
                least.map(|(agent, _)| agent)
            }
        };
        let Some(agent) = agent else {
            self.refuse(call);
            return;
        };
        self.outstanding[entry][agent] += 1;
        let endpoint = self.agents[agent].name.clone();
        self.dispatchers[entry].record_sent(&endpoint, &prefix_memory::PrefixHashes::default(), self.now);
        self.calls[call].excluded.push(endpoint);
        self.calls[call].attempts += 1;
        self.schedule(NETWORK_DELAY, SimEvent::ArriveAtAgent { call, agent });
    }

    fn route(&mut self, call: usize) -> Option<usize> {
        let entry = self.calls[call].entry;
        let request = dispatcher::RouteRequest {
            service: Some(name("model")),
            excluded: self.calls[call].excluded.clone(),
            ..dispatcher::RouteRequest::default()
        };
        let chosen =
            self.dispatchers[entry].route(&request, &self.config, &self.members[entry], self.now, &mut self.rng);
        let chosen = chosen.ok()?;
        self.agents.iter().position(|agent| agent.name == chosen)
    }

    fn deadline(&self, call: usize) -> time::Time {
        self.calls[call].record.arrived + self.setup.deadline
    }

    fn arrive_at_agent(&mut self, call: usize, agent: usize) {
        if !self.agents[agent].alive {
            self.on_not_started(call, agent);
            return;
        }
        if self.setup.policy != Policy::Product {
            self.agents[agent].fifo.push_back(call);
            self.start_waiting(agent);
            return;
        }
        let organisation = self.calls[call].record.organisation;
        let offer = attempt_queue::AttemptOffer {
            attempt: attempt_id::AttemptId::new(call as u128 * 8 + u128::from(self.calls[call].attempts)),
            organisation: name(&format!("org-{organisation}")),
            weight: 1,
            class: self.calls[call].record.class,
            deadline: self.deadline(call),
            tokens: None,
        };
        match self.agents[agent].attempt_queue.offer(&offer, self.now) {
            attempt_queue::OfferResult::Begin => self.begin(call, agent),
            attempt_queue::OfferResult::Wait => {
                for quarter in 1..=4 {
                    let remaining = self.deadline(call).since(self.now) * quarter / 4;
                    self.schedule(remaining, SimEvent::Tick { agent });
                }
            }
            attempt_queue::OfferResult::Refuse(problem) => {
                if problem.kind == problem::ProblemKind::Overloaded {
                    let load = self.agents[agent].attempt_queue.load();
                    let entry = self.calls[call].entry;
                    let endpoint = self.agents[agent].name.clone();
                    self.dispatchers[entry].record_load(&endpoint, load, self.now);
                }
                self.on_not_started(call, agent);
            }
            attempt_queue::OfferResult::Duplicate => unreachable!("every attempt has its own identifier"),
        }
    }

    /// Retries a call whose attempt did not begin, or refuses the call.
    fn on_not_started(&mut self, call: usize, agent: usize) {
        let entry = self.calls[call].entry;
        self.release(call, agent);
        let retry = self.calls[call].attempts < 4 && self.dispatchers[entry].budget.try_spend();
        if retry { self.dispatch(call) } else { self.refuse(call) }
    }

    fn release(&mut self, call: usize, agent: usize) {
        let entry = self.calls[call].entry;
        let endpoint = self.agents[agent].name.clone();
        self.dispatchers[entry].record_ended(&endpoint);
        self.outstanding[entry][agent] = self.outstanding[entry][agent].saturating_sub(1);
    }

    fn refuse(&mut self, call: usize) {
        let call = &mut self.calls[call];
        if !call.ended {
            call.ended = true;
            call.record.refused = Some(self.now);
        }
    }

    fn begin(&mut self, call: usize, agent: usize) {
        self.calls[call].record.began = Some(self.now);
        let hold_factor = 0.5 + self.rng.random::<f64>();
        let slowness = if agent < self.setup.slow_agents {
            self.setup.slowness
        } else {
            1.0
        };
        let hold = self.setup.hold_time.mul_f64(hold_factor * slowness);
        self.schedule(hold, SimEvent::Finish { call, agent });
    }

    fn finish(&mut self, call: usize, agent: usize) {
        if !self.agents[agent].alive {
            return;
        }
        if self.setup.policy == Policy::Product {
            let id = attempt_id::AttemptId::new(call as u128 * 8 + u128::from(self.calls[call].attempts));
            self.agents[agent].attempt_queue.record_ended(id, self.now);
            let load = self.agents[agent].attempt_queue.load();
            let entry = self.calls[call].entry;
            let endpoint = self.agents[agent].name.clone();
            self.dispatchers[entry].record_load(&endpoint, load, self.now);
        } else {
            self.agents[agent].running -= 1;
        }
        let entry = self.calls[call].entry;
        let first_frame = self.now.since(self.calls[call].record.began.unwrap_or(self.now));
        let endpoint = self.agents[agent].name.clone();
        self.dispatchers[entry].record_first_frame(&endpoint, first_frame);
        self.release(call, agent);
        let call = &mut self.calls[call];
        call.ended = true;
        call.record.completed = Some(self.now);
        self.start_waiting(agent);
    }

    /// Starts the waiting calls of an agent for which slots are free.
    fn start_waiting(&mut self, agent: usize) {
        if !self.agents[agent].alive {
            return;
        }
        if self.setup.policy == Policy::Product {
            while let Some(next) = self.agents[agent].attempt_queue.next_action(self.now) {
                match next {
                    attempt_queue::QueueAction::Begin(id) => self.begin((id.get() / 8) as usize, agent),
                    attempt_queue::QueueAction::Refuse(id, _) => self.on_not_started((id.get() / 8) as usize, agent),
                }
            }
            return;
        }
        while self.agents[agent].running < self.setup.slots {
            let Some(call) = self.agents[agent].fifo.pop_front() else {
                return;
            };
            self.agents[agent].running += 1;
            self.begin(call, agent);
        }
    }
}
