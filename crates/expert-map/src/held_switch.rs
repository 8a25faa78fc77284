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
//! [`pending_orders`] is level-triggered: it depends only on what ranks report, so a coordinator that just started knows as
//! much as one that has run from the beginning.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A map and the first pass on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapActivation {
    /// Version of the map.
    pub version: u64,
    /// The first pass on it.
    pub pass: u64,
}

// Log lines contain the debug text of orders, in which this type is called `Turn`.
impl fmt::Debug for MapActivation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Turn")
            .field("version", &self.version)
            .field("pass", &self.pass)
            .finish()
    }
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
    pub armed: Option<MapActivation>,
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
    /// Activate a map at a pass.
    Arm(MapActivation),
    /// Don't turn to the map with this version.
    Disarm(u64),
    /// Let the group begin this pass.
    Release(u64),
}

/// An order that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PendingOrder {
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
pub struct TargetMap {
    /// Version of the map.
    pub version: u64,
    /// Epoch that it was planned for.
    pub epoch: u64,
    /// Rank that takes the hold: another one than the coordinator's, so that one instance can be lost, and another one for
    /// each coordinator.
    pub holder: usize,
    /// The coordinator's own rank, which it arms last.
    pub own_rank: usize,
    /// Pass to be held, as [`hold_pass`] says.
    pub pass: u64,
    /// Pass for which ranks were already ordered to arm for this version. It is never used for another one.
    pub armed_for: Option<u64>,
    /// The last pass that this coordinator ordered to be released. It never arms for that one any more.
    pub released: Option<u64>,
}

/// A coordinator that fell silent, and its rank with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostCoordinator {
    /// Its rank. It arms this one last.
    pub rank: usize,
    /// Rank on which it announced a hold.
    pub holder: usize,
    /// Pass that it announced to hold.
    pub pass: u64,
    /// Versions of its maps and of all coordinators before it are below this.
    pub versions_below: u64,
}

/// A rank that is known.
type Seen = (usize, RankView);

/// Orders that are due. `views` has an entry a rank, `None` where nothing is known.
pub fn pending_orders(
    views: &[Option<RankView>],
    goal: Option<TargetMap>,
    absent: Option<LostCoordinator>,
) -> Vec<PendingOrder> {
    let seen: Vec<Seen> = views
        .iter()
        .enumerate()
        .filter_map(|(rank, v)| v.map(|v| (rank, v)))
        .collect();
    let Some((_, first)) = seen.first().copied() else {
        return Vec::new();
    };
    if !seen.iter().all(|(_, v)| v.epoch == first.epoch && v.is_open) {
        return Vec::new();
    }
    let goal = goal.filter(|g| g.epoch == first.epoch);
    if seen.len() == views.len() {
        return match earliest_hold(&seen) {
            Some(pass) => finish(&seen, pass, goal),
            None => goal.map_or_else(Vec::new, |goal| begin(&seen, goal)),
        };
    }
    let alone =
        |absent: &LostCoordinator| seen.len() + 1 == views.len() && seen.iter().all(|(rank, _)| *rank != absent.rank);
    match (absent.filter(alone), goal) {
        (Some(absent), Some(goal)) => rescue(&seen, goal, absent),
        _ => Vec::new(),
    }
}

/// The pass that is held, if any; the earliest where there are several.
fn earliest_hold(seen: &[Seen]) -> Option<u64> {
    seen.iter().filter_map(|(_, v)| v.held).min()
}

/// Version that a rank is armed for or has prepared.
fn newest(v: &RankView) -> Option<u64> {
    v.armed.map_or(v.prepared, |turn| Some(turn.version))
}

/// Finishes the switch at a held pass.
///
/// The pass is released only when every rank is armed alike, for it or for one that lies behind it: a version is armed for
/// one pass only, so nobody then turns at this one. Short of that, all ranks are brought to the goal's
/// map, whoever placed the hold: what a lost coordinator armed is not built upon, since its late orders may still come.
/// A version that was disarmed is never armed again, so a late `Disarm` finds nothing.
fn finish(seen: &[Seen], pass: u64, goal: Option<TargetMap>) -> Vec<PendingOrder> {
    let first = seen[0].1.armed.filter(|turn| turn.pass >= pass);
    if first.is_some() && seen.iter().all(|(_, v)| v.armed == first) {
        return release(seen, pass);
    }
    let Some(goal) = goal.filter(|g| g.armed_for.is_none_or(|armed| armed == pass)) else {
        return Vec::new();
    };
    if goal.released >= Some(pass) {
        // The order to release may be lost. It was given when nobody could turn at this pass.
        let armed = seen.iter().any(|(_, v)| v.armed.is_some());
        return if armed { Vec::new() } else { release(seen, pass) };
    }
    let wanted = MapActivation {
        version: goal.version,
        pass,
    };
    let foreign = seen.iter().filter_map(|(_, v)| v.armed).filter(|turn| *turn != wanted);
    if let Some(version) = foreign.map(|turn| turn.version).min() {
        return clear(seen, version, goal);
    }
    let unprepared = prepare(seen, goal);
    if unprepared.is_empty() {
        arm(seen, wanted, goal.own_rank)
    } else {
        unprepared
    }
}

