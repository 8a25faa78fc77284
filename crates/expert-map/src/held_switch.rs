//! Switches all ranks of a group to a new map while a hold keeps them from starting the first pass on it.
//!
//! A pass is what [`switch`](crate::switch) calls a step: the ranks of a group start each one together.
//!
//! This protocol is for engines that execute orders but do not promise to refuse stale ones: an order whose reply was
//! lost may be executed seconds later, after newer orders. The sequence of orders makes this harmless:
//!
//! 1. `Prepare` on every rank, until every report shows that the copy is complete.
//! 2. `Hold` of a future pass on one rank, until its report shows the hold. From then on the group can start neither
//!    that pass nor a later one.
//! 3. `Arm` for that pass on every rank, until every report shows it.
//! 4. `Release`, only after step 3 is complete: every rank starts the pass on the new map. An `Arm` that arrives later
//!    is refused because its pass has already started.
//!
//! A hold is never simply withdrawn, because an `Arm` for its pass may still be in flight. A coordinator that finds a
//! hold first brings all ranks to a map of its own and then releases the hold. Versions only increase, and a rank that
//! has prepared a newer version refuses to be armed for an older one, so delayed orders and a second coordinator are
//! harmless. A group whose membership changes discards all of this state and starts a new epoch, whose number is part
//! of every order.
//!
//! [`pending_orders`] is level-triggered: it depends only on what ranks report, so a coordinator that has just started
//! has the same information as one that has been running from the beginning.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A map version and the first pass that runs on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapActivation {
    /// The version of the map.
    pub version: u64,
    /// The first pass that runs on the map.
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

/// The state that a rank reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankView {
    /// The epoch of the group, which changes with the group's membership.
    pub epoch: u64,
    /// Whether the group is running.
    pub is_open: bool,
    /// The last pass that was started.
    pub pass: u64,
    /// The version of the active map.
    pub in_force: u64,
    /// The version of the map that is copied but not yet active.
    pub prepared: Option<u64>,
    /// The map activation for which this rank is armed.
    pub armed: Option<MapActivation>,
    /// The pass that this rank keeps the group from starting.
    pub held: Option<u64>,
    /// The number of orders that this rank has accepted since it started.
    pub sequence: u64,
}

/// An order to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Copy the experts of the map with this version.
    Prepare(u64),
    /// Keep the group from starting this pass.
    Hold(u64),
    /// Activate a map at a pass.
    Arm(MapActivation),
    /// Cancel the activation of the map with this version.
    Disarm(u64),
    /// Allow the group to start this pass.
    Release(u64),
}

/// An order to be sent to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PendingOrder {
    /// The rank to which the order is sent.
    pub rank: usize,
    /// The order.
    pub order: Order,
    /// The epoch in which the order is valid.
    pub epoch: u64,
    /// The number of accepted orders at which the order is valid. An earlier order whose reply was lost can therefore
    /// not be executed after this one.
    pub sequence: u64,
}

/// The map that the coordinator wants to activate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetMap {
    /// The version of the map.
    pub version: u64,
    /// The epoch for which the map was planned.
    pub epoch: u64,
    /// The rank that places the hold. It is not the coordinator's own rank, so that the loss of one instance can be
    /// tolerated, and it differs between coordinators.
    pub holder: usize,
    /// The coordinator's own rank, which it arms last.
    pub own_rank: usize,
    /// The pass to hold, as returned by [`hold_pass`].
    pub pass: u64,
    /// The pass for which ranks have already been ordered to arm with this version. A version is never armed for two
    /// different passes.
    pub armed_for: Option<u64>,
    /// The last pass that this coordinator has ordered to be released. The coordinator no longer arms ranks for that
    /// pass.
    pub released: Option<u64>,
}

/// A coordinator that is unreachable together with its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostCoordinator {
    /// The coordinator's own rank, which it arms last.
    pub rank: usize,
    /// The rank on which it announced a hold.
    pub holder: usize,
    /// The pass that it announced to hold.
    pub pass: u64,
    /// Upper bound (exclusive) of the versions used by this coordinator and all earlier ones.
    pub versions_below: u64,
}

