//! State space exploration of the map switch with 3 ranks, 2 coordinators and one replaced rank.
//!
//! The states near the initial one are explored breadth-first, and long seeded random walks cover states further away.
//!
//! Every order and reply that was ever sent can still be delivered, which covers loss, duplication, delay and
//! reordering. In each reachable state the group may try to start a step; the test checks that all ranks start it on
//! the same map.

use std::collections::HashSet;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_expert_map::switch::coordinator;
use sycamorestile_expert_map::switch::fencing_token;
use sycamorestile_expert_map::switch::order;
use sycamorestile_expert_map::switch::rank;
use sycamorestile_expert_map::switch::rank_state;
use sycamorestile_expert_map::switch::reply;
use sycamorestile_expert_map::switch::step;
use sycamorestile_expert_map::switch::version;

const RANKS: usize = 3;
const OLD_MAP: version::Version = version::Version(1);
const NEW_MAP: version::Version = version::Version(2);
/// Number of steps that the group may run.
const STEPS: u64 = 2;
/// Number of states explored breadth-first.
const BFS_STATES: usize = 20_000;
/// Number of random walks.
const WALKS: u64 = 4_000;
/// Number of events in a random walk.
const WALK_EVENTS: usize = 150;
/// Probability that an event of a random walk is a failure.
const FAILURE_PROBABILITY: f64 = 0.02;
/// The step at which the first coordinator arms.
const FIRST_ARM_STEP: step::Step = step::Step(1);

/// A bug injected into the model, which the exploration has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// The coordinator treats one rank as armed that is not.
    CommitBeforeAllArmed,
    /// Ranks execute orders regardless of their fencing token.
    AcceptStaleToken,
    /// The successor proceeds without the promise of one rank.
    SkipOnePromise,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlight<T> {
    coordinator: usize,
    rank: usize,
    /// The incarnation of the rank that sent the message; 0 for orders.
    incarnation: u8,
    body: T,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    ranks: Vec<rank::Rank>,
    /// The incarnation of each rank.
    incarnations: Vec<u8>,
    coordinators: Vec<coordinator::Coordinator>,
    /// All orders that were ever sent, sorted.
    orders: Vec<InFlight<order::Order>>,
    /// Replies that can still change the state of their coordinator, sorted.
    replies: Vec<InFlight<reply::Reply>>,
    step: u64,
    /// Number of ranks that may still be replaced.
    replacements: u8,
}

fn add<T>(sent: &mut Vec<InFlight<T>>, item: InFlight<T>)
where
    T: Ord,
{
    if let Err(at) = sent.binary_search(&item) {
        sent.insert(at, item);
    }
}

impl World {
    /// Creates the initial state: the first coordinator has all promises, and all ranks have loaded the new map.
    fn new(replacements: u8) -> Self {
        let first = fencing_token::FencingToken { count: 1, holder: 0 };
        let mut ranks = vec![rank::Rank::new(OLD_MAP); RANKS];
        let mut coordinator = coordinator::Coordinator::take_over(first, RANKS);
        while !matches!(coordinator.phase(), coordinator::Phase::Prepared(_)) {
            coordinator.propose(NEW_MAP);
            for order in coordinator.pending_orders() {
                let reply = ranks[order.rank].handle_order(&order.order);
                ranks[order.rank].record_loaded(NEW_MAP);
                coordinator.handle_reply(order.rank, &reply);
            }
        }
        Self {
            ranks,
            incarnations: vec![0; RANKS],
            coordinators: vec![coordinator],
            orders: Vec::new(),
            replies: Vec::new(),
            step: 0,
            replacements,
        }
    }

    /// Sends the pending orders and drops replies that do not change the state of their coordinator. The phases of a
    /// coordinator advance in one direction under one fencing token, so such a reply can never have an effect later.
    fn settled(mut self) -> Self {
        for (index, coordinator) in self.coordinators.iter().enumerate() {
            for order in coordinator.pending_orders() {
                let sent = InFlight {
                    coordinator: index,
                    rank: order.rank,
                    incarnation: 0,
                    body: order.order,
                };
                add(&mut self.orders, sent);
            }
        }
        let coordinators = &self.coordinators;
        self.replies.retain(|sent| {
            let mut updated = coordinators[sent.coordinator].clone();
            updated.handle_reply(sent.rank, &sent.body);
            updated != coordinators[sent.coordinator]
        });
        self
    }

    /// Returns every state that one event leads to, or an error if a step would run on two maps.
    fn successors(&self, bug: InjectedBug) -> Result<Vec<Self>, String> {
        let mut next = self.failure_successors();
        next.extend(self.normal_successors(bug)?);
        Ok(next)
    }

