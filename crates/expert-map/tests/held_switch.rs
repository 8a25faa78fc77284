//! One map in every pass, whatever becomes of orders, views, coordinators and the group's membership.
//!
//! A model of a group's ranks is walked at random. Orders arrive at once, late or never; late ones are carried out after
//! newer ones and without a look at the coordinator's number, since it is not known whether ranks look again. Two
//! coordinators act on views of different age. The number of accepted orders never moves, as on ranks that do not count
//! these orders, so nothing rests on it.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_expert_map::held_switch::{
    self, LostCoordinator, MapActivation, Order, PendingOrder, RankView, TargetMap,
};

const RANKS: usize = 4;
const STEPS: usize = 400;

#[derive(Debug, Clone, Copy)]
struct Rank {
    view: RankView,
    /// Highest version that it ever prepared.
    highest_prepared: u64,
    /// Highest coordinator's number seen.
    number: u64,
}

/// A fault planted in a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// Arms without a hold.
    ArmWithoutHold,
    /// Releases when most ranks are armed.
    ReleaseBeforeAllArmed,
    /// Releases a hold for which nothing seems to be armed.
    ReleaseUnarmed,
    /// Orders another pass to be held while an earlier order may still come.
    HoldSecondPass,
    /// Takes back what is armed though all ranks may still be armed for it.
    DisarmLiveActivation,
    /// Arms its own rank with the others, while another one relies on its being last.
    ArmOwnRankEarly,
    /// Takes what was ordered for done.
    AssumeOrdersExecuted,
    /// Holds a pass that has begun elsewhere, and takes the refusal for a hold.
    TreatRefusalAsHold,
}

struct Coordinator {
    number: u64,
    views: Vec<Option<RankView>>,
    target: Option<TargetMap>,
    planned: u64,
    /// The last pass that it ordered to be held.
    held: Option<u64>,
    /// The last pass that it ordered to be released.
    released: Option<u64>,
    bug: InjectedBug,
    /// Number of another coordinator and the pass that it announced to hold last.
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

    fn begin_pass(&mut self) {
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

    /// Carries an order out, or refuses it as a rank would.
    fn execute(&mut self, due: PendingOrder) -> bool {
        let pass = self.pass;
        let rank = &mut self.ranks[due.rank];
        if due.epoch != 0 && due.epoch != rank.view.epoch {
            return false;
        }
        match due.order {
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
            held: None,
            released: None,
            bug,
            announced_hold: None,
        }
    }

    fn own(&self) -> usize {
        self.number as usize
    }

    /// What it heard of an older coordinator, if that one's rank is silent.
    fn lost_coordinator(&self) -> Option<LostCoordinator> {
        let (number, pass) = self.announced_hold?;
        let rank = number as usize;
        let silent = number < self.number && self.views[rank].is_none();
        silent.then_some(LostCoordinator {
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
        let reached = self
            .target
            .is_none_or(|g| g.epoch != epoch || views.iter().all(|v| v.in_force >= g.version));
        let known = self.views.clone();
        if reached || held_switch::needs_target(&known, self.target) {
            self.planned += 1;
            self.target = Some(TargetMap {
                version: self.number * 1_000 + self.planned,
                epoch,
                holder: (self.own() + 1) % RANKS,
                own_rank: if self.bug == InjectedBug::ArmOwnRankEarly {
                    RANKS
                } else {
                    self.own()
                },
                pass: 0,
                armed_for: None,
                released: None,
            });
        }
        if let Some(target) = &mut self.target {
            let last_ordered = self.held.filter(|_| self.bug != InjectedBug::HoldSecondPass);
            target.released = self.released;
            target.pass = held_switch::hold_pass(&known, last_ordered, 2);
        }
    }

    /// Orders, bent by the planted fault.
    fn orders(&mut self) -> Vec<PendingOrder> {
        self.refresh_target();
        let mut due = held_switch::pending_orders(&self.views, self.target, self.lost_coordinator());
        let held = due.iter().find_map(|d| match d.order {
            Order::Hold(pass) => Some(pass),
            _ => None,
        });
        self.held = held.or(self.held);
        let released = due.iter().find_map(|d| match d.order {
            Order::Release(pass) => Some(pass),
            _ => None,
        });
        self.released = released.max(self.released);
        let armed = due.iter().find_map(|d| match d.order {
            Order::Arm(activation) => Some(activation.pass),
            _ => None,
        });
        if let Some(target) = &mut self.target {
            target.armed_for = armed.or(target.armed_for);
        }
        let views: Vec<RankView> = self.views.iter().copied().flatten().collect();
        if views.len() < RANKS {
            return due;
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
                }) = due.first().copied()
                {
                    let version = self.target.map_or(0, |g| g.version);
                    let at = if self.bug == InjectedBug::ArmWithoutHold {
                        at
                    } else {
                        pass + 1
                    };
                    let activation = MapActivation { version, pass: at };
                    due = (0..RANKS)
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
                    due.push(release(at));
                }
            }
            InjectedBug::ReleaseUnarmed => {
                if let Some(at) = held.filter(|_| views.iter().all(|v| v.armed.is_none())) {
                    due.push(release(at));
                }
            }
            InjectedBug::DisarmLiveActivation => {
                let armed = views
                    .iter()
                    .enumerate()
                    .filter_map(|(rank, v)| v.armed.map(|activation| (rank, activation)));
                due.extend(armed.map(|(rank, activation)| PendingOrder {
                    order: Order::Disarm(activation.version),
                    rank,
                    ..release(activation.pass)
                }));
            }
            InjectedBug::AssumeOrdersExecuted => {
                let arming = due.iter().any(|d| matches!(d.order, Order::Arm(_)));
                if let Some(at) = held.filter(|_| arming) {
                    due.push(release(at));
                }
            }
            InjectedBug::None | InjectedBug::HoldSecondPass | InjectedBug::ArmOwnRankEarly => {}
        }
        due
    }
}

