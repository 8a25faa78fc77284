//! Model test of the held switch: every pass runs on one map on all ranks, despite delayed and lost orders, stale
//! views, loss of coordinators and changes of the group's membership.
//!
//! Random walks explore a model of the ranks. Orders arrive immediately, late or never. Delayed orders are executed
//! after newer ones and without a check of the leadership number, because ranks are not known to repeat that check
//! at execution. Two coordinators act on views of different age. The number of accepted orders never changes, as on
//! ranks that do not count these orders, so the protocol must not depend on it.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_expert_map::held_switch::{
    self, LostCoordinator, MapActivation, Order, PendingOrder, RankView, TargetMap,
};

const RANKS: usize = 4;
/// Number of events in a random walk.
const WALK_EVENTS: usize = 400;

#[derive(Debug, Clone, Copy)]
struct Rank {
    view: RankView,
    /// The highest version that this rank has prepared.
    highest_prepared: u64,
    /// The highest leadership number that this rank has seen.
    number: u64,
}

/// A bug injected into a coordinator, which the test has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// Arms ranks without a hold.
    ArmWithoutHold,
    /// Releases the hold when all but one rank are armed.
    ReleaseBeforeAllArmed,
    /// Releases a hold when no rank appears to be armed.
    ReleaseUnarmed,
    /// Orders a hold of another pass while an earlier order may still arrive.
    HoldSecondPass,
    /// Disarms an activation although all ranks may still be armed for it.
    DisarmLiveActivation,
    /// Arms its own rank together with the others, although its successor relies on it being the last.
    ArmOwnRankEarly,
    /// Treats orders as executed once they are sent.
    AssumeOrdersExecuted,
    /// Orders a hold of a pass that has already started elsewhere, and treats the refusal as a hold.
    TreatRefusalAsHold,
}

struct Coordinator {
    number: u64,
    views: Vec<Option<RankView>>,
    target: Option<TargetMap>,
    planned: u64,
    /// The last pass that this coordinator ordered to be held.
    ordered_hold: Option<u64>,
    /// The last pass that this coordinator ordered to be released.
    ordered_release: Option<u64>,
    bug: InjectedBug,
    /// The leadership number of another coordinator and the last pass that it announced to hold.
    announced_hold: Option<(u64, u64)>,
}

struct World {
    ranks: Vec<Rank>,
    pass: u64,
    delayed: Vec<(PendingOrder, u64)>,
    switches: u64,
    has_violation: bool,
}

impl World {
    fn new() -> Self {
        let view = RankView {
            epoch: 1,
            is_open: true,
            pass: 0,
            in_force: 0,
            prepared: None,
            armed: None,
            held: None,
            sequence: 0,
        };
        let rank = Rank {
            view,
            highest_prepared: 0,
            number: 0,
        };
        Self {
            ranks: vec![rank; RANKS],
            pass: 0,
            delayed: Vec::new(),
            switches: 0,
            has_violation: false,
        }
    }

    fn start_pass(&mut self) {
        let next = self.pass + 1;
        if self.ranks.iter().any(|r| r.view.held == Some(next)) {
            return;
        }
        self.pass = next;
        for rank in &mut self.ranks {
            rank.view.pass = next;
            if let Some(activation) = rank.view.armed.filter(|activation| activation.pass == next) {
                rank.view.in_force = activation.version;
                rank.view.armed = None;
                rank.view.prepared = None;
                self.switches += 1;
            }
        }
        let first = self.ranks[0].view.in_force;
        self.has_violation |= self.ranks.iter().any(|r| r.view.in_force != first);
    }

    fn new_epoch(&mut self) {
        for rank in &mut self.ranks {
            rank.view.epoch += 1;
            rank.view.in_force = 0;
            rank.view.prepared = None;
            rank.view.armed = None;
            rank.view.held = None;
        }
    }

