//! The coordinator of a group: gathers states, plans, and says which orders are due.
//!
//! Holds no sockets: the agent feeds it states and sends what it gives back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use sycamorestile_core::time::Time;
use sycamorestile_expert_map::{group_planner, held_switch, rebalance};

use crate::message;
use crate::rank_adapter;

/// How a rank is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RankRoute {
    /// Through the agent at this address.
    Agent(SocketAddr),
    /// Directly at this address, since its agent does not answer.
    Rank(SocketAddr),
}

/// Age of a rank's state from which on the rank is asked directly. That is priced, so an agent gets a few tries first.
const DIRECT_QUERY_AGE: Duration = Duration::from_millis(450);
/// Age at which a rank's state no longer counts.
const STATUS_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time after which an order that shows no effect is given again.
const RESEND_INTERVAL: Duration = Duration::from_millis(120);
/// Time for which a map is pursued before a new one is planned instead.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which counts are folded and plans are made.
const PLAN_INTERVAL: Duration = Duration::from_millis(120);
/// The same while demand has just moved: the counts of two passes show where it went.
const SETTLING_PLAN_INTERVAL: Duration = Duration::from_millis(80);
/// Time from a hold to the pass that it holds, in which all ranks are to be armed.
const HOLD_LEAD_TIME: Duration = Duration::from_millis(80);
/// Fewest passes between a hold and its pass.
const MIN_HOLD_LEAD: u64 = 1;
/// Shortest time between two samples of the pass rate.
const MIN_RATE_SAMPLE: Duration = Duration::from_millis(300);
/// Passes a second before any were seen.
const INITIAL_PASSES_PER_SECOND: f64 = 20.0;
/// Versions that one coordinator's number has room for.
const VERSIONS_PER_NUMBER: u64 = 4_096;

struct KnownRank {
    status: message::RankStatus,
    /// Where it came from.
    route: RankRoute,
    received_at: Time,
}

/// What an agent heard of a coordinator's holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnnouncedHold {
    /// Number of the coordinator.
    pub(crate) number: u64,
    /// Its rank.
    pub(crate) rank: u32,
    /// The last pass that it ordered to be held.
    pub(crate) pass: u64,
}

/// A map on its way into force.
struct MapChange {
    target: held_switch::TargetMap,
    map: rank_adapter::GroupExperts,
    started_at: Time,
}

struct SentOrder {
    pending: held_switch::PendingOrder,
    sent_at: Time,
}

