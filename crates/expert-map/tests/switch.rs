//! Exploration of the map switch: 3 ranks, 2 coordinators, one replaced rank.
//!
//! The first states in breadth are looked at one by one, and long seeded walks go where that does not reach.
//!
//! Every order and answer that was ever sent stays deliverable, which covers loss, doubling, delay and reordering at
//! once. In each reachable state the group may try to begin a step; the check is that all ranks begin it on one map.

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
const OLD: version::Version = version::Version(1);
const NEW: version::Version = version::Version(2);
/// Steps that the group may take.
const STEPS: u64 = 2;
/// States looked at near the start.
const NEAR: usize = 20_000;
/// Seeded walks.
const WALKS: u64 = 4_000;
/// Events of a walk.
const EVENTS: usize = 150;
/// Share of events in which something goes wrong.
const RARE: f64 = 0.02;
/// Step at which the first coordinator arms.
const AT: step::Step = step::Step(1);

/// A fault planted into the exploration, which the check must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plant {
    Nothing,
    /// The coordinator takes one rank for armed that is not.
    CommitsBeforeAllAreArmed,
    /// Ranks obey orders under any number.
    StaleNumberIsObeyed,
    /// The successor does without the promise of one rank.
    SuccessorHearsAllButOne,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sent<T> {
    coordinator: usize,
    rank: usize,
    /// Process lifetime of the rank that the message belongs to.
    life: u8,
    body: T,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    ranks: Vec<rank::Rank>,
    /// Process lifetime of each rank.
    lives: Vec<u8>,
    coordinators: Vec<coordinator::Coordinator>,
    /// Every order that was ever sent, sorted.
    orders: Vec<Sent<order::Order>>,
    /// Answers that can still tell their coordinator something, sorted.
    answers: Vec<Sent<reply::Reply>>,
    step: u64,
    /// Ranks that may still be replaced.
    replacements: u8,
}

fn add<T>(sent: &mut Vec<Sent<T>>, item: Sent<T>)
where
    T: Ord,
{
    if let Err(at) = sent.binary_search(&item) {
        sent.insert(at, item);
    }
}

impl World {
    /// The first coordinator has all promises, and all ranks have loaded the new map.
    fn new(replacements: u8) -> Self {
        let first = fencing_token::FencingToken { count: 1, holder: 0 };
        let mut ranks = vec![rank::Rank::new(OLD); RANKS];
        let mut coordinator = coordinator::Coordinator::take_over(first, RANKS);
        while !matches!(coordinator.phase(), coordinator::Phase::Prepared(_)) {
            coordinator.propose(NEW);
            for due in coordinator.pending_orders() {
                let answer = ranks[due.rank].handle_order(&due.order);
                ranks[due.rank].record_loaded(NEW);
                coordinator.handle_reply(due.rank, &answer);
            }
        }
        Self {
            ranks,
            lives: vec![0; RANKS],
            coordinators: vec![coordinator],
            orders: Vec::new(),
            answers: Vec::new(),
            step: 0,
            replacements,
        }
    }

    /// Sends the orders that are due, and drops answers that tell their coordinator nothing. The phases of a
    /// coordinator under one number follow each other in one direction, so such an answer stays without effect.
    fn settled(mut self) -> Self {
        for (index, coordinator) in self.coordinators.iter().enumerate() {
            for due in coordinator.pending_orders() {
                let sent = Sent {
                    coordinator: index,
                    rank: due.rank,
                    life: 0,
                    body: due.order,
                };
                add(&mut self.orders, sent);
            }
        }
        let coordinators = &self.coordinators;
        self.answers.retain(|sent| {
            let mut heard = coordinators[sent.coordinator].clone();
            heard.handle_reply(sent.rank, &sent.body);
            heard != coordinators[sent.coordinator]
        });
        self
    }

    /// Every state that one event leads to; `Err` when a step would run on two maps.
    fn followers(&self, plant: Plant) -> Result<Vec<Self>, String> {
        let mut next = self.rare_followers();
        next.extend(self.usual_followers(plant)?);
        Ok(next)
    }