    /// Executes an order, or returns `false` if a rank would refuse it.
    fn execute(&mut self, pending: PendingOrder) -> bool {
        let pass = self.pass;
        let rank = &mut self.ranks[pending.rank];
        if pending.epoch != 0 && pending.epoch != rank.view.epoch {
            return false;
        }
        match pending.order {
            Order::Prepare(version) if version > rank.highest_prepared && rank.view.armed.is_none() => {
                rank.highest_prepared = version;
                rank.view.prepared = Some(version);
            }
            Order::Hold(at) if at > pass => rank.view.held = Some(at),
            Order::Arm(activation) if rank.view.prepared == Some(activation.version) && activation.pass > pass => {
                rank.view.armed = Some(activation);
            }
            Order::Disarm(version) if rank.view.armed.is_some_and(|activation| activation.version == version) => {
                rank.view.armed = None;
            }
            Order::Release(at) if rank.view.held == Some(at) => rank.view.held = None,
            _ => return false,
        }
        true
    }
}

impl Coordinator {
    fn new(number: u64, bug: InjectedBug) -> Self {
        Self {
            number,
            views: vec![None; RANKS],
            target: None,
            planned: 0,
            ordered_hold: None,
            ordered_release: None,
            bug,
            announced_hold: None,
        }
    }

    fn own_rank(&self) -> usize {
        self.number as usize
    }

    /// Returns the announced hold of an earlier coordinator whose rank is unreachable.
    fn lost_coordinator(&self) -> Option<LostCoordinator> {
        let (number, pass) = self.announced_hold?;
        let rank = number as usize;
        let is_unreachable = number < self.number && self.views[rank].is_none();
        is_unreachable.then_some(LostCoordinator {
            rank,
            holder: (rank + 1) % RANKS,
            pass,
            versions_below: (number + 1) * 1_000,
        })
    }

    fn refresh_target(&mut self) {
        let views: Vec<RankView> = self.views.iter().copied().flatten().collect();
        if views.len() + 1 < RANKS {
            return;
        }
        let epoch = views[0].epoch;
        let is_reached = self
            .target
            .is_none_or(|t| t.epoch != epoch || views.iter().all(|v| v.in_force >= t.version));
        let known = self.views.clone();
        if is_reached || held_switch::needs_target(&known, self.target) {
            self.planned += 1;
            self.target = Some(TargetMap {
                version: self.number * 1_000 + self.planned,
                epoch,
                holder: (self.own_rank() + 1) % RANKS,
                own_rank: if self.bug == InjectedBug::ArmOwnRankEarly {
                    RANKS
                } else {
                    self.own_rank()
                },
                pass: 0,
                armed_for: None,
                released: None,
            });
        }
        if let Some(target) = &mut self.target {
            let last_ordered = self.ordered_hold.filter(|_| self.bug != InjectedBug::HoldSecondPass);
            target.released = self.ordered_release;
            target.pass = held_switch::hold_pass(&known, last_ordered, 2);
        }
    }

    /// Returns the orders to send, as modified by the injected bug.
    fn orders(&mut self) -> Vec<PendingOrder> {
        self.refresh_target();
        let mut pending = held_switch::pending_orders(&self.views, self.target, self.lost_coordinator());
        let held = pending.iter().find_map(|d| match d.order {
            Order::Hold(pass) => Some(pass),
            _ => None,
        });
        self.ordered_hold = held.or(self.ordered_hold);
        let released = pending.iter().find_map(|d| match d.order {
            Order::Release(pass) => Some(pass),
            _ => None,
        });
        self.ordered_release = released.max(self.ordered_release);
        let armed = pending.iter().find_map(|d| match d.order {
            Order::Arm(activation) => Some(activation.pass),
            _ => None,
        });
        if let Some(target) = &mut self.target {
            target.armed_for = armed.or(target.armed_for);
        }
        let views: Vec<RankView> = self.views.iter().copied().flatten().collect();
        if views.len() < RANKS {
            return pending;
        }
        let pass = views.iter().map(|v| v.pass).max().unwrap_or_default();
        let held = views.iter().filter_map(|v| v.held).min();
        let holder = views.iter().position(|v| v.held == held).unwrap_or_default();
        let release = |pass: u64| PendingOrder {
            rank: holder,
            order: Order::Release(pass),
            epoch: views[0].epoch,
            sequence: 0,
        };
        match self.bug {
            InjectedBug::ArmWithoutHold | InjectedBug::TreatRefusalAsHold => {
                if let Some(PendingOrder {
                    order: Order::Hold(at),
                    epoch,
                    ..
                }) = pending.first().copied()
                {
                    let version = self.target.map_or(0, |t| t.version);
                    let at = if self.bug == InjectedBug::ArmWithoutHold {
                        at
                    } else {
                        pass + 1
                    };
                    let activation = MapActivation { version, pass: at };
                    pending = (0..RANKS)
                        .map(|rank| PendingOrder {
                            rank,
                            order: Order::Arm(activation),
                            epoch,
                            sequence: 0,
                        })
                        .collect();
                }
            }
            InjectedBug::ReleaseBeforeAllArmed => {
                if let Some(at) = held.filter(|_| views.iter().filter(|v| v.armed.is_some()).count() + 1 >= RANKS) {
                    pending.push(release(at));
                }
            }
            InjectedBug::ReleaseUnarmed => {
                if let Some(at) = held.filter(|_| views.iter().all(|v| v.armed.is_none())) {
                    pending.push(release(at));
                }
            }
            InjectedBug::DisarmLiveActivation => {
                let armed = views
                    .iter()
                    .enumerate()
                    .filter_map(|(rank, v)| v.armed.map(|activation| (rank, activation)));
                pending.extend(armed.map(|(rank, activation)| PendingOrder {
                    order: Order::Disarm(activation.version),
                    rank,
                    ..release(activation.pass)
                }));
            }
            InjectedBug::AssumeOrdersExecuted => {
                let arming = pending.iter().any(|d| matches!(d.order, Order::Arm(_)));
                if let Some(at) = held.filter(|_| arming) {
                    pending.push(release(at));
                }
            }
            InjectedBug::None | InjectedBug::HoldSecondPass | InjectedBug::ArmOwnRankEarly => {}
        }
        pending
    }
}

