//! Drives entries and agents by hand in virtual time, under a given arrival of calls.
//!
//! Only the product's own decisions are at work: dispatchers choose, gates admit. Messages arrive after a fixed delay,
//! load reports after their interval; nothing else of a network is modelled.

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

/// One way between entry and agent.
const HOP: Duration = Duration::from_millis(1);
/// Time before samples are taken.
const WARM_UP: Duration = Duration::from_secs(5);
/// Interval of samples.
const SAMPLE: Duration = Duration::from_millis(50);

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product: dispatchers and gates.
    Product,
    /// Each entry takes agents in turn; agents queue without bound.
    RoundRobin,
    /// Each entry takes the agent to which it has fewest calls outstanding; agents queue without bound.
    LeastOutstanding,
}

/// What is driven.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Who decides.
    pub policy: Policy,
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
    /// Calls that an agent runs at once.
    pub slots: u32,
    /// Mean time that a call holds a slot.
    pub hold: Duration,
    /// Time from arrival within which a call has to be answered.
    pub deadline: Duration,
    /// Arriving calls in multiples of what the agents can run.
    pub load: f64,
    /// Share of calls that come from one flooding organisation; the rest is spread over nine.
    pub flood: f64,
    /// Length of the run.
    pub length: Duration,
    /// Calls are of all classes alike, not all of one.
    pub classes: bool,
    /// Agents that die half-way.
    pub dying: usize,
    /// Agents that take so many times as long, from the first on.
    pub slow: usize,
    /// How many times as long they take.
    pub slowness: f64,
    /// Interval of load reports.
    pub report: Duration,
    /// Time that a report takes to reach entries.
    pub report_age: Duration,
    /// How dispatchers look at groups.
    pub cost_model: router::GroupCostModel,
    /// Seed.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            policy: Policy::Product,
            entries: 6,
            agents: 12,
            slots: 8,
            hold: Duration::from_millis(400),
            deadline: Duration::from_secs(2),
            load: 1.0,
            flood: 0.0,
            length: Duration::from_secs(40),
            classes: false,
            dying: 0,
            slow: 0,
            slowness: 1.0,
            report: Duration::from_millis(400),
            report_age: Duration::ZERO,
            cost_model: router::GroupCostModel::SlowestRank,
            seed: 1,
        }
    }
}

/// One call and what became of it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// When it arrived.
    pub arrived: time::Time,
    /// Organisation; 0 is the flooding one.
    pub organisation: usize,
    /// Its class.
    pub class: class::Class,
    /// When its slot was given.
    pub began: Option<time::Time>,
    /// When it was answered.
    pub answered: Option<time::Time>,
    /// When it was refused.
    pub refused: Option<time::Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    Reach { call: usize, agent: usize },
    Finish { call: usize, agent: usize },
    Report { agent: usize },
    Reported { report: usize },
    Tick { agent: usize },
    Die,
    Sample,
}

struct Call {
    record: CallRecord,
    entry: usize,
    tried: Vec<name::Name>,
    tries: u32,
    ended: bool,
}

struct Agent {
    name: name::Name,
    attempt_queue: attempt_queue::AttemptQueue,
    alive: bool,
    /// Calls that wait at an agent without admission.
    fifo: std::collections::VecDeque<usize>,
    running: u32,
}

/// State of a run.
pub struct Run {
    setup: Setup,
    rng: ChaCha8Rng,
    /// Separate, so that every policy gets the same calls.
    arrivals: ChaCha8Rng,
    now: time::Time,
    order: u64,
    events: BinaryHeap<Reverse<(time::Time, u64, What)>>,
    calls: Vec<Call>,
    agents: Vec<Agent>,
    dispatchers: Vec<dispatcher::Dispatcher>,
    members: Vec<membership::Membership>,
    outstanding: Vec<Vec<u32>>,
    turns: Vec<usize>,
    /// Reports with the time when they were made.
    reports: Vec<(agent_view::AgentView, time::Time)>,
    config: state::ConfigState,
    /// Largest over mean number of running calls of an agent, at each sample.
    skews: Vec<f64>,
}