    /// Returns the states after a failure: a coordinator aborts, another one takes over, or a rank is replaced.
    fn failure_successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.coordinators.len() {
            let mut aborted = self.clone();
            if aborted.coordinators[index].abort() {
                next.push(aborted);
            }
        }
        if self.coordinators.len() == 1 {
            let mut world = self.clone();
            // Higher than any token that the first coordinator reaches with its own attempts.
            let successor = fencing_token::FencingToken { count: 9, holder: 1 };
            world
                .coordinators
                .push(coordinator::Coordinator::take_over(successor, RANKS));
            next.push(world);
        }
        if self.replacements > 0 {
            next.push(self.replace(0));
        }
        next
    }

    /// Returns the states after an event that is not a failure.
    fn normal_successors(&self, bug: InjectedBug) -> Result<Vec<Self>, String> {
        let mut next = Vec::new();
        self.step_group(&mut next)?;
        for index in 0..self.coordinators.len() {
            let mut armed = self.clone();
            if armed.coordinators[index].arm_at(FIRST_ARM_STEP.max(step::Step(self.step))) {
                next.push(armed);
            }
        }
        for sent in &self.orders {
            next.push(self.deliver_order(sent, bug));
        }
        for sent in &self.replies {
            next.push(self.deliver_reply(sent));
        }
        self.inject(bug, &mut next);
        Ok(next)
    }

    fn step_group(&self, next: &mut Vec<Self>) -> Result<(), String> {
        if self.step >= STEPS {
            return Ok(());
        }
        let maps: Vec<rank::StepPermission> = self.ranks.iter().map(rank::Rank::step_permission).collect();
        if maps.contains(&rank::StepPermission::Blocked) {
            return Ok(());
        }
        if maps.iter().any(|map| *map != maps[0]) {
            return Err(format!("step {} would run on {maps:?}", self.step));
        }
        let mut world = self.clone();
        world.step += 1;
        world.ranks.iter_mut().for_each(rank::Rank::record_step_start);
        next.push(world);
        Ok(())
    }

    fn deliver_order(&self, sent: &InFlight<order::Order>, bug: InjectedBug) -> Self {
        let mut world = self.clone();
        // A message to an earlier incarnation of the rank reaches the current one, which listens at the same address.
        let mut order = sent.body.clone();
        if bug == InjectedBug::AcceptStaleToken {
            order.fencing = order.fencing.max(self.ranks[sent.rank].promised());
        }
        let rank = &mut world.ranks[sent.rank];
        let mut reply = rank.handle_order(&order);
        reply.fencing = sent.body.fencing;
        if let Some(version) = rank.pending_load() {
            rank.record_loaded(version);
        }
        let reply = InFlight {
            coordinator: sent.coordinator,
            rank: sent.rank,
            incarnation: world.incarnations[sent.rank],
            body: reply,
        };
        add(&mut world.replies, reply);
        world
    }

    fn deliver_reply(&self, sent: &InFlight<reply::Reply>) -> Self {
        let mut world = self.clone();
        world.coordinators[sent.coordinator].handle_reply(sent.rank, &sent.body);
        world
    }

    fn replace(&self, rank: usize) -> Self {
        let mut world = self.clone();
        world.ranks[rank] = rank::Rank::uninitialized();
        world.incarnations[rank] += 1;
        world.replacements -= 1;
        world
    }

    fn inject(&self, bug: InjectedBug, next: &mut Vec<Self>) {
        let last = RANKS - 1;
        let forged = |index: usize, body: reply::ReplyBody| InFlight {
            coordinator: index,
            rank: last,
            incarnation: 0,
            body: reply::Reply {
                fencing: self.coordinators[index].fencing(),
                body,
            },
        };
        match (
            bug,
            self.coordinators[0].phase(),
            self.coordinators.get(1).map(coordinator::Coordinator::phase),
        ) {
            (InjectedBug::CommitBeforeAllArmed, coordinator::Phase::Arming { activation, .. }, _) => {
                let rank_state::MapActivation { version, at } = *activation;
                next.push(self.deliver_reply(&forged(0, reply::ReplyBody::Armed { version, at })));
            }
            (InjectedBug::SkipOnePromise, _, Some(coordinator::Phase::Recovering(_))) => {
                let state = rank_state::RankState {
                    in_force: Some(OLD_MAP),
                    ..rank_state::RankState::default()
                };
                next.push(self.deliver_reply(&forged(1, reply::ReplyBody::Promised(state))));
            }
            _ => {}
        }
    }

    fn has_switched(&self) -> bool {
        self.ranks.iter().all(|rank| rank.state().in_force == Some(NEW_MAP))
    }
}

/// The result of an exploration.
#[derive(Debug, Default)]
struct Exploration {
    states: usize,
    /// Whether every reachable state was explored.
    is_exhaustive: bool,
    switched: bool,
    violation: Option<String>,
}