/// The coordinator's blackboard.
pub(crate) struct Coordinator {
    group: Arc<str>,
    number: u64,
    /// Maps made under this number.
    versions_used: u64,
    /// Whether it may begin changes, and not only finish them.
    may_plan: bool,
    ranks: Vec<Option<KnownRank>>,
    map_sizes: Option<rank_adapter::MapSizes>,
    planner: Option<group_planner::GroupPlanner>,
    planned_at: Time,
    /// When it began to coordinate.
    started_at: Time,
    change: Option<MapChange>,
    sent: Vec<SentOrder>,
    /// Rank of the agent that coordinates.
    own_rank: usize,
    /// The last pass that was ordered to be held.
    ordered_hold: Option<u64>,
    /// The last pass that was ordered to be released.
    ordered_release: Option<u64>,
    /// The coordinator before this one, which fell silent.
    lost: Option<held_switch::LostCoordinator>,
    /// Pass and time of the last look at the pace.
    rate_sample: Option<(u64, Time)>,
    /// Passes a second.
    passes_per_second: f64,
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
        info!(log, "coordinating"; "group" => membership.group.as_ref(), "number" => number, "plans" => may_plan);
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
            rate_sample: None,
            passes_per_second: INITIAL_PASSES_PER_SECOND,
            log,
        }
    }

    /// The group.
    pub(crate) fn group(&self) -> &Arc<str> {
        &self.group
    }

    /// Notes what was heard of the coordinator before this one.
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

    /// Rank that takes the holds of the coordinator of `rank`.
    fn holder_of(&self, rank: usize) -> usize {
        (rank + 1) % self.ranks.len().max(1)
    }

    /// Its own rank.
    pub(crate) fn own_rank(&self) -> usize {
        self.own_rank
    }

    /// The last pass that it ordered to be held.
    pub(crate) fn ordered_hold(&self) -> Option<u64> {
        self.ordered_hold
    }

    /// Its number.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Takes the sizes of maps.
    pub(crate) fn set_map_sizes(&mut self, map_sizes: Option<rank_adapter::MapSizes>) {
        if self.map_sizes != map_sizes {
            self.map_sizes = map_sizes;
            self.planner = None;
        }
    }

    /// Whether a change is under way, so that states are wanted more often.
    pub(crate) fn is_busy(&self) -> bool {
        let is_changing = |k: &KnownRank| k.status.view.held.is_some() || k.status.view.armed.is_some();
        self.change.is_some() || self.ranks.iter().flatten().any(is_changing)
    }

    /// Whether counts are due.
    pub(crate) fn wants_counts(&self, now: Time) -> bool {
        self.may_plan && now.since(self.planned_at) + PLAN_INTERVAL / 3 >= self.plan_interval()
    }

    /// Whether demand has just moved, so that counts are wanted soon.
    pub(crate) fn is_settling(&self) -> bool {
        self.planner
            .as_ref()
            .is_some_and(group_planner::GroupPlanner::is_settling)
    }

    /// Time from one plan to the next.
    fn plan_interval(&self) -> Duration {
        if self.is_settling() {
            SETTLING_PLAN_INTERVAL
        } else {
            PLAN_INTERVAL
        }
    }

    /// How `rank` is reached.
    pub(crate) fn route(&self, rank: usize) -> Option<RankRoute> {
        self.ranks.get(rank)?.as_ref().map(|k| k.route)
    }

    /// Whether the state of the rank of the agent at `addr` is so old that the rank is to be asked directly. `known` says
    /// whether the agent ever answered.
    pub(crate) fn needs_direct_query(&self, location: message::AgentLocation, now: Time) -> bool {
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

    /// Takes a rank's state.
    pub(crate) fn record_status(&mut self, status: message::RankStatus, route: RankRoute, now: Time) {
        if status.membership.group != self.group {
            return;
        }
        let rank = status.membership.rank as usize;
        if self.ranks.len() != status.membership.size as usize {
            self.ranks = (0..status.membership.size).map(|_| None).collect();
            self.planner = None;
        }
        self.update_pass_rate(&status.view, now);
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

    fn update_pass_rate(&mut self, view: &held_switch::RankView, now: Time) {
        match self.rate_sample {
            Some((pass, at)) if view.pass > pass && now.since(at) > MIN_RATE_SAMPLE => {
                self.passes_per_second = (view.pass - pass) as f64 / now.since(at).as_secs_f64();
                self.rate_sample = Some((view.pass, now));
            }
            Some((pass, _)) if view.pass >= pass => {}
            _ => self.rate_sample = Some((view.pass, now)),
        }
    }

    /// Orders to give now.
    pub(crate) fn pending_orders(&mut self, now: Time) -> Vec<rank_adapter::RankOrder> {
        let views = self.fresh_views(now);
        self.review_change(&views, now);
        if self.may_plan && now.since(self.planned_at) >= self.plan_interval() {
            self.plan(&views, now);
        }
        if held_switch::needs_target(&views, self.change.as_ref().map(|c| c.target)) {
            self.reactivate_current_map(&views, now);
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

    /// Whether an order of the same kind to the same rank is still on its way.
    fn is_in_flight(&self, order: &held_switch::PendingOrder) -> bool {
        let matches_order = |s: &SentOrder| {
            let same_kind = std::mem::discriminant(&s.pending.order) == std::mem::discriminant(&order.order);
            same_kind && s.pending.rank == order.rank && s.pending.sequence == order.sequence
        };
        self.sent.iter().any(matches_order)
    }

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

    fn fresh_views(&self, now: Time) -> Vec<Option<held_switch::RankView>> {
        let fresh = |k: &KnownRank| (now.since(k.received_at) < STATUS_MAX_AGE).then_some(k.status.view);
        self.ranks.iter().map(|rank| rank.as_ref().and_then(fresh)).collect()
    }

    /// Times as long as usual that the slowest rank takes for its work.
    fn max_slowness(&self) -> f64 {
        self.ranks
            .iter()
            .flatten()
            .map(|k| k.status.slowness)
            .fold(1.0, f64::max)
    }

    fn hold_lead(&self) -> u64 {
        MIN_HOLD_LEAD + (self.passes_per_second * HOLD_LEAD_TIME.as_secs_f64()).ceil() as u64
    }

    /// Drops a goal that is reached, of another epoch, or pursued for too long.
    fn review_change(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        let Some(change) = &self.change else { return };
        let known_views = || views.iter().flatten();
        let reached =
            known_views().count() == views.len() && known_views().all(|v| v.in_force >= change.target.version);
        let epoch_changed = known_views().any(|v| v.epoch != change.target.epoch);
        let timed_out = now.since(change.started_at) > CHANGE_TIMEOUT
            && known_views().all(|v| v.held.is_none() && v.armed.is_none());
        if reached || epoch_changed || timed_out {
            info!(self.log, "map settled"; "version" => change.target.version, "reached" => reached, "epoch_moved" => epoch_changed,
                "ms" => now.since(change.started_at).as_millis() as u64);
            self.change = None;
        }
    }

    /// The maps in force, when all ranks are known and agree.
    fn current_map(
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

    /// The maps in force when one rank is silent, with the experts that nobody else holds in its place.
    fn current_map_without_lost(
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
        let Some((current, view)) = self.current_map(views) else {
            return;
        };
        let Some(planner) = &self.planner else { return };
        let Some(plan) = planner.plan(&current) else { return };
        info!(self.log, "map planned"; "skew" => plan.skew_before, "skew_planned" => plan.skew_after, "copies" => plan.copies,
            "in_force" => view.in_force, "epoch" => view.epoch, "pace" => self.passes_per_second, "slowest" => self.max_slowness());
        self.start_change(&plan.map, view.epoch, now);
    }

    /// Makes the map in force a goal again, under a new version, to finish a hold that nothing else can finish.
    fn reactivate_current_map(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        if let Some((current, view)) = self.current_map(views).or_else(|| self.current_map_without_lost(views)) {
            info!(self.log, "map kept to finish a hold"; "in_force" => view.in_force, "epoch" => view.epoch);
            self.start_change(&current, view.epoch, now);
        }
    }

    fn start_change(&mut self, map: &group_planner::GroupMap, epoch: u64, now: Time) {
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
        });
    }
}