/// Runs a random walk. Returns whether any pass ran on two maps, and the number of completed switches.
fn walk(seed: u64, bug: InjectedBug) -> (bool, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new();
    let mut coordinators = [Coordinator::new(1, bug), Coordinator::new(2, bug)];
    let second_start = rng.random_range(0..WALK_EVENTS);
    // Coordinator whose instance is frozen: it sends no orders, and its rank does not reply.
    let mut frozen: Option<usize> = None;
    for event in 0..WALK_EVENTS {
        let active = usize::from(event > second_start && rng.random::<f64>() < 0.7);
        let silent_rank = frozen.map(|f| coordinators[f].own_rank());
        match rng.random_range(0..100) {
            _ if frozen == Some(active) => {}
            0..45 => {
                let rank = rng.random_range(0..RANKS);
                if silent_rank != Some(rank) {
                    coordinators[active].views[rank] = Some(world.ranks[rank].view);
                }
            }
            45..75 => {
                let number = coordinators[active].number;
                let orders = coordinators[active].orders();
                let announced = orders.iter().find_map(|d| match d.order {
                    Order::Hold(pass) => Some((number, pass)),
                    _ => None,
                });
                if announced.is_some() && rng.random::<f64>() < 0.9 {
                    coordinators[1 - active].announced_hold = announced;
                }
                for pending in orders {
                    match rng.random_range(0..10) {
                        0 => {}
                        1 => world.delayed.push((pending, number)),
                        _ if silent_rank == Some(pending.rank) => world.delayed.push((pending, number)),
                        _ => {
                            let rank = &mut world.ranks[pending.rank];
                            if number >= rank.number {
                                rank.number = number;
                                world.execute(pending);
                            }
                        }
                    }
                }
            }
            75..85 => {
                if !world.delayed.is_empty() {
                    let at = rng.random_range(0..world.delayed.len());
                    let (pending, _) = world.delayed.swap_remove(at);
                    world.execute(pending);
                }
            }
            85..97 => world.start_pass(),
            97 => {
                frozen = match frozen {
                    None => Some(rng.random_range(0..2)),
                    Some(_) => None,
                };
                if let Some(f) = frozen {
                    let own = coordinators[f].own_rank();
                    coordinators[1 - f].views[own] = None;
                }
            }
            98 => {
                if rng.random::<f64>() < 0.3 {
                    world.new_epoch();
                }
            }
            _ => coordinators[active].views = vec![None; RANKS],
        }
        // A frozen instance resumes eventually.
        if frozen == Some(active) && rng.random::<f64>() < 0.03 {
            frozen = None;
        }
    }
    (world.has_violation, world.switches / RANKS as u64)
}

/// Number of walks per test.
const WALKS: u64 = 6_000;