/// The index and the reported state of a rank whose state is known.
type KnownRank = (usize, RankView);

/// Returns the orders that are to be sent next.
///
/// `views` has one entry per rank, which is `None` if the rank's state is unknown.
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

/// Returns the earliest held pass, if any.
fn earliest_hold(known: &[KnownRank]) -> Option<u64> {
    known.iter().filter_map(|(_, v)| v.held).min()
}

/// Returns the version for which a rank is armed or, if it is not armed, the version it has prepared.
fn newest_version(v: &RankView) -> Option<u64> {
    v.armed.map_or(v.prepared, |activation| Some(activation.version))
}

/// Returns the orders that finish the switch at a held pass.
///
/// The pass is released only when every rank is armed for the same activation, at this pass or a later one. In the
/// latter case no rank activates a map at this pass, since a version is armed for one pass only. Otherwise all ranks
/// are brought to the target map, regardless of which coordinator placed the hold: activations armed by a lost
/// coordinator are not reused, because delayed orders of that coordinator may still arrive. A disarmed version is never
/// armed again, so a delayed `Disarm` has no effect.
fn finish_switch(known: &[KnownRank], pass: u64, target: Option<TargetMap>) -> Vec<PendingOrder> {
    let common = known[0].1.armed.filter(|activation| activation.pass >= pass);
    if common.is_some() && known.iter().all(|(_, v)| v.armed == common) {
        return release(known, pass);
    }
    let Some(target) = target.filter(|t| t.armed_for.is_none_or(|armed| armed == pass)) else {
        return Vec::new();
    };
    if target.released >= Some(pass) {
        // The release order may have been lost. It was sent when no rank could activate a map at this pass.
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

/// Returns the orders that cancel the activation of `version`.
///
/// This is safe once any rank has a newer version: that rank can no longer be armed for `version`, so no coordinator
/// can observe all ranks armed for it. Until then, the orders are those that prepare the target map.
fn disarm_version(known: &[KnownRank], version: u64, target: TargetMap) -> Vec<PendingOrder> {
    if !known.iter().any(|(_, v)| newest_version(v) > Some(version)) {
        return prepare(known, target);
    }
    let armed = known
        .iter()
        .filter(|(_, v)| v.armed.is_some_and(|activation| activation.version == version));
    armed.map(|rank| order_for(rank, Order::Disarm(version))).collect()
}

/// Returns the orders with which all ranks that are not armed prepare the target map.
fn prepare(known: &[KnownRank], target: TargetMap) -> Vec<PendingOrder> {
    let is_unprepared = |v: &RankView| v.armed.is_none() && v.prepared < Some(target.version);
    let ranks = known.iter().filter(|(_, v)| is_unprepared(v));
    ranks
        .map(|rank| order_for(rank, Order::Prepare(target.version)))
        .collect()
}

/// Returns the orders that arm the remaining ranks, provided that all of them have prepared the map. The coordinator's
/// own rank is armed after all others.
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

/// Returns the orders that release the hold of a coordinator that is unreachable together with its rank. The group
/// stays on the active map.
///
/// The lost coordinator arms its own rank last, so any other unarmed rank proves that the coordinator's rank is not
/// armed either. Once that other rank has prepared a newer map, it can no longer be armed for the old one, so the lost
/// coordinator never arms its own rank, even if it returns. When all known ranks have prepared the newer map, none of
/// them activates a map at the held pass.
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

/// Returns the pass to hold, given the last pass that this coordinator has ordered to be held and the number of passes
/// to leave before the held one.
///
/// A rank has at most one hold at a time, and an order whose reply was lost may still arrive. A different pass is
/// therefore held only after the earlier one has started, since the delayed order for it is then refused.
pub fn hold_pass(views: &[Option<RankView>], last_ordered: Option<u64>, lead_passes: u64) -> u64 {
    let last = views.iter().flatten().map(|v| v.pass).max().unwrap_or_default();
    last_ordered.filter(|pass| *pass > last).unwrap_or(last + lead_passes)
}

/// Returns whether a held pass can be released only with a target other than `target`.
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

/// Returns the orders that start the switch to the target map while no pass is held.
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
