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
pub(crate) enum Via {
    /// Through the agent at this address.
    Agent(SocketAddr),
    /// Directly at this address, since its agent does not answer.
    Rank(SocketAddr),
}

/// Age of a rank's state from which on the rank is asked directly. That is priced, so an agent gets a few tries first.
const ASK_DIRECTLY: Duration = Duration::from_millis(450);
/// Age at which a rank's state no longer counts.
const STATE_LIFE: Duration = Duration::from_millis(1_500);
/// Time after which an order that shows no effect is given again.
const REPEAT: Duration = Duration::from_millis(120);
/// Time for which a map is pursued before a new one is planned instead.
const GOAL_LIFE: Duration = Duration::from_secs(6);
/// Interval at which counts are folded and plans are made.
const PLAN_INTERVAL: Duration = Duration::from_millis(120);
/// The same while demand has just moved: the counts of two passes show where it went.
const SETTLING_INTERVAL: Duration = Duration::from_millis(80);
/// Time from a hold to the pass that it holds, in which all ranks are to be armed.
const LEAD_TIME: Duration = Duration::from_millis(80);
/// Fewest passes between a hold and its pass.
const MIN_LEAD: u64 = 1;
/// Passes a second before any were seen.
const FIRST_PACE: f64 = 20.0;
/// Versions that one coordinator's number has room for.
const VERSIONS_PER_NUMBER: u64 = 4_096;

struct Known {
    state: message::State,
    /// Where it came from.
    via: Via,
    at: Time,
}

/// What an agent heard of a coordinator's holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Announced {
    /// Number of the coordinator.
    pub(crate) number: u64,
    /// Its rank.
    pub(crate) rank: u32,
    /// The last pass that it ordered to be held.
    pub(crate) pass: u64,
}

/// A map on its way into force.
struct Pursuit {
    goal: held_switch::TargetMap,
    map: rank_adapter::GroupExperts,
    since: Time,
}

struct Sent {
    due: held_switch::PendingOrder,
    at: Time,
}

/// The coordinator's blackboard.
pub(crate) struct Coordinator {
    group: Arc<str>,
    number: u64,
    /// Maps made under this number.
    made: u64,
    /// Whether it may begin changes, and not only finish them.
    plans: bool,
    ranks: Vec<Option<Known>>,
    sizes: Option<rank_adapter::MapSizes>,
    planner: Option<group_planner::GroupPlanner>,
    planned: Time,
    /// When it began to coordinate.
    since: Time,
    pursuit: Option<Pursuit>,
    sent: Vec<Sent>,
    /// Rank of the agent that coordinates.
    own_rank: usize,
    /// The last pass that was ordered to be held.
    ordered_hold: Option<u64>,
    /// The last pass that was ordered to be released.
    ordered_release: Option<u64>,
    /// The coordinator before this one, which fell silent.
    absent: Option<held_switch::LostCoordinator>,
    /// Pass and time of the last look at the pace.
    pace_from: Option<(u64, Time)>,
    /// Passes a second.
    pace: f64,
    log: Logger,
}

impl Coordinator {
    pub(crate) fn new(membership: &rank_adapter::Membership, number: u64, plans: bool, now: Time, log: Logger) -> Self {
        info!(log, "coordinating"; "group" => membership.group.as_ref(), "number" => number, "plans" => plans);
        Self {
            group: Arc::clone(&membership.group),
            number,
            made: 0,
            plans,
            ranks: (0..membership.size).map(|_| None).collect(),
            sizes: None,
            planner: None,
            planned: now,
            since: now,
            pursuit: None,
            sent: Vec::new(),
            own_rank: membership.rank as usize,
            ordered_hold: None,
            ordered_release: None,
            absent: None,
            pace_from: None,
            pace: FIRST_PACE,
            log,
        }
    }

    /// The group.
    pub(crate) fn group(&self) -> &Arc<str> {
        &self.group
    }

    /// Notes what was heard of the coordinator before this one.
    pub(crate) fn succeed(&mut self, announced: Option<Announced>) {
        self.absent = announced
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
    pub(crate) fn size(&mut self, sizes: Option<rank_adapter::MapSizes>) {
        if self.sizes != sizes {
            self.sizes = sizes;
            self.planner = None;
        }
    }

    /// Whether a change is under way, so that states are wanted more often.
    pub(crate) fn is_busy(&self) -> bool {
        let held = |k: &Known| k.state.view.held.is_some() || k.state.view.armed.is_some();
        self.pursuit.is_some() || self.ranks.iter().flatten().any(held)
    }

    /// Whether counts are due.
    pub(crate) fn wants_counts(&self, now: Time) -> bool {
        self.plans && now.since(self.planned) + PLAN_INTERVAL / 3 >= self.plan_interval()
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
            SETTLING_INTERVAL
        } else {
            PLAN_INTERVAL
        }
    }

