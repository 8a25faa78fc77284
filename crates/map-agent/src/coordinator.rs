//! Coordinator of a group: collects the status of the ranks, plans maps and decides which orders to send.
//!
//! It performs no I/O. The agent passes it each status and sends the orders that it returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use sycamorestile_core::time::Time;
use sycamorestile_expert_map::{group_planner, held_switch, pass_rate, rebalance};
use sycamorestile_table::rank_row;

use crate::message;
use crate::rank_adapter;

/// Route by which a rank is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RankRoute {
    /// Through the agent at this address.
    Agent(SocketAddr),
    /// Directly at this address, for holds and if the rank's agent does not respond.
    Rank(SocketAddr),
}

/// Age of a rank's status above which the rank is queried directly. A query from another instance has a cost for the
/// group, unlike one by the rank's own agent, so the agent gets several heartbeats to respond first.
const DIRECT_QUERY_AGE: Duration = Duration::from_millis(450);
/// Age above which a rank's status is ignored.
const STATUS_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time after which an order without a visible effect is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which a map switch that is not complete is abandoned, unless a rank is held or armed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which counts are aggregated and maps are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(80);
/// Planning interval after a shift in demand. The counts of two passes are enough to show the new demand.
const SETTLING_PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between ordering a hold and the pass that is held, in which all ranks should be armed.
const HOLD_LEAD_TIME: Duration = Duration::from_millis(80);
/// Smallest number of passes between ordering a hold and the pass that is held.
const MIN_HOLD_LEAD: u64 = 1;
/// Number of map versions reserved for each leadership number.
const VERSIONS_PER_NUMBER: u64 = 4_096;

struct KnownRank {
    status: message::RankStatus,
    /// Route by which the status came.
    route: RankRoute,
    received_at: Time,
}

/// Hold that a coordinator announced in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnnouncedHold {
    /// Leadership number of the coordinator.
    pub(crate) number: u64,
    /// Rank of the coordinator's own agent.
    pub(crate) rank: u32,
    /// The last pass for which it ordered a hold.
    pub(crate) pass: u64,
}

/// Map switch in progress.
struct MapChange {
    target: held_switch::TargetMap,
    map: rank_adapter::GroupExperts,
    started_at: Time,
    /// Whether the switch only serves to end a hold, so that it is not needed once no pass is held.
    ends_hold: bool,
}

/// Order that was sent recently.
struct SentOrder {
    pending: held_switch::PendingOrder,
    sent_at: Time,
}

/// State of a group's coordinator.
pub(crate) struct Coordinator {
    group: Arc<str>,
    number: u64,
    /// Number of map versions used under this leadership number.
    versions_used: u64,
    /// Whether new maps may be planned. Otherwise the coordinator only completes a map switch that is in progress.
    may_plan: bool,
    ranks: Vec<Option<KnownRank>>,
    map_sizes: Option<rank_adapter::MapSizes>,
    planner: Option<group_planner::GroupPlanner>,
    planned_at: Time,
    /// Time at which it started to coordinate.
    started_at: Time,
    change: Option<MapChange>,
    sent: Vec<SentOrder>,
    /// Rank of the coordinator's own agent.
    own_rank: usize,
    /// The last pass for which a hold was ordered.
    ordered_hold: Option<u64>,
    /// The last pass whose release was ordered.
    ordered_release: Option<u64>,
    /// The previous coordinator, which stopped sending heartbeats.
    lost: Option<held_switch::LostCoordinator>,
    pass_rate: pass_rate::PassRate,
    log: Logger,
}

impl Coordinator {
    pub(crate) fn new(
        membership: &rank_adapter::Membership,
        number: u64,
        may_plan: bool,
        now: Time,
        log: Logger,
    ) -> Self {
        info!(log, "started coordinating the group";
            "group" => membership.group.as_ref(), "number" => number, "plans" => may_plan);
        Self {
            group: Arc::clone(&membership.group),
            number,
            versions_used: 0,
            may_plan,
            ranks: (0..membership.size).map(|_| None).collect(),
            map_sizes: None,
            planner: None,
            planned_at: now,
            started_at: now,
            change: None,
            sent: Vec::new(),
            own_rank: membership.rank as usize,
            ordered_hold: None,
            ordered_release: None,
            lost: None,
            pass_rate: pass_rate::PassRate::default(),
            log,
        }
    }

    /// Returns the name of the group.
    pub(crate) fn group(&self) -> &Arc<str> {
        &self.group
    }

