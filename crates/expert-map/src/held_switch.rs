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
type KnownRank = (usize, RankView);

/// Orders that are due. `views` has an entry a rank, `None` where nothing is known.
pub fn pending_orders(
    views: &[Option<RankView>],
    target: Option<TargetMap>,
    lost: Option<LostCoordinator>,
) -> Vec<PendingOrder> {
    let known: Vec<KnownRank> = views
        .iter()
        .enumerate()
        .filter_map(|(rank, v)| v.map(|v| (rank, v)))
        .collect();
    let Some((_, first)) = known.first().copied() else {
        return Vec::new();
    };
    if !known.iter().all(|(_, v)| v.epoch == first.epoch && v.is_open) {
        return Vec::new();
    }
    let target = target.filter(|t| t.epoch == first.epoch);
    if known.len() == views.len() {
        return match earliest_hold(&known) {
            Some(pass) => finish_switch(&known, pass, target),
            None => target.map_or_else(Vec::new, |target| start_switch(&known, target)),
        };
    }
    let only_lost_missing =
        |lost: &LostCoordinator| known.len() + 1 == views.len() && known.iter().all(|(rank, _)| *rank != lost.rank);
    match (lost.filter(only_lost_missing), target) {
        (Some(lost), Some(target)) => release_lost_hold(&known, target, lost),
        _ => Vec::new(),
    }
}

/// The pass that is held, if any; the earliest where there are several.
fn earliest_hold(known: &[KnownRank]) -> Option<u64> {
    known.iter().filter_map(|(_, v)| v.held).min()
}

/// Version that a rank is armed for or has prepared.
fn newest_version(v: &RankView) -> Option<u64> {
    v.armed.map_or(v.prepared, |activation| Some(activation.version))
}

/// Finishes the switch at a held pass.
///
/// The pass is released only when every rank is armed alike, for it or for one that lies behind it: a version is armed for
/// one pass only, so nobody then turns at this one. Short of that, all ranks are brought to the goal's
/// map, whoever placed the hold: what a lost coordinator armed is not built upon, since its late orders may still come.
/// A version that was disarmed is never armed again, so a late `Disarm` finds nothing.
fn finish_switch(known: &[KnownRank], pass: u64, target: Option<TargetMap>) -> Vec<PendingOrder> {
    let common = known[0].1.armed.filter(|activation| activation.pass >= pass);
    if common.is_some() && known.iter().all(|(_, v)| v.armed == common) {
        return release(known, pass);
    }
    let Some(target) = target.filter(|t| t.armed_for.is_none_or(|armed| armed == pass)) else {
        return Vec::new();
    };
    if target.released >= Some(pass) {
        // The order to release may be lost. It was given when nobody could turn at this pass.
        let is_any_armed = known.iter().any(|(_, v)| v.armed.is_some());
        return if is_any_armed { Vec::new() } else { release(known, pass) };
    }
    let activation = MapActivation {
        version: target.version,
        pass,
    };
    let others = known
        .iter()
        .filter_map(|(_, v)| v.armed)
        .filter(|other| *other != activation);
    if let Some(version) = others.map(|other| other.version).min() {
        return disarm_version(known, version, target);
    }
    let unprepared = prepare(known, target);
    if unprepared.is_empty() {
        arm(known, activation, target.own_rank)
    } else {
        unprepared
    }
}

/// Takes back what is armed for `version`. That is safe once a rank has a newer version: it can't be armed for this one
/// any more, so nobody ever finds all ranks armed for it.
fn disarm_version(known: &[KnownRank], version: u64, target: TargetMap) -> Vec<PendingOrder> {
    if !known.iter().any(|(_, v)| newest_version(v) > Some(version)) {
        return prepare(known, target);
    }
    let armed = known
        .iter()
        .filter(|(_, v)| v.armed.is_some_and(|activation| activation.version == version));
    armed.map(|rank| order_for(rank, Order::Disarm(version))).collect()
}

/// Has ranks that are not armed prepare the goal's map.
fn prepare(known: &[KnownRank], target: TargetMap) -> Vec<PendingOrder> {
    let is_unprepared = |v: &RankView| v.armed.is_none() && v.prepared < Some(target.version);
    let ranks = known.iter().filter(|(_, v)| is_unprepared(v));
    ranks
        .map(|rank| order_for(rank, Order::Prepare(target.version)))
        .collect()
}