/// Takes back what is armed for `version`. That is safe once a rank has a newer version: it can't be armed for this one
/// any more, so nobody ever finds all ranks armed for it.
fn clear(seen: &[Seen], version: u64, goal: TargetMap) -> Vec<PendingOrder> {
    if !seen.iter().any(|(_, v)| newest(v) > Some(version)) {
        return prepare(seen, goal);
    }
    let armed = seen
        .iter()
        .filter(|(_, v)| v.armed.is_some_and(|turn| turn.version == version));
    armed.map(|seen| order(seen, Order::Disarm(version))).collect()
}

/// Has ranks that are not armed prepare the goal's map.
fn prepare(seen: &[Seen], goal: TargetMap) -> Vec<PendingOrder> {
    let lacks = |v: &RankView| v.armed.is_none() && v.prepared < Some(goal.version);
    let ranks = seen.iter().filter(|(_, v)| lacks(v));
    ranks.map(|seen| order(seen, Order::Prepare(goal.version))).collect()
}

/// Arms ranks that are not armed, if all of them have prepared the map; the coordinator's own once all others are.
fn arm(seen: &[Seen], turn: MapActivation, own_rank: usize) -> Vec<PendingOrder> {
    let unarmed: Vec<&Seen> = seen.iter().filter(|(_, v)| v.armed.is_none()).collect();
    if unarmed.iter().any(|(_, v)| v.prepared != Some(turn.version)) {
        return Vec::new();
    }
    let (last, first): (Vec<&Seen>, Vec<&Seen>) = unarmed.into_iter().partition(|(rank, _)| *rank == own_rank);
    let turn_now = if first.is_empty() { last } else { first };
    turn_now.into_iter().map(|seen| order(seen, Order::Arm(turn))).collect()
}

fn release(seen: &[Seen], pass: u64) -> Vec<PendingOrder> {
    let holders = seen.iter().filter(|(_, v)| v.held == Some(pass));
    holders.map(|seen| order(seen, Order::Release(pass))).collect()
}

/// Releases the hold of a coordinator that fell silent with its rank, on the map in force.
///
/// It arms its own rank last, so a rank that is not armed proves that its own is not. Once such a rank has prepared a newer
/// map it can't be armed for the old one, so the silent coordinator never gets to arm its own, also when it is back. When
/// all known ranks have prepared the newer map, none turns at the held pass.
fn rescue(seen: &[Seen], goal: TargetMap, absent: LostCoordinator) -> Vec<PendingOrder> {
    let holds = |(rank, v): &Seen| match v.held {
        Some(pass) => *rank == absent.holder && pass == absent.pass,
        None => *rank != absent.holder,
    };
    let its_own = |(_, v): &Seen| {
        let turn = v.armed.is_none_or(|turn| turn.pass == absent.pass);
        let version = newest(v).is_none_or(|version| version < absent.versions_below || version == goal.version);
        turn && version
    };
    let unarmed = seen.iter().any(|(_, v)| v.armed.is_none());
    let usable = goal.armed_for.is_none() && goal.version >= absent.versions_below;
    if !(usable && unarmed && seen.iter().all(holds) && seen.iter().all(its_own)) {
        return Vec::new();
    }
    if let Some(version) = seen.iter().filter_map(|(_, v)| v.armed).map(|turn| turn.version).min() {
        return clear(seen, version, goal);
    }
    let unprepared = prepare(seen, goal);
    if unprepared.is_empty() {
        release(seen, absent.pass)
    } else {
        unprepared
    }
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
pub fn needs_target(views: &[Option<RankView>], goal: Option<TargetMap>) -> bool {
    let seen: Vec<Seen> = views
        .iter()
        .enumerate()
        .filter_map(|(rank, v)| v.map(|v| (rank, v)))
        .collect();
    let Some(pass) = earliest_hold(&seen) else {
        return false;
    };
    let known = seen.iter().filter_map(|(_, v)| newest(v)).max();
    goal.is_none_or(|g| known > Some(g.version) || g.armed_for.is_some_and(|armed| armed != pass))
}

/// Goes towards the goal while nothing is held.
fn begin(seen: &[Seen], goal: TargetMap) -> Vec<PendingOrder> {
    let open = |v: &RankView| v.in_force < goal.version && v.armed.is_none() && v.prepared <= Some(goal.version);
    if !seen.iter().all(|(_, v)| open(v)) {
        return Vec::new();
    }
    let unprepared = prepare(seen, goal);
    if !unprepared.is_empty() {
        return unprepared;
    }
    let holder = seen.iter().find(|(rank, _)| *rank == goal.holder);
    holder
        .map(|seen| order(seen, Order::Hold(goal.pass)))
        .into_iter()
        .collect()
}

fn order((rank, view): &Seen, order: Order) -> PendingOrder {
    PendingOrder {
        rank: *rank,
        order,
        epoch: view.epoch,
        sequence: view.sequence,
    }
}