    /// Sets the previous coordinator from the last hold that was announced, if it was announced under a lower number.
    pub(crate) fn set_predecessor(&mut self, announced: Option<AnnouncedHold>) {
        self.lost = announced
            .filter(|a| a.number < self.number)
            .map(|a| held_switch::LostCoordinator {
                rank: a.rank as usize,
                holder: self.holder_of(a.rank as usize),
                pass: a.pass,
                versions_below: (a.number + 1) * VERSIONS_PER_NUMBER,
            });
    }

    /// Returns the rank to which the coordinator on `rank` sends its holds. It is another one, so that either of the
    /// two instances can be lost.
    fn holder_of(&self, rank: usize) -> usize {
        (rank + 1) % self.ranks.len().max(1)
    }

    /// Returns the rank of the coordinator's own agent.
    pub(crate) fn own_rank(&self) -> usize {
        self.own_rank
    }

    /// Returns the last pass for which a hold was ordered.
    pub(crate) fn ordered_hold(&self) -> Option<u64> {
        self.ordered_hold
    }

    /// Returns the leadership number.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Sets the map sizes. A new planner is created if they differ from the former ones.
    pub(crate) fn set_map_sizes(&mut self, map_sizes: Option<rank_adapter::MapSizes>) {
        if self.map_sizes != map_sizes {
            self.map_sizes = map_sizes;
            self.planner = None;
        }
    }

    /// Returns whether a map switch is in progress, during which statuses are needed more often.
    pub(crate) fn is_busy(&self) -> bool {
        let is_changing = |k: &KnownRank| k.status.view.held.is_some() || k.status.view.armed.is_some();
        self.change.is_some() || self.ranks.iter().flatten().any(is_changing)
    }

    /// Returns whether the next statuses should include expert counts, because a plan is due soon.
    pub(crate) fn wants_counts(&self, now: Time) -> bool {
        self.may_plan && now.since(self.planned_at) + PLAN_INTERVAL / 3 >= self.plan_interval()
    }

    /// Returns whether demand has just shifted, so that counts are needed sooner.
    pub(crate) fn is_settling(&self) -> bool {
        self.planner
            .as_ref()
            .is_some_and(group_planner::GroupPlanner::is_settling)
    }

    /// Returns the time between two plans.
    fn plan_interval(&self) -> Duration {
        if self.is_settling() {
            SETTLING_PLAN_INTERVAL
        } else {
            PLAN_INTERVAL
        }
    }

    /// Returns the route by which the last status of `rank` came, or `None` if there was none.
    pub(crate) fn route(&self, rank: usize) -> Option<RankRoute> {
        self.ranks.get(rank)?.as_ref().map(|k| k.route)
    }

    /// Returns whether the last status of the rank at `location` is so old that the rank should be queried directly. If
    /// there was none yet, the time since this coordinator started counts instead.
    pub(crate) fn needs_direct_query(&self, location: rank_row::RankRow, now: Time) -> bool {
        let is_of_agent =
            |k: &&KnownRank| k.route == RankRoute::Agent(location.agent) || k.route == RankRoute::Rank(location.rank);
        let newest = self
            .ranks
            .iter()
            .flatten()
            .filter(is_of_agent)
            .map(|k| k.received_at)
            .max();
        now.since(newest.unwrap_or(self.started_at)) > DIRECT_QUERY_AGE
    }

    /// Records a rank's status.
    pub(crate) fn record_status(&mut self, status: message::RankStatus, route: RankRoute, now: Time) {
        if status.membership.group != self.group {
            return;
        }
        let rank = status.membership.rank as usize;
        if self.ranks.len() != status.membership.size as usize {
            self.ranks = (0..status.membership.size).map(|_| None).collect();
            self.planner = None;
        }
        let view = &status.view;
        self.pass_rate.observe(view.epoch, view.pass, now.since(Time::ZERO));
        if let Some(planner) = self.planner.as_mut() {
            planner.set_slowness(rank, status.slowness);
            planner.observe(rank, status.started_at_ms, &status.counts);
        }
        if let Some(slot) = self.ranks.get_mut(rank) {
            *slot = Some(KnownRank {
                status,
                route,
                received_at: now,
            });
        }
    }