/// Arms ranks that are not armed, if all of them have prepared the map; the coordinator's own once all others are.
fn arm(known: &[KnownRank], activation: MapActivation, own_rank: usize) -> Vec<PendingOrder> {
    let unarmed: Vec<&KnownRank> = known.iter().filter(|(_, v)| v.armed.is_none()).collect();
    if unarmed.iter().any(|(_, v)| v.prepared != Some(activation.version)) {
        return Vec::new();
    }
    let (own, others): (Vec<&KnownRank>, Vec<&KnownRank>) =
        unarmed.into_iter().partition(|(rank, _)| *rank == own_rank);
    let next = if others.is_empty() { own } else { others };
    next.into_iter()
        .map(|rank| order_for(rank, Order::Arm(activation)))
        .collect()
}

fn release(known: &[KnownRank], pass: u64) -> Vec<PendingOrder> {
    let holders = known.iter().filter(|(_, v)| v.held == Some(pass));
    holders.map(|rank| order_for(rank, Order::Release(pass))).collect()
}

/// Releases the hold of a coordinator that fell silent with its rank, on the map in force.
///
/// It arms its own rank last, so a rank that is not armed proves that its own is not. Once such a rank has prepared a newer
/// map it can't be armed for the old one, so the silent coordinator never gets to arm its own, also when it is back. When
/// all known ranks have prepared the newer map, none turns at the held pass.
fn release_lost_hold(known: &[KnownRank], target: TargetMap, lost: LostCoordinator) -> Vec<PendingOrder> {
    let hold_matches = |(rank, v): &KnownRank| match v.held {
        Some(pass) => *rank == lost.holder && pass == lost.pass,
        None => *rank != lost.holder,
    };
    let is_compatible = |(_, v): &KnownRank| {
        let pass_matches = v.armed.is_none_or(|activation| activation.pass == lost.pass);
        let version_matches =
            newest_version(v).is_none_or(|version| version < lost.versions_below || version == target.version);
        pass_matches && version_matches
    };
    let is_any_unarmed = known.iter().any(|(_, v)| v.armed.is_none());
    let is_target_usable = target.armed_for.is_none() && target.version >= lost.versions_below;
    if !(is_target_usable && is_any_unarmed && known.iter().all(hold_matches) && known.iter().all(is_compatible)) {
        return Vec::new();
    }
    if let Some(version) = known
        .iter()
        .filter_map(|(_, v)| v.armed)
        .map(|activation| activation.version)
        .min()
    {
        return disarm_version(known, version, target);
    }
    let unprepared = prepare(known, target);
    if unprepared.is_empty() {
        release(known, lost.pass)
    } else {
        unprepared
    }
}

/// The pass to hold when the last one that this coordinator ordered to be held was `ordered`, with `lead` passes to go.
///
/// A rank has one hold at a time, and an order without an answer may still come. Another pass is therefore held only once
/// the former one has begun and its late order would be refused.
pub fn hold_pass(views: &[Option<RankView>], last_ordered: Option<u64>, lead_passes: u64) -> u64 {
    let last = views.iter().flatten().map(|v| v.pass).max().unwrap_or_default();
    last_ordered.filter(|pass| *pass > last).unwrap_or(last + lead_passes)
}

/// Whether a hold can be finished only with another goal than this one.
pub fn needs_target(views: &[Option<RankView>], target: Option<TargetMap>) -> bool {
    let known: Vec<KnownRank> = views
        .iter()
        .enumerate()
        .filter_map(|(rank, v)| v.map(|v| (rank, v)))
        .collect();
    let Some(pass) = earliest_hold(&known) else {
        return false;
    };
    let newest = known.iter().filter_map(|(_, v)| newest_version(v)).max();
    target.is_none_or(|t| newest > Some(t.version) || t.armed_for.is_some_and(|armed| armed != pass))
}

/// Goes towards the goal while nothing is held.
fn start_switch(known: &[KnownRank], target: TargetMap) -> Vec<PendingOrder> {
    let is_ready =
        |v: &RankView| v.in_force < target.version && v.armed.is_none() && v.prepared <= Some(target.version);
    if !known.iter().all(|(_, v)| is_ready(v)) {
        return Vec::new();
    }
    let unprepared = prepare(known, target);
    if !unprepared.is_empty() {
        return unprepared;
    }
    let holder = known.iter().find(|(rank, _)| *rank == target.holder);
    holder
        .map(|rank| order_for(rank, Order::Hold(target.pass)))
        .into_iter()
        .collect()
}

fn order_for((rank, view): &KnownRank, order: Order) -> PendingOrder {
    PendingOrder {
        rank: *rank,
        order,
        epoch: view.epoch,
        sequence: view.sequence,
    }
}
