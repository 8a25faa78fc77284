//! Changing all ranks of a group to a new map while a hold keeps them from beginning the first pass on it.
//!
//! For engines that take orders and give no promise: an order without an answer may be carried out seconds later, after
//! newer ones. The order of things makes that harmless:
//!
//! 1. `Prepare` on every rank, until every report shows the copy complete.
//! 2. `Hold` of a pass that lies ahead, on one rank, until its report shows it. No pass from there on begins.
//! 3. `Arm` for that pass on every rank, until every report shows it.
//! 4. `Release`, and only now: every rank begins the pass on the new map. An `Arm` that comes later is refused, since
//!    its pass has begun.
//!
//! A hold is never just taken back: an `Arm` may be on its way. Whoever finds a hold finishes what it was for; the orders
//! are the same whoever gives them, so two coordinators can't do each other harm. A group whose membership changes forgets everything by itself and
//! starts in a new epoch, whose number is part of every order.
//!
//! [`due`] is level-triggered: it looks only at what ranks report, so a coordinator that just started knows as much as
//! one that was there from the beginning.

use serde::{Deserialize, Serialize};

/// A map and the first pass on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Turn {
    /// Version of the map.
    pub version: u64,
    /// The first pass on it.
    pub pass: u64,
}

/// What one rank reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankView {
    /// Number of the group's membership.
    pub epoch: u64,
    /// Whether the group works.
    pub is_open: bool,
    /// The last pass that was begun.
    pub pass: u64,
    /// Version of the map in use.
    pub in_force: u64,
    /// Version of the map that is copied and not yet used.
    pub prepared: Option<u64>,
    /// What it turns to, and when.
    pub armed: Option<Turn>,
    /// Pass that it keeps the group from beginning.
    pub held: Option<u64>,
    /// Orders accepted since it started.
    pub sequence: u64,
}

/// An order to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Copy the experts of the map with this version.
    Prepare(u64),
    /// Don't let the group begin this pass.
    Hold(u64),
    /// Turn to a map.
    Arm(Turn),
    /// Don't turn to the map with this version.
    Disarm(u64),
    /// Let the group begin this pass.
    Release(u64),
}

/// An order that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Due {
    /// The rank that gets it.
    pub rank: usize,
    /// The order.
    pub order: Order,
    /// Valid in this epoch only.
    pub epoch: u64,
    /// Valid at this number of accepted orders only, so that a former order without an answer can't follow it.
    pub sequence: u64,
}

/// A map that the coordinator wants in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Goal {
    /// Version of the map.
    pub version: u64,
    /// Epoch that it was planned for.
    pub epoch: u64,
    /// Rank that takes the hold.
    pub holder: usize,
    /// Passes that will begin until all ranks can be armed.
    pub lead: u64,
}

/// Orders that are due. `views` has an entry a rank, `None` where nothing is known.
pub fn due(views: &[Option<RankView>], goal: Option<Goal>) -> Vec<Due> {
    let Some(views) = views.iter().copied().collect::<Option<Vec<RankView>>>() else {
        return Vec::new();
    };
    let Some(first) = views.first().copied() else {
        return Vec::new();
    };
    let settled = views.iter().all(|v| v.epoch == first.epoch && v.is_open);
    if !settled {
        return Vec::new();
    }
    match earliest_hold(&views) {
        Some(pass) => finish(&views, pass, goal),
        None => begin(&views, goal),
    }
}

/// The pass that is held, if any; the earliest where there are several.
fn earliest_hold(views: &[RankView]) -> Option<u64> {
    views.iter().filter_map(|v| v.held).min()
}

/// Finishes the switch at a held pass.
///
/// The pass is released only when every rank is armed alike. Where ranks have prepared different maps, because two
/// coordinators came across each other, all are brought to the goal's map first: once a rank has prepared it, late
/// orders to arm for another map are refused.
fn finish(views: &[RankView], pass: u64, goal: Option<Goal>) -> Vec<Due> {
    let version_of = |v: &RankView| match v.armed {
        Some(turn) if turn.pass == pass => Some(turn.version),
        Some(_) => None,
        None => v.prepared,
    };
    let common = version_of(&views[0]).filter(|version| views.iter().all(|v| version_of(v) == Some(*version)));
    let ranks = views.iter().enumerate();
    if let Some(version) = common {
        let turn = Turn { version, pass };
        let missing: Vec<Due> = ranks
            .filter(|(_, v)| v.armed.is_none())
            .map(|(rank, v)| order(rank, v, Order::Arm(turn)))
            .collect();
        return if missing.is_empty() {
            release(views, pass)
        } else {
            missing
        };
    }
    let Some(goal) = goal.filter(|g| g.epoch == views[0].epoch) else {
        return Vec::new();
    };
    ranks
        .filter_map(|(rank, v)| match v.armed {
            Some(turn) => Some(order(rank, v, Order::Disarm(turn.version))),
            None if v.prepared == Some(goal.version) => None,
            None => Some(order(rank, v, Order::Prepare(goal.version))),
        })
        .collect()
}

fn release(views: &[RankView], pass: u64) -> Vec<Due> {
    let holders = views.iter().enumerate().filter(|(_, v)| v.held == Some(pass));
    holders.map(|(rank, v)| order(rank, v, Order::Release(pass))).collect()
}

/// Whether a hold can be finished only with a goal.
pub fn needs_goal(views: &[Option<RankView>]) -> bool {
    let known: Vec<RankView> = views.iter().copied().flatten().collect();
    let held = earliest_hold(&known).is_some();
    held && known.len() == views.len() && due(views, None).is_empty()
}

/// Goes towards the goal while nothing is held.
fn begin(views: &[RankView], goal: Option<Goal>) -> Vec<Due> {
    let Some(goal) = goal.filter(|g| g.epoch == views[0].epoch) else {
        return Vec::new();
    };
    let newer = views.iter().all(|v| v.in_force < goal.version && v.armed.is_none());
    if !newer {
        return Vec::new();
    }
    let missing: Vec<Due> = views
        .iter()
        .enumerate()
        .filter(|(_, v)| v.prepared != Some(goal.version))
        .map(|(rank, v)| order(rank, v, Order::Prepare(goal.version)))
        .collect();
    if !missing.is_empty() {
        return missing;
    }
    let last = views.iter().map(|v| v.pass).max().unwrap_or_default();
    let holder = views.get(goal.holder);
    holder
        .map(|v| order(goal.holder, v, Order::Hold(last + goal.lead)))
        .into_iter()
        .collect()
}

fn order(rank: usize, view: &RankView, order: Order) -> Due {
    Due {
        rank,
        order,
        epoch: view.epoch,
        sequence: view.sequence,
    }
}