    /// Returns the orders to send now, and plans a new map if one is due.
    pub(crate) fn pending_orders(&mut self, now: Time) -> Vec<rank_adapter::RankOrder> {
        let views = self.fresh_views(now);
        self.review_change(&views, now);
        if self.may_plan && now.since(self.planned_at) >= self.plan_interval() {
            self.plan(&views, now);
        }
        if held_switch::needs_target(&views, self.change.as_ref().map(|c| c.target)) {
            self.reactivate_map(&views, now);
        }
        let pass = held_switch::hold_pass(&views, self.ordered_hold, self.hold_lead());
        let target = self.change.as_ref().map(|c| held_switch::TargetMap {
            pass,
            released: self.ordered_release,
            ..c.target
        });
        let orders = held_switch::pending_orders(&views, target, self.lost);
        let released = orders.iter().find_map(|o| match o.order {
            held_switch::Order::Release(pass) => Some(pass),
            _ => None,
        });
        self.ordered_release = released.max(self.ordered_release);
        if orders.iter().any(|o| matches!(o.order, held_switch::Order::Hold(_))) {
            self.ordered_hold = Some(pass);
        }
        let armed = orders.iter().find_map(|o| match o.order {
            held_switch::Order::Arm(activation) => Some(activation.pass),
            _ => None,
        });
        if let Some(change) = &mut self.change {
            change.target.armed_for = armed.or(change.target.armed_for);
        }
        self.sent.retain(|s| now.since(s.sent_at) < RESEND_INTERVAL);
        let unsent: Vec<held_switch::PendingOrder> = orders.into_iter().filter(|o| !self.is_in_flight(o)).collect();
        self.sent.extend(unsent.iter().map(|order| SentOrder {
            pending: *order,
            sent_at: now,
        }));
        unsent.into_iter().map(|pending| self.build_order(pending)).collect()
    }

    /// Returns whether an order of the same kind was sent to the same rank recently and has had no effect yet.
    fn is_in_flight(&self, order: &held_switch::PendingOrder) -> bool {
        let matches_order = |s: &SentOrder| {
            let same_kind = std::mem::discriminant(&s.pending.order) == std::mem::discriminant(&order.order);
            same_kind && s.pending.rank == order.rank && s.pending.sequence == order.sequence
        };
        self.sent.iter().any(matches_order)
    }

    /// Adds the leadership number, and the map to an order that prepares one.
    fn build_order(&self, pending: held_switch::PendingOrder) -> rank_adapter::RankOrder {
        let map = match pending.order {
            held_switch::Order::Prepare(_) => self.change.as_ref().map(|c| c.map.clone()),
            _ => None,
        };
        rank_adapter::RankOrder {
            pending,
            number: self.number,
            map,
        }
    }

    /// Returns each rank's reported state, or `None` where there is no recent status.
    fn fresh_views(&self, now: Time) -> Vec<Option<held_switch::RankView>> {
        let fresh = |k: &KnownRank| (now.since(k.received_at) < STATUS_MAX_AGE).then_some(k.status.view);
        self.ranks.iter().map(|rank| rank.as_ref().and_then(fresh)).collect()
    }

    /// Returns the slowness factor of the slowest rank, at least 1.
    fn max_slowness(&self) -> f64 {
        self.ranks
            .iter()
            .flatten()
            .map(|k| k.status.slowness)
            .fold(1.0, f64::max)
    }

    /// Returns the number of passes between ordering a hold and the pass that is held.
    fn hold_lead(&self) -> u64 {
        MIN_HOLD_LEAD + (self.pass_rate.per_second() * HOLD_LEAD_TIME.as_secs_f64()).ceil() as u64
    }

    /// Ends the map switch if it is complete, belongs to a former epoch, or has taken too long.
    fn review_change(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        let Some(change) = &self.change else { return };
        let known_views = || views.iter().flatten();
        let reached =
            known_views().count() == views.len() && known_views().all(|v| v.in_force >= change.target.version);
        let epoch_changed = known_views().any(|v| v.epoch != change.target.epoch);
        let timed_out = now.since(change.started_at) > CHANGE_TIMEOUT
            && known_views().all(|v| v.held.is_none() && v.armed.is_none());
        let is_idle = |v: &held_switch::RankView| v.held.is_none() && v.armed.is_none();
        let needless = change.ends_hold && known_views().count() == views.len() && known_views().all(is_idle);
        if reached || epoch_changed || timed_out || needless {
            info!(self.log, "map switch ended"; "version" => change.target.version, "reached" => reached,
                "epoch_moved" => epoch_changed, "ms" => now.since(change.started_at).as_millis() as u64);
            self.change = None;
        }
    }

    /// Returns the active map if the state of all ranks is known and all use the same map.
    fn active_map(
        &self,
        views: &[Option<held_switch::RankView>],
    ) -> Option<(group_planner::GroupMap, held_switch::RankView)> {
        let sizes = self.map_sizes?;
        let first = (*views.first()?)?;
        let agrees = |v: &Option<held_switch::RankView>| {
            v.is_some_and(|v| v.is_open && v.epoch == first.epoch && v.in_force == first.in_force)
        };
        if !views.iter().all(agrees) {
            return None;
        }
        let lists: Vec<Vec<Vec<u32>>> = self.ranks.iter().flatten().map(|k| k.status.experts.clone()).collect();
        Some((group_planner::from_lists(&lists, sizes.sets), first))
    }