    /// States that follow when something goes wrong: a coordinator gives up, another takes over, a rank is replaced.
    fn rare_followers(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.coordinators.len() {
            let mut abandoned = self.clone();
            if abandoned.coordinators[index].abort() {
                next.push(abandoned);
            }
        }
        if self.coordinators.len() == 1 {
            let mut world = self.clone();
            // Far above what the first one reaches by its own attempts.
            let second = fencing_token::FencingToken { count: 9, holder: 1 };
            world
                .coordinators
                .push(coordinator::Coordinator::take_over(second, RANKS));
            next.push(world);
        }
        if self.replacements > 0 {
            next.push(self.replace(0));
        }
        next
    }

    /// States that follow in the ordinary course.
    fn usual_followers(&self, plant: Plant) -> Result<Vec<Self>, String> {
        let mut next = Vec::new();
        self.step_group(&mut next)?;
        for index in 0..self.coordinators.len() {
            let mut armed = self.clone();
            if armed.coordinators[index].arm_at(AT.max(step::Step(self.step))) {
                next.push(armed);
            }
        }
        for sent in &self.orders {
            next.push(self.deliver_order(sent, plant));
        }
        for sent in &self.answers {
            next.push(self.deliver_answer(sent));
        }
        self.plant(plant, &mut next);
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

    fn deliver_order(&self, sent: &Sent<order::Order>, plant: Plant) -> Self {
        let mut world = self.clone();
        // A message to an earlier process of the rank reaches the present one: it listens at the same address.
        let mut order = sent.body.clone();
        if plant == Plant::StaleNumberIsObeyed {
            order.fencing = order.fencing.max(self.ranks[sent.rank].promised());
        }
        let rank = &mut world.ranks[sent.rank];
        let mut answer = rank.handle_order(&order);
        answer.fencing = sent.body.fencing;
        if let Some(version) = rank.pending_load() {
            rank.record_loaded(version);
        }
        let answer = Sent {
            coordinator: sent.coordinator,
            rank: sent.rank,
            life: world.lives[sent.rank],
            body: answer,
        };
        add(&mut world.answers, answer);
        world
    }

    fn deliver_answer(&self, sent: &Sent<reply::Reply>) -> Self {
        let mut world = self.clone();
        world.coordinators[sent.coordinator].handle_reply(sent.rank, &sent.body);
        world
    }

    fn replace(&self, rank: usize) -> Self {
        let mut world = self.clone();
        world.ranks[rank] = rank::Rank::uninitialized();
        world.lives[rank] += 1;
        world.replacements -= 1;
        world
    }

    fn plant(&self, plant: Plant, next: &mut Vec<Self>) {
        let last = RANKS - 1;
        let forged = |index: usize, body: reply::ReplyBody| Sent {
            coordinator: index,
            rank: last,
            life: 0,
            body: reply::Reply {
                fencing: self.coordinators[index].fencing(),
                body,
            },
        };
        match (
            plant,
            self.coordinators[0].phase(),
            self.coordinators.get(1).map(coordinator::Coordinator::phase),
        ) {
            (Plant::CommitsBeforeAllAreArmed, coordinator::Phase::Arming { turn, .. }, _) => {
                let rank_state::MapActivation { version, at } = *turn;
                next.push(self.deliver_answer(&forged(0, reply::ReplyBody::Armed { version, at })));
            }
            (Plant::SuccessorHearsAllButOne, _, Some(coordinator::Phase::Recovering(_))) => {
                let state = rank_state::RankState {
                    in_force: Some(OLD),
                    ..rank_state::RankState::default()
                };
                next.push(self.deliver_answer(&forged(1, reply::ReplyBody::Promised(state))));
            }
            _ => {}
        }
    }

    fn has_switched(&self) -> bool {
        self.ranks.iter().all(|rank| rank.state().in_force == Some(NEW))
    }
}

/// What an exploration found.
#[derive(Debug, Default)]
struct Found {
    states: usize,
    /// Every reachable state was looked at.
    whole: bool,
    switched: bool,
    violation: Option<String>,
}

fn explore(replacements: u8, plant: Plant, most: usize) -> Found {
    let start = World::new(replacements);
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut open = std::collections::VecDeque::from([start]);
    let mut found = Found::default();
    while let Some(world) = open.pop_front() {
        found.states += 1;
        found.switched |= world.has_switched();
        if found.states >= most {
            return found;
        }
        match world.followers(plant) {
            Ok(followers) => {
                for next in followers.into_iter().map(World::settled) {
                    if seen.insert(fingerprint(&next)) {
                        open.push_back(next);
                    }
                }
            }
            Err(violation) => {
                found.violation = Some(violation);
                return found;
            }
        }
    }
    found.whole = true;
    found
}

fn fingerprint(world: &World) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// One seeded walk through the states.
fn walk(seed: u64, replacements: u8, plant: Plant) -> Found {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(replacements).settled();
    let mut found = Found::default();
    for _ in 0..EVENTS {
        found.states += 1;
        found.switched |= world.has_switched();
        let rare = rng.random_bool(RARE);
        let followers = if rare {
            Ok(world.rare_followers())
        } else {
            world.usual_followers(plant)
        };
        match followers {
            Ok(mut followers) if !followers.is_empty() => {
                let chosen = rng.random_range(0..followers.len());
                world = followers.swap_remove(chosen).settled();
            }
            Ok(_) => {}
            Err(violation) => {
                found.violation = Some(violation);
                break;
            }
        }
    }
    found
}

#[rstest]
#[case::no_replacement(0)]
#[case::one_replacement(1)]
fn every_step_near_the_start_runs_on_one_map(#[case] replacements: u8) {
    let found = explore(replacements, Plant::Nothing, NEAR);
    println!("{replacements} replacements: {found:?}");
    assert_eq!(found.violation, None);
}

#[rstest]
#[case::no_replacement(0)]
#[case::one_replacement(1)]
fn every_step_of_long_walks_runs_on_one_map(#[case] replacements: u8) {
    let mut switched = 0;
    for seed in 0..WALKS {
        let found = walk(seed, replacements, Plant::Nothing);
        assert_eq!(found.violation, None, "seed {seed}");
        switched += u64::from(found.switched);
    }
    println!("{replacements} replacements: {switched} of {WALKS} walks end on the new map");
    assert!(switched > WALKS / 100, "the switch is reached in {switched} walks");
}

#[rstest]
#[case(Plant::CommitsBeforeAllAreArmed)]
#[case(Plant::StaleNumberIsObeyed)]
#[case(Plant::SuccessorHearsAllButOne)]
fn a_planted_fault_is_caught(#[case] plant: Plant) {
    let caught = (0..WALKS).find(|seed| walk(*seed, 0, plant).violation.is_some());
    println!("{plant:?}: caught by walk {caught:?}");
    assert!(caught.is_some(), "{plant:?} goes unnoticed");
}

#[test]
fn in_the_ordinary_case_nobody_waits() {
    let mut ranks = vec![rank::Rank::new(OLD); RANKS];
    let mut coordinator =
        coordinator::Coordinator::take_over(fencing_token::FencingToken { count: 1, holder: 0 }, RANKS);
    let mut held = 0;
    for step in 0..20_u64 {
        for due in coordinator.pending_orders() {
            let rank = &mut ranks[due.rank];
            let answer = rank.handle_order(&due.order);
            if let Some(version) = rank.pending_load() {
                rank.record_loaded(version);
            }
            coordinator.handle_reply(due.rank, &answer);
            assert!(!matches!(due.order.body, order::OrderBody::Disarm) || step < 3);
        }
        match coordinator.phase() {
            coordinator::Phase::Idle if step < 5 => assert!(coordinator.propose(NEW)),
            // Two steps for the arming and two for the commits.
            coordinator::Phase::Prepared(_) => assert!(coordinator.arm_at(step::Step(step + 4))),
            _ => {}
        }
        let maps: Vec<rank::StepPermission> = ranks.iter().map(rank::Rank::step_permission).collect();
        held += usize::from(maps.contains(&rank::StepPermission::Blocked));
        assert!(maps.iter().all(|map| *map == maps[0]));
        ranks.iter_mut().for_each(rank::Rank::record_step_start);
    }
    assert_eq!(held, 0, "steps held");
    assert!(ranks.iter().all(|rank| rank.state().in_force == Some(NEW)));
}