fn explore(replacements: u8, bug: InjectedBug, max_states: usize) -> Exploration {
    let start = World::new(replacements);
    let mut visited = HashSet::from([fingerprint(&start)]);
    let mut queue = std::collections::VecDeque::from([start]);
    let mut result = Exploration::default();
    while let Some(world) = queue.pop_front() {
        result.states += 1;
        result.switched |= world.has_switched();
        if result.states >= max_states {
            return result;
        }
        match world.successors(bug) {
            Ok(successors) => {
                for next in successors.into_iter().map(World::settled) {
                    if visited.insert(fingerprint(&next)) {
                        queue.push_back(next);
                    }
                }
            }
            Err(violation) => {
                result.violation = Some(violation);
                return result;
            }
        }
    }
    result.is_exhaustive = true;
    result
}

fn fingerprint(world: &World) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Runs one seeded random walk.
fn walk(seed: u64, replacements: u8, bug: InjectedBug) -> Exploration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(replacements).settled();
    let mut result = Exploration::default();
    for _ in 0..WALK_EVENTS {
        result.states += 1;
        result.switched |= world.has_switched();
        let is_failure = rng.random_bool(FAILURE_PROBABILITY);
        let successors = if is_failure {
            Ok(world.failure_successors())
        } else {
            world.normal_successors(bug)
        };
        match successors {
            Ok(mut successors) if !successors.is_empty() => {
                let chosen = rng.random_range(0..successors.len());
                world = successors.swap_remove(chosen).settled();
            }
            Ok(_) => {}
            Err(violation) => {
                result.violation = Some(violation);
                break;
            }
        }
    }
    result
}

#[rstest]
#[case::no_replacement(0)]
#[case::one_replacement(1)]
fn every_step_near_the_initial_state_runs_on_one_map(#[case] replacements: u8) {
    let result = explore(replacements, InjectedBug::None, BFS_STATES);
    println!("{replacements} replacements: {result:?}");
    assert_eq!(result.violation, None);
}

#[rstest]
#[case::no_replacement(0)]
#[case::one_replacement(1)]
fn every_step_of_random_walks_runs_on_one_map(#[case] replacements: u8) {
    let mut switched = 0;
    for seed in 0..WALKS {
        let result = walk(seed, replacements, InjectedBug::None);
        assert_eq!(result.violation, None, "seed {seed}");
        switched += u64::from(result.switched);
    }
    println!("{replacements} replacements: {switched} of {WALKS} walks reach the new map");
    assert!(switched > WALKS / 100, "only {switched} walks reach the new map");
}

#[rstest]
#[case(InjectedBug::CommitBeforeAllArmed)]
#[case(InjectedBug::AcceptStaleToken)]
#[case(InjectedBug::SkipOnePromise)]
fn injected_bugs_are_detected(#[case] bug: InjectedBug) {
    let detected_by = (0..WALKS).find(|seed| walk(*seed, 0, bug).violation.is_some());
    println!("{bug:?}: detected by walk {detected_by:?}");
    assert!(detected_by.is_some(), "{bug:?} is not detected");
}

#[test]
fn no_step_is_blocked_without_failures() {
    let mut ranks = vec![rank::Rank::new(OLD_MAP); RANKS];
    let mut coordinator =
        coordinator::Coordinator::take_over(fencing_token::FencingToken { count: 1, holder: 0 }, RANKS);
    let mut blocked_steps = 0;
    for step in 0..20_u64 {
        for order in coordinator.pending_orders() {
            let rank = &mut ranks[order.rank];
            let reply = rank.handle_order(&order.order);
            if let Some(version) = rank.pending_load() {
                rank.record_loaded(version);
            }
            coordinator.handle_reply(order.rank, &reply);
            assert!(!matches!(order.order.body, order::OrderBody::Disarm) || step < 3);
        }
        match coordinator.phase() {
            coordinator::Phase::Idle if step < 5 => assert!(coordinator.propose(NEW_MAP)),
            // Two steps for arming and two for the commits.
            coordinator::Phase::Prepared(_) => assert!(coordinator.arm_at(step::Step(step + 4))),
            _ => {}
        }
        let maps: Vec<rank::StepPermission> = ranks.iter().map(rank::Rank::step_permission).collect();
        blocked_steps += usize::from(maps.contains(&rank::StepPermission::Blocked));
        assert!(maps.iter().all(|map| *map == maps[0]));
        ranks.iter_mut().for_each(rank::Rank::record_step_start);
    }
    assert_eq!(blocked_steps, 0, "steps blocked");
    assert!(ranks.iter().all(|rank| rank.state().in_force == Some(NEW_MAP)));
}