/// Walks the model; gives back whether a pass began on two maps, and how many maps came into force.
fn walk(seed: u64, bug: InjectedBug) -> (bool, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new();
    let mut coordinators = [Coordinator::new(1, bug), Coordinator::new(2, bug)];
    let second = rng.random_range(0..STEPS);
    // Coordinator whose instance is frozen: it does nothing, and its rank answers nobody.
    let mut frozen: Option<usize> = None;
    for step in 0..STEPS {
        let active = usize::from(step > second && rng.random::<f64>() < 0.7);
        let silent = frozen.map(|f| coordinators[f].own());
        match rng.random_range(0..100) {
            _ if frozen == Some(active) => {}
            0..45 => {
                let rank = rng.random_range(0..RANKS);
                if silent != Some(rank) {
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
                for due in orders {
                    match rng.random_range(0..10) {
                        0 => {}
                        1 => world.delayed.push((due, number)),
                        _ if silent == Some(due.rank) => world.delayed.push((due, number)),
                        _ => {
                            let rank = &mut world.ranks[due.rank];
                            if number >= rank.number {
                                rank.number = number;
                                world.execute(due);
                            }
                        }
                    }
                }
            }
            75..85 => {
                if !world.delayed.is_empty() {
                    let at = rng.random_range(0..world.delayed.len());
                    let (due, _) = world.delayed.swap_remove(at);
                    world.execute(due);
                }
            }
            85..97 => world.begin_pass(),
            97 => {
                frozen = match frozen {
                    None => Some(rng.random_range(0..2)),
                    Some(_) => None,
                };
                if let Some(f) = frozen {
                    let own = coordinators[f].own();
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
        // A frozen instance thaws some time, whoever's turn it is.
        if frozen == Some(active) && rng.random::<f64>() < 0.03 {
            frozen = None;
        }
    }
    (world.has_violation, world.switches / RANKS as u64)
}

/// Walks in a test of one fault.
const WALKS: u64 = 6_000;

#[test]
fn no_pass_begins_on_two_maps() {
    let mut switches = 0;
    for seed in 0..WALKS {
        let (has_violation, completed) = walk(seed, InjectedBug::None);
        assert!(!has_violation, "seed {seed}: a pass began on two maps");
        switches += completed;
    }
    println!("{switches} maps came into force in {WALKS} walks");
    assert!(switches > WALKS, "the walks hardly switch: {switches}");
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
        // The first coordinator is lost at some point of its switch.
        for _ in 0..rng.random_range(1..12) {
            first.views = world.ranks.iter().map(|r| Some(r.view)).collect();
            for due in first.orders() {
                if rng.random::<f64>() < 0.7 {
                    world.execute(due);
                }
            }
            if rng.random::<f64>() < 0.5 {
                world.begin_pass();
            }
        }
        let mut second = Coordinator::new(2, InjectedBug::None);
        for _ in 0..12 {
            second.views = world.ranks.iter().map(|r| Some(r.view)).collect();
            for due in second.orders() {
                world.execute(due);
            }
        }
        let pass = world.pass;
        for _ in 0..8 {
            world.begin_pass();
            second.views = world.ranks.iter().map(|r| Some(r.view)).collect();
            for due in second.orders() {
                world.execute(due);
            }
        }
        assert!(world.pass > pass, "seed {seed}: the group stands still");
        assert!(!world.has_violation, "seed {seed}");
    }
}

#[test]
fn a_hold_of_a_frozen_coordinator_is_released_without_its_rank() {
    let mut world = World::new();
    let mut first = Coordinator::new(1, InjectedBug::None);
    // Until its hold is in place; then its instance freezes.
    while world.ranks.iter().all(|r| r.view.held.is_none()) {
        first.views = world.ranks.iter().map(|r| Some(r.view)).collect();
        for due in first.orders() {
            world.execute(due);
        }
    }
    let mut second = Coordinator::new(2, InjectedBug::None);
    second.announced_hold = first.held.map(|pass| (1, pass));
    for _ in 0..8 {
        second.views = world.ranks.iter().map(|r| Some(r.view)).collect();
        second.views[first.own()] = None;
        for due in second.orders() {
            assert_ne!(due.rank, first.own());
            world.execute(due);
        }
    }
    let pass = world.pass;
    for _ in 0..4 {
        world.begin_pass();
    }
    assert_eq!(world.pass, pass + 4, "the group stands still");
    assert!(!world.has_violation);
    // The first one thaws with its old views.
    for due in first.orders() {
        world.execute(due);
    }
    for _ in 0..4 {
        world.begin_pass();
    }
    assert!(!world.has_violation);
}

/// Log lines of the map agent contain the debug text of orders, so it must not change with the names of types.
#[rstest]
#[case(Order::Prepare(1), "Prepare(1)")]
#[case(Order::Hold(2), "Hold(2)")]
#[case(Order::Arm(MapActivation { version: 1, pass: 2 }), "Arm(Turn { version: 1, pass: 2 })")]
#[case(Order::Disarm(1), "Disarm(1)")]
#[case(Order::Release(2), "Release(2)")]
fn debug_text_of_orders_is_stable(#[case] order: Order, #[case] expected: &str) {
    assert_eq!(format!("{order:?}"), expected);
}