#[test]
fn no_pass_begins_on_two_maps() {
    let mut switches = 0;
    for seed in 0..WALKS {
        let (has_violation, completed) = walk(seed, InjectedBug::None);
        assert!(!has_violation, "seed {seed}: a pass ran on two maps");
        switches += completed;
    }
    println!("{switches} switches completed in {WALKS} walks");
    assert!(switches > WALKS, "too few switches: {switches}");
}

#[rstest]
fn injected_bugs_are_detected(
    #[values(
        InjectedBug::ArmWithoutHold,
        InjectedBug::ReleaseBeforeAllArmed,
        InjectedBug::ReleaseUnarmed,
        InjectedBug::HoldSecondPass,
        InjectedBug::DisarmLiveActivation,
        InjectedBug::ArmOwnRankEarly,
        InjectedBug::AssumeOrdersExecuted,
        InjectedBug::TreatRefusalAsHold
    )]
    bug: InjectedBug,
) {
    let detected_by = (0..WALKS).find(|seed| walk(*seed, bug).0);
    assert!(detected_by.is_some(), "{bug:?} was not detected in {WALKS} walks");
    println!("{bug:?} detected by seed {detected_by:?}");
}

#[test]
fn any_successor_finishes_an_interrupted_switch() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new();
        let mut first = Coordinator::new(1, InjectedBug::None);
        // The first coordinator is lost at a random point of its switch.
        for _ in 0..rng.random_range(1..12) {
            first.views = world.ranks.iter().map(|r| Some(r.view)).collect();
            for pending in first.orders() {
                if rng.random::<f64>() < 0.7 {
                    world.execute(pending);
                }
            }
            if rng.random::<f64>() < 0.5 {
                world.start_pass();
            }
        }
        let mut second = Coordinator::new(2, InjectedBug::None);
        for _ in 0..12 {
            second.views = world.ranks.iter().map(|r| Some(r.view)).collect();
            for pending in second.orders() {
                world.execute(pending);
            }
        }
        let pass = world.pass;
        for _ in 0..8 {
            world.start_pass();
            second.views = world.ranks.iter().map(|r| Some(r.view)).collect();
            for pending in second.orders() {
                world.execute(pending);
            }
        }
        assert!(world.pass > pass, "seed {seed}: the group makes no progress");
        assert!(!world.has_violation, "seed {seed}");
    }
}

#[test]
fn a_hold_of_a_frozen_coordinator_is_released_without_its_rank() {
    let mut world = World::new();
    let mut first = Coordinator::new(1, InjectedBug::None);
    // The first coordinator runs until its hold is in place, and then its instance freezes.
    while world.ranks.iter().all(|r| r.view.held.is_none()) {
        first.views = world.ranks.iter().map(|r| Some(r.view)).collect();
        for pending in first.orders() {
            world.execute(pending);
        }
    }
    let mut second = Coordinator::new(2, InjectedBug::None);
    second.announced_hold = first.ordered_hold.map(|pass| (1, pass));
    for _ in 0..8 {
        second.views = world.ranks.iter().map(|r| Some(r.view)).collect();
        second.views[first.own_rank()] = None;
        for pending in second.orders() {
            assert_ne!(pending.rank, first.own_rank());
            world.execute(pending);
        }
    }
    let pass = world.pass;
    for _ in 0..4 {
        world.start_pass();
    }
    assert_eq!(world.pass, pass + 4, "the group makes no progress");
    assert!(!world.has_violation);
    // The first coordinator resumes and acts on its outdated views.
    for pending in first.orders() {
        world.execute(pending);
    }
    for _ in 0..4 {
        world.start_pass();
    }
    assert!(!world.has_violation);
}

/// Log lines of the map agent contain the debug text of orders, so this text must stay the same.
#[rstest]
#[case(Order::Prepare(1), "Prepare(1)")]
#[case(Order::Hold(2), "Hold(2)")]
#[case(Order::Arm(MapActivation { version: 1, pass: 2 }), "Arm(Turn { version: 1, pass: 2 })")]
#[case(Order::Disarm(1), "Disarm(1)")]
#[case(Order::Release(2), "Release(2)")]
fn debug_text_of_orders_is_stable(#[case] order: Order, #[case] expected: &str) {
    assert_eq!(format!("{order:?}"), expected);
}