    /// Returns the active map if only the state of the lost coordinator's rank is unknown. That rank is assumed to hold
    /// exactly the experts that no other rank holds.
    fn active_map_without_lost(
        &self,
        views: &[Option<held_switch::RankView>],
    ) -> Option<(group_planner::GroupMap, held_switch::RankView)> {
        let (sizes, lost) = (self.map_sizes?, self.lost?);
        let first = views.iter().flatten().next().copied()?;
        let only_lost_unknown = views.get(lost.rank)?.is_none() && views.iter().flatten().count() + 1 == views.len();
        let agrees = views
            .iter()
            .flatten()
            .all(|v| v.epoch == first.epoch && v.in_force == first.in_force);
        if !only_lost_unknown || !agrees {
            return None;
        }
        let is_held_elsewhere = |set: usize, expert: u32| {
            let others = self.ranks.iter().enumerate().filter(|(rank, _)| *rank != lost.rank);
            let mut lists = others.filter_map(|(_, k)| k.as_ref()?.status.experts.get(set));
            lists.any(|list| list.contains(&expert))
        };
        let unheld = |set: usize| {
            (0..sizes.experts as u32)
                .filter(|e| !is_held_elsewhere(set, *e))
                .collect::<Vec<u32>>()
        };
        let lost_experts: Vec<Vec<u32>> = (0..sizes.sets).map(unheld).collect();
        let lists: Vec<Vec<Vec<u32>>> = self
            .ranks
            .iter()
            .enumerate()
            .map(|(rank, k)| match k {
                Some(k) if rank != lost.rank => k.status.experts.clone(),
                _ => lost_experts.clone(),
            })
            .collect();
        Some((group_planner::from_lists(&lists, sizes.sets), first))
    }

    /// Aggregates the expert counts and starts a map switch if a better map is found.
    fn plan(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        let period = now.since(self.planned_at);
        self.planned_at = now;
        let Some(sizes) = self.map_sizes else { return };
        let shape = group_planner::GroupShape {
            ranks: self.ranks.len(),
            sets: sizes.sets,
            experts: sizes.experts,
            limits: rebalance::RebalanceLimits {
                max_per_rank: sizes.slots_per_rank,
                max_new_per_rank: sizes.max_new_per_rank,
            },
        };
        let planner = self
            .planner
            .get_or_insert_with(|| group_planner::GroupPlanner::new(shape));
        planner.aggregate_counts(period);
        if self.change.is_some() {
            return;
        }
        let Some((current, view)) = self.active_map(views) else {
            return;
        };
        let Some(planner) = &self.planner else { return };
        let Some(plan) = planner.plan(&current) else { return };
        info!(self.log, "map planned"; "skew" => plan.skew_before, "skew_planned" => plan.skew_after,
            "copies" => plan.copies, "in_force" => view.in_force, "epoch" => view.epoch,
            "pace" => self.pass_rate.per_second(), "slowest" => self.max_slowness());
        self.start_change(&plan.map, view.epoch, false, now);
    }

    /// Starts a switch to the active map under a new version, to end a hold that can't be ended otherwise.
    fn reactivate_map(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        if let Some((current, view)) = self.active_map(views).or_else(|| self.active_map_without_lost(views)) {
            info!(self.log, "reactivating the active map under a new version to end a hold";
                "in_force" => view.in_force, "epoch" => view.epoch);
            self.start_change(&current, view.epoch, true, now);
        }
    }

    /// Starts a switch to `map` under a new version.
    fn start_change(&mut self, map: &group_planner::GroupMap, epoch: u64, ends_hold: bool, now: Time) {
        self.versions_used += 1;
        let to_lists = |placement: &rebalance::Placement| {
            let ranks = placement.ranks().iter();
            ranks.map(|experts| experts.iter().map(|e| e.0).collect()).collect()
        };
        self.change = Some(MapChange {
            target: held_switch::TargetMap {
                version: self.number * VERSIONS_PER_NUMBER + self.versions_used,
                epoch,
                holder: self.holder_of(self.own_rank),
                own_rank: self.own_rank,
                pass: 0,
                armed_for: None,
                released: None,
            },
            map: map.iter().map(to_lists).collect(),
            started_at: now,
            ends_hold,
        });
    }
}