    /// How `rank` is reached.
    pub(crate) fn via(&self, rank: usize) -> Option<Via> {
        self.ranks.get(rank)?.as_ref().map(|k| k.via)
    }

    /// Whether the state of the rank of the agent at `addr` is so old that the rank is to be asked directly. `known` says
    /// whether the agent ever answered.
    pub(crate) fn lacks(&self, whereabouts: message::Whereabouts, now: Time) -> bool {
        let of = |k: &&Known| k.via == Via::Agent(whereabouts.agent) || k.via == Via::Rank(whereabouts.rank);
        let newest = self.ranks.iter().flatten().filter(of).map(|k| k.at).max();
        now.since(newest.unwrap_or(self.since)) > ASK_DIRECTLY
    }

    /// Takes a rank's state.
    pub(crate) fn take(&mut self, state: message::State, via: Via, now: Time) {
        if state.membership.group != self.group {
            return;
        }
        let rank = state.membership.rank as usize;
        if self.ranks.len() != state.membership.size as usize {
            self.ranks = (0..state.membership.size).map(|_| None).collect();
            self.planner = None;
        }
        self.see_pace(&state.view, now);
        if let Some(planner) = self.planner.as_mut() {
            planner.set_slowness(rank, state.slowness);
            planner.observe(rank, state.born, &state.counts);
        }
        if let Some(slot) = self.ranks.get_mut(rank) {
            *slot = Some(Known { state, via, at: now });
        }
    }

    fn see_pace(&mut self, view: &held_switch::RankView, now: Time) {
        match self.pace_from {
            Some((pass, at)) if view.pass > pass && now.since(at) > Duration::from_millis(300) => {
                self.pace = (view.pass - pass) as f64 / now.since(at).as_secs_f64();
                self.pace_from = Some((view.pass, now));
            }
            Some((pass, _)) if view.pass >= pass => {}
            _ => self.pace_from = Some((view.pass, now)),
        }
    }

    /// Orders to give now.
    pub(crate) fn orders(&mut self, now: Time) -> Vec<rank_adapter::RankOrder> {
        let views = self.views(now);
        self.review_goal(&views, now);
        if self.plans && now.since(self.planned) >= self.plan_interval() {
            self.plan(&views, now);
        }
        if held_switch::needs_target(&views, self.pursuit.as_ref().map(|g| g.goal)) {
            self.keep_map(&views, now);
        }
        let pass = held_switch::hold_pass(&views, self.ordered_hold, self.lead());
        let goal = self.pursuit.as_ref().map(|g| held_switch::TargetMap {
            pass,
            released: self.ordered_release,
            ..g.goal
        });
        let due = held_switch::pending_orders(&views, goal, self.absent);
        let released = due.iter().find_map(|d| match d.order {
            held_switch::Order::Release(pass) => Some(pass),
            _ => None,
        });
        self.ordered_release = released.max(self.ordered_release);
        if due.iter().any(|d| matches!(d.order, held_switch::Order::Hold(_))) {
            self.ordered_hold = Some(pass);
        }
        let armed = due.iter().find_map(|d| match d.order {
            held_switch::Order::Arm(turn) => Some(turn.pass),
            _ => None,
        });
        if let Some(goal) = &mut self.pursuit {
            goal.goal.armed_for = armed.or(goal.goal.armed_for);
        }
        self.sent.retain(|s| now.since(s.at) < REPEAT);
        let fresh: Vec<held_switch::PendingOrder> = due.into_iter().filter(|d| !self.was_sent(d)).collect();
        self.sent.extend(fresh.iter().map(|due| Sent { due: *due, at: now }));
        fresh.into_iter().map(|due| self.order(due)).collect()
    }

    /// Whether an order of the same kind to the same rank is still on its way.
    fn was_sent(&self, due: &held_switch::PendingOrder) -> bool {
        let same = |s: &Sent| {
            let kind = std::mem::discriminant(&s.due.order) == std::mem::discriminant(&due.order);
            kind && s.due.rank == due.rank && s.due.sequence == due.sequence
        };
        self.sent.iter().any(same)
    }

    fn order(&self, due: held_switch::PendingOrder) -> rank_adapter::RankOrder {
        let map = match due.order {
            held_switch::Order::Prepare(_) => self.pursuit.as_ref().map(|g| g.map.clone()),
            _ => None,
        };
        rank_adapter::RankOrder {
            pending: due,
            number: self.number,
            map,
        }
    }

    fn views(&self, now: Time) -> Vec<Option<held_switch::RankView>> {
        let fresh = |k: &Known| (now.since(k.at) < STATE_LIFE).then_some(k.state.view);
        self.ranks.iter().map(|rank| rank.as_ref().and_then(fresh)).collect()
    }

    /// Times as long as usual that the slowest rank takes for its work.
    fn slowest(&self) -> f64 {
        self.ranks
            .iter()
            .flatten()
            .map(|k| k.state.slowness)
            .fold(1.0, f64::max)
    }

