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
//! A hold is never just taken back: an `Arm` may be on its way. Whoever finds one brings all ranks to a map of its own and
//! releases it then. Versions only grow, and a rank that has prepared a newer one refuses to be armed for an older, so
//! late orders and a second coordinator do no harm. A group whose membership changes forgets everything by itself and
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
    /// Rank that takes the hold; each coordinator's own, so that two never hold the same one.
    pub holder: usize,
    /// Pass to be held, as [`hold_pass`] says.
    pub pass: u64,
    /// Pass for which ranks were already ordered to arm for this version. It is never used for another one.
    pub armed_for: Option<u64>,
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
/// The pass is released only when every rank is armed alike, for it or for one that lies behind it: a version is armed for
/// one pass only, so nobody then turns at this one. Short of that, all ranks are brought to the goal's
/// map, whoever placed the hold: what a lost coordinator armed is not built upon, since its late orders may still come.
/// A version that was disarmed is never armed again, so a late `Disarm` finds nothing.
fn finish(views: &[RankView], pass: u64, goal: Option<Goal>) -> Vec<Due> {
    let first = views[0].armed.filter(|turn| turn.pass >= pass);
    if first.is_some() && views.iter().all(|v| v.armed == first) {
        return release(views, pass);
    }
    let usable = |g: &Goal| g.epoch == views[0].epoch && g.armed_for.is_none_or(|armed| armed == pass);
    let Some(goal) = goal.filter(usable) else {
        return Vec::new();
    };
    let wanted = Turn {
        version: goal.version,
        pass,
    };
    let foreign = views.iter().filter_map(|v| v.armed).filter(|turn| *turn != wanted);
    if let Some(version) = foreign.map(|turn| turn.version).min() {
        clear(views, version, goal)
    } else {
        let unprepared = prepare(views, goal);
        if unprepared.is_empty() {
            arm(views, wanted)
        } else {
            unprepared
        }
    }
}

/// Takes back what is armed for `version`. That is safe once a rank has a newer version: it can't be armed for this one
/// any more, so nobody ever finds all ranks armed for it.
fn clear(views: &[RankView], version: u64, goal: Goal) -> Vec<Due> {
    let newer = |v: &RankView| v.armed.map_or(v.prepared, |turn| Some(turn.version)) > Some(version);
    if !views.iter().any(newer) {
        return prepare(views, goal);
    }
    let armed = |v: &RankView| v.armed.is_some_and(|turn| turn.version == version);
    let ranks = views.iter().enumerate().filter(|(_, v)| armed(v));
    ranks.map(|(rank, v)| order(rank, v, Order::Disarm(version))).collect()
}

/// Has ranks that are not armed prepare the goal's map.
fn prepare(views: &[RankView], goal: Goal) -> Vec<Due> {
    let lacks = |v: &RankView| v.armed.is_none() && v.prepared < Some(goal.version);
    let ranks = views.iter().enumerate().filter(|(_, v)| lacks(v));
    ranks
        .map(|(rank, v)| order(rank, v, Order::Prepare(goal.version)))
        .collect()
}

/// Arms ranks that are not armed, if all of them have prepared the map.
fn arm(views: &[RankView], turn: Turn) -> Vec<Due> {
    let unarmed = || views.iter().enumerate().filter(|(_, v)| v.armed.is_none());
    if unarmed().any(|(_, v)| v.prepared != Some(turn.version)) {
        return Vec::new();
    }
    unarmed().map(|(rank, v)| order(rank, v, Order::Arm(turn))).collect()
}

fn release(views: &[RankView], pass: u64) -> Vec<Due> {
    let holders = views.iter().enumerate().filter(|(_, v)| v.held == Some(pass));
    holders.map(|(rank, v)| order(rank, v, Order::Release(pass))).collect()
}

/// The pass to hold when the last one that this coordinator ordered to be held was `ordered`, with `lead` passes to go.
///
/// A rank has one hold at a time, and an order without an answer may still come. Another pass is therefore held only once
/// the former one has begun and its late order would be refused.
pub fn hold_pass(views: &[Option<RankView>], ordered: Option<u64>, lead: u64) -> u64 {
    let last = views.iter().flatten().map(|v| v.pass).max().unwrap_or_default();
    ordered.filter(|pass| *pass > last).unwrap_or(last + lead)
}

/// Whether a hold can be finished only with another goal than this one.
pub fn needs_goal(views: &[Option<RankView>], goal: Option<Goal>) -> bool {
    let known: Vec<RankView> = views.iter().copied().flatten().collect();
    let Some(pass) = earliest_hold(&known).filter(|_| known.len() == views.len()) else {
        return false;
    };
    let newest = known
        .iter()
        .filter_map(|v| v.armed.map_or(v.prepared, |turn| Some(turn.version)))
        .max();
    goal.is_none_or(|g| newest > Some(g.version) || g.armed_for.is_some_and(|armed| armed != pass))
}

/// Goes towards the goal while nothing is held.
fn begin(views: &[RankView], goal: Option<Goal>) -> Vec<Due> {
    let Some(goal) = goal.filter(|g| g.epoch == views[0].epoch) else {
        return Vec::new();
    };
    let open = |v: &RankView| v.in_force < goal.version && v.armed.is_none() && v.prepared <= Some(goal.version);
    if !views.iter().all(open) {
        return Vec::new();
    }
    let unprepared = prepare(views, goal);
    if !unprepared.is_empty() {
        return unprepared;
    }
    let holder = views.get(goal.holder);
    holder
        .map(|v| order(goal.holder, v, Order::Hold(goal.pass)))
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