fn name(text: &str) -> name::Name {
    name::Name::new(text).expect("a name")
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
    /// Runs a setup and gives every call's record.
    pub fn of(setup: Setup) -> Vec<CallRecord> {
        Self::to_end(setup).calls.into_iter().map(|call| call.record).collect()
    }

    /// Runs a setup and gives the mean over time of the largest over the mean number of running calls of an agent.
    pub fn mean_skew(setup: Setup) -> f64 {
        let skews = Self::to_end(setup).skews;
        skews.iter().sum::<f64>() / skews.len() as f64
    }

    fn to_end(setup: Setup) -> Self {
        let mut run = Self::new(setup);
        run.start();
        while let Some(Reverse((at, _, what))) = run.events.pop() {
            run.now = at;
            run.happen(what);
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
            order: 0,
            events: BinaryHeap::new(),
            calls: Vec::new(),
            agents: agents.collect(),
            dispatchers: (0..setup.entries)
                .map(|_| dispatcher::Dispatcher::new(name("d")).with_cost_model(setup.cost_model))
                .collect(),
            members: vec![membership::Membership::default(); setup.entries],
            outstanding: vec![vec![0; setup.agents]; setup.entries],
            turns: vec![0; setup.entries],
            reports: Vec::new(),
            config: declarations(&setup),
            arrivals: ChaCha8Rng::seed_from_u64(setup.seed + 1_000),
            skews: Vec::new(),
            setup,
        }
    }

    fn at(&mut self, after: Duration, what: What) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order, what)));
    }

    fn start(&mut self) {
        for agent in 0..self.setup.agents {
            self.report(agent);
            let stagger = self.setup.report * agent as u32 / self.setup.agents as u32;
            self.at(stagger, What::Report { agent });
        }
        let entries = self.setup.entries as u32;
        self.dispatchers.iter_mut().for_each(|d| d.set_entries(entries));
        self.at(Duration::ZERO, What::Arrive);
        self.at(WARM_UP, What::Sample);
        if self.setup.dying > 0 {
            self.at(self.setup.length / 2, What::Die);
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive => self.arrive(),
            What::Reach { call, agent } => self.reach(call, agent),
            What::Finish { call, agent } => self.finish(call, agent),
            What::Report { agent } => {
                self.report(agent);
                if self.now.since(time::Time::ZERO) < self.setup.length {
                    self.at(self.setup.report, What::Report { agent });
                }
            }
            What::Reported { report } => self.reported(report),
            What::Tick { agent } => self.pump(agent),
            What::Sample => self.sample(),
            What::Die => {
                for agent in &mut self.agents[..self.setup.dying] {
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
        if self.now.since(time::Time::ZERO) < self.setup.length {
            self.at(SAMPLE, What::Sample);
        }
    }

    fn report(&mut self, agent: usize) {
        let it = &self.agents[agent];
        if !it.alive {
            return;
        }
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let view = agent_view::AgentView {
            endpoint: it.name.clone(),
            incarnation: incarnation::Incarnation::new(1),
            seq: self.now.as_micros() + 1,
            calls: addr,
            control: addr,
            load: it.attempt_queue.load().quantised(),
            leaving: false,
            entries: 0,
            revision: revision::Revision::new(1),
        };
        self.reports.push((view, self.now));
        if self.setup.report_age.is_zero() {
            self.reported(self.reports.len() - 1);
        } else {
            let report = self.reports.len() - 1;
            self.at(self.setup.report_age, What::Reported { report });
        }
    }

    /// A report reaches the entries.
    fn reported(&mut self, report: usize) {
        let (view, made) = self.reports[report].clone();
        let lag = self.setup.report + self.setup.report_age;
        for entry in 0..self.setup.entries {
            self.members[entry].record_reported_heartbeat(view.clone(), made, lag, self.now);
            self.dispatchers[entry].record_report(&view.endpoint, made);
        }
    }

    fn arrive(&mut self) {
        let capacity = self.setup.agents as f64 * f64::from(self.setup.slots) / self.setup.hold.as_secs_f64();
        let gap = -self.arrivals.random::<f64>().max(1e-12).ln() / (capacity * self.setup.load);
        if self.now.since(time::Time::ZERO) < self.setup.length {
            self.at(Duration::from_secs_f64(gap), What::Arrive);
        } else {
            return;
        }
        let flooding = self.arrivals.random_bool(self.setup.flood);
        let organisation = if flooding { 0 } else { self.arrivals.random_range(1..10) };
        let class = if self.setup.classes {
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
                answered: None,
                refused: None,
            },
            entry,
            tried: Vec::new(),
            tries: 0,
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
                self.turns[entry] += 1;
                Some(self.turns[entry] % self.setup.agents)
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
        self.calls[call].tried.push(endpoint);
        self.calls[call].tries += 1;
        self.at(HOP, What::Reach { call, agent });
    }

    fn route(&mut self, call: usize) -> Option<usize> {
        let entry = self.calls[call].entry;
        let need = dispatcher::RouteRequest {
            service: Some(name("model")),
            excluded: self.calls[call].tried.clone(),
            ..dispatcher::RouteRequest::default()
        };
        let chosen = self.dispatchers[entry].route(&need, &self.config, &self.members[entry], self.now, &mut self.rng);
        let chosen = chosen.ok()?;
        self.agents.iter().position(|agent| agent.name == chosen)
    }

    fn deadline(&self, call: usize) -> time::Time {
        self.calls[call].record.arrived + self.setup.deadline
    }

    fn reach(&mut self, call: usize, agent: usize) {
        if !self.agents[agent].alive {
            self.bounce(call, agent);
            return;
        }
        if self.setup.policy != Policy::Product {
            self.agents[agent].fifo.push_back(call);
            self.pump(agent);
            return;
        }
        let organisation = self.calls[call].record.organisation;
        let offer = attempt_queue::AttemptOffer {
            attempt: attempt_id::AttemptId::new(call as u128 * 8 + u128::from(self.calls[call].tries)),
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
                    let left = self.deadline(call).since(self.now) * quarter / 4;
                    self.at(left, What::Tick { agent });
                }
            }
            attempt_queue::OfferResult::Refuse(problem) => {
                if problem.kind == problem::ProblemKind::Overloaded {
                    let load = self.agents[agent].attempt_queue.load();
                    let entry = self.calls[call].entry;
                    let endpoint = self.agents[agent].name.clone();
                    self.dispatchers[entry].record_load(&endpoint, load, self.now);
                }
                self.bounce(call, agent);
            }
            attempt_queue::OfferResult::Duplicate => unreachable!("attempts are numbered"),
        }
    }

    /// The try did not begin: try elsewhere or refuse.
    fn bounce(&mut self, call: usize, agent: usize) {
        let entry = self.calls[call].entry;
        self.release(call, agent);
        let again = self.calls[call].tries < 4 && self.dispatchers[entry].budget.try_spend();
        if again { self.dispatch(call) } else { self.refuse(call) }
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
        let spread = 0.5 + self.rng.random::<f64>();
        let slowness = if agent < self.setup.slow {
            self.setup.slowness
        } else {
            1.0
        };
        let hold = self.setup.hold.mul_f64(spread * slowness);
        self.at(hold, What::Finish { call, agent });
    }

    fn finish(&mut self, call: usize, agent: usize) {
        if !self.agents[agent].alive {
            return;
        }
        if self.setup.policy == Policy::Product {
            let id = attempt_id::AttemptId::new(call as u128 * 8 + u128::from(self.calls[call].tries));
            self.agents[agent].attempt_queue.record_ended(id, self.now);
            let load = self.agents[agent].attempt_queue.load();
            let entry = self.calls[call].entry;
            let endpoint = self.agents[agent].name.clone();
            self.dispatchers[entry].record_load(&endpoint, load, self.now);
        } else {
            self.agents[agent].running -= 1;
        }
        let entry = self.calls[call].entry;
        let took = self.now.since(self.calls[call].record.began.unwrap_or(self.now));
        let endpoint = self.agents[agent].name.clone();
        self.dispatchers[entry].record_first_frame(&endpoint, took);
        self.release(call, agent);
        let it = &mut self.calls[call];
        it.ended = true;
        it.record.answered = Some(self.now);
        self.pump(agent);
    }

    /// Begins what can begin at an agent.
    fn pump(&mut self, agent: usize) {
        if !self.agents[agent].alive {
            return;
        }
        if self.setup.policy == Policy::Product {
            while let Some(next) = self.agents[agent].attempt_queue.next_action(self.now) {
                match next {
                    attempt_queue::QueueAction::Begin(id) => self.begin((id.get() / 8) as usize, agent),
                    attempt_queue::QueueAction::Refuse(id, _) => self.bounce((id.get() / 8) as usize, agent),
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