    fn lead(&self) -> u64 {
        MIN_LEAD + (self.pace * LEAD_TIME.as_secs_f64()).ceil() as u64
    }

    /// Drops a goal that is reached, of another epoch, or pursued for too long.
    fn review_goal(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        let Some(goal) = &self.pursuit else { return };
        let known = || views.iter().flatten();
        let reached = known().count() == views.len() && known().all(|v| v.in_force >= goal.goal.version);
        let moved = known().any(|v| v.epoch != goal.goal.epoch);
        let late = now.since(goal.since) > GOAL_LIFE && known().all(|v| v.held.is_none() && v.armed.is_none());
        if reached || moved || late {
            info!(self.log, "map settled"; "version" => goal.goal.version, "reached" => reached, "epoch_moved" => moved,
                "ms" => now.since(goal.since).as_millis() as u64);
            self.pursuit = None;
        }
    }

    /// The maps in force, when all ranks are known and agree.
    fn current(
        &self,
        views: &[Option<held_switch::RankView>],
    ) -> Option<(group_planner::GroupMap, held_switch::RankView)> {
        let sizes = self.sizes?;
        let first = (*views.first()?)?;
        let alike = |v: &Option<held_switch::RankView>| {
            v.is_some_and(|v| v.is_open && v.epoch == first.epoch && v.in_force == first.in_force)
        };
        if !views.iter().all(alike) {
            return None;
        }
        let lists: Vec<Vec<Vec<u32>>> = self.ranks.iter().flatten().map(|k| k.state.experts.clone()).collect();
        Some((group_planner::from_lists(&lists, sizes.sets), first))
    }

    /// The maps in force when one rank is silent, with the experts that nobody else holds in its place.
    fn current_without(
        &self,
        views: &[Option<held_switch::RankView>],
    ) -> Option<(group_planner::GroupMap, held_switch::RankView)> {
        let (sizes, absent) = (self.sizes?, self.absent?);
        let first = views.iter().flatten().next().copied()?;
        let silent = views.get(absent.rank)?.is_none() && views.iter().flatten().count() + 1 == views.len();
        let alike = views
            .iter()
            .flatten()
            .all(|v| v.epoch == first.epoch && v.in_force == first.in_force);
        if !silent || !alike {
            return None;
        }
        let held = |set: usize, expert: u32| {
            let others = self.ranks.iter().enumerate().filter(|(rank, _)| *rank != absent.rank);
            let mut lists = others.filter_map(|(_, k)| k.as_ref()?.state.experts.get(set));
            lists.any(|list| list.contains(&expert))
        };
        let missing = |set: usize| {
            (0..sizes.experts as u32)
                .filter(|e| !held(set, *e))
                .collect::<Vec<u32>>()
        };
        let rest: Vec<Vec<u32>> = (0..sizes.sets).map(missing).collect();
        let lists: Vec<Vec<Vec<u32>>> = self
            .ranks
            .iter()
            .enumerate()
            .map(|(rank, k)| match k {
                Some(k) if rank != absent.rank => k.state.experts.clone(),
                _ => rest.clone(),
            })
            .collect();
        Some((group_planner::from_lists(&lists, sizes.sets), first))
    }

    fn plan(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        let period = now.since(self.planned);
        self.planned = now;
        let Some(sizes) = self.sizes else { return };
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
        if self.pursuit.is_some() {
            return;
        }
        let Some((current, view)) = self.current(views) else {
            return;
        };
        let Some(planner) = &self.planner else { return };
        let Some(plan) = planner.plan(&current) else { return };
        info!(self.log, "map planned"; "skew" => plan.skew_before, "skew_planned" => plan.skew_after, "copies" => plan.copies,
            "in_force" => view.in_force, "epoch" => view.epoch, "pace" => self.pace, "slowest" => self.slowest());
        self.pursue(&plan.map, view.epoch, now);
    }

    /// Makes the map in force a goal again, under a new version, to finish a hold that nothing else can finish.
    fn keep_map(&mut self, views: &[Option<held_switch::RankView>], now: Time) {
        if let Some((current, view)) = self.current(views).or_else(|| self.current_without(views)) {
            info!(self.log, "map kept to finish a hold"; "in_force" => view.in_force, "epoch" => view.epoch);
            self.pursue(&current, view.epoch, now);
        }
    }

    fn pursue(&mut self, map: &group_planner::GroupMap, epoch: u64, now: Time) {
        self.made += 1;
        let lists = |placement: &rebalance::Placement| {
            let ranks = placement.ranks().iter();
            ranks.map(|held| held.iter().map(|e| e.0).collect()).collect()
        };
        self.pursuit = Some(Pursuit {
            goal: held_switch::TargetMap {
                version: self.number * VERSIONS_PER_NUMBER + self.made,
                epoch,
                holder: self.holder_of(self.own_rank),
                own_rank: self.own_rank,
                pass: 0,
                armed_for: None,
                released: None,
            },
            map: map.iter().map(lists).collect(),
            since: now,
        });
    }
}
