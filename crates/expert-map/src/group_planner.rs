//! Plans the maps of a whole group, set by set, from counts that ranks report.
//!
//! The load it answers: demand for experts that shifts every few seconds. Recent counts weigh most, and a new map is
//! proposed only when its smaller skew is worth the experts to be copied.

use std::time::Duration;

use crate::expert;
use crate::rebalance;
use crate::time_constant;

/// Time over which counts are averaged. Longer averages lag behind shifts, shorter ones follow single prompts.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(450);
/// Least share of the demand that has to be elsewhere for the averages to begin anew. Between two looks a quarter of a
/// second apart it is 0.02 to 0.08 on the users' sites, the less the larger a group, and 0.2 to 0.4 when demand shifts.
const MIN_SHIFT: f64 = 0.06;
/// The same in multiples of what is usual between two looks.
const SHIFT_RATIO: f64 = 2.5;
/// What is taken as usual before anything is known.
const INITIAL_BASELINE_DISTANCE: f64 = 0.04;
/// Looks over which the usual share is averaged.
const BASELINE_SAMPLES: f64 = 8.0;
/// Counts for each expert of a set below which chance alone moves more than that.
const MIN_COUNTS_PER_EXPERT: f64 = 50.0;
/// Fall of one set's skew that pays for one copied expert, times the number of ranks: what a copy costs is the same in
/// any group, and what a smaller skew saves grows with the group.
const COPY_COST: f64 = 0.36;
/// Least fall of the mean skew that is worth a switch, which slows the group while experts are copied.
const MIN_SKEW_REDUCTION: f64 = 0.05;

/// Mean skew from which on a map is urgent: passes take pauses over their objective until it is in force.
const URGENT_SKEW: f64 = 2.0;
/// New experts of a set that a rank copies for an urgent map. Half as many are there in half the time, and the next map
/// brings the rest.
const URGENT_MAX_NEW_PER_RANK: usize = 1;

/// Size of a group's maps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupShape {
    /// Ranks.
    pub ranks: usize,
    /// Sets of layers with a map each.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Limits of each set's map.
    pub limits: rebalance::RebalanceLimits,
}

/// Maps of all sets.
pub type GroupMap = Vec<rebalance::Placement>;

/// Counts of one rank, as last reported.
#[derive(Debug, Clone, Default)]
struct RankCounts {
    /// When the rank was started, which begins its counts anew.
    started_at: u64,
    counts: Vec<u64>,
}

/// Averages of a group's expert loads.
#[derive(Debug, Clone)]
pub struct GroupPlanner {
    shape: GroupShape,
    ranks: Vec<RankCounts>,
    /// Times as long as usual that each rank takes for its work; at least 1.
    slowness: Vec<f64>,
    /// Averaged loads, set by set; no unit.
    loads: Vec<f64>,
    /// Counts that came since the last fold.
    new_counts: Vec<f64>,
    /// Demand moved within the last period, whose counts are therefore of both the former and the new demand.
    is_settling: bool,
    /// Share of the demand that is elsewhere from one look to the next while nothing shifts.
    baseline_distance: f64,
}

/// A plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The maps.
    pub map: GroupMap,
    /// Mean skew of the map in force under the averaged loads.
    pub skew_before: f64,
    /// The same of the new one.
    pub skew_after: f64,
    /// Experts to be copied.
    pub copies: usize,
}

impl GroupPlanner {
    /// A planner that knows no loads.
    pub fn new(shape: GroupShape) -> Self {
        let total = shape.sets * shape.experts;
        Self {
            shape,
            ranks: vec![RankCounts::default(); shape.ranks],
            slowness: vec![1.0; shape.ranks],
            loads: vec![0.0; total],
            new_counts: vec![0.0; total],
            is_settling: false,
            baseline_distance: INITIAL_BASELINE_DISTANCE,
        }
    }

    /// The group's size.
    pub fn shape(&self) -> GroupShape {
        self.shape
    }

    /// Takes the counts of one rank, which grow from its start at `born`.
    pub fn observe(&mut self, rank: usize, started_at: u64, counts: &[u64]) {
        if counts.len() != self.new_counts.len() || rank >= self.ranks.len() {
            return;
        }
        let known = &mut self.ranks[rank];
        // Counts from before this planner looked tell nothing about now.
        if known.started_at == started_at && known.counts.len() == counts.len() {
            for (new, (now, then)) in self.new_counts.iter_mut().zip(counts.iter().zip(&known.counts)) {
                *new += now.saturating_sub(*then) as f64;
            }
        }
        known.started_at = started_at;
        known.counts = counts.to_vec();
    }

    /// Notes that a rank takes `slowness` times as long as usual.
    pub fn set_slowness(&mut self, rank: usize, slowness: f64) {
        if let Some(known) = self.slowness.get_mut(rank) {
            *known = slowness.max(1.0);
        }
    }

    /// Folds the counts of the last `period` into the averages. When demand has moved, the averages begin anew with what
    /// came in that period.
    pub fn aggregate_counts(&mut self, period: Duration) {
        let has_shifted = self.detect_shift();
        self.is_settling = has_shifted && !self.is_settling;
        let retained = if has_shifted {
            0.0
        } else {
            time_constant::decay(period, LOAD_TIME_CONSTANT)
        };
        for (load, new) in self.loads.iter_mut().zip(&mut self.new_counts) {
            *load = *load * retained + *new;
            *new = 0.0;
        }
    }

    /// Whether the counts since the last fold tell of other demand than the averages do.
    fn detect_shift(&mut self) -> bool {
        let sets = 0..self.shape.sets;
        let distances = sets
            .filter_map(|set| demand_distance(self.set_slice(&self.loads, set), self.set_slice(&self.new_counts, set)));
        let (sum, count) = distances.fold((0.0, 0), |(sum, count), d| (sum + d, count + 1));
        if count == 0 {
            return false;
        }
        let distance = sum / f64::from(count);
        let has_shifted = distance >= MIN_SHIFT.max(self.baseline_distance * SHIFT_RATIO);
        if !has_shifted {
            self.baseline_distance += (distance - self.baseline_distance) / BASELINE_SAMPLES;
        }
        has_shifted
    }

    /// Whether any load is known.
    pub fn has_loads(&self) -> bool {
        self.loads.iter().any(|load| *load > 0.0)
    }

    /// Mean skew of `map`.
    pub fn skew(&self, map: &GroupMap) -> f64 {
        let skews = map
            .iter()
            .enumerate()
            .map(|(set, placement)| placement.skew(self.set_loads(set), &self.slowness));
        skews.sum::<f64>() / self.shape.sets.max(1) as f64
    }

    /// Whether demand has just moved. A map made now would suit neither the former demand nor the new one, and while it is
    /// brought into force no other can be.
    pub fn is_settling(&self) -> bool {
        self.is_settling
    }

    /// A better map than `current`, if one is worth its copies.
    pub fn plan(&self, current: &GroupMap) -> Option<Plan> {
        if self.is_settling || !self.has_loads() || current.len() != self.shape.sets {
            return None;
        }
        let copy_cost = COPY_COST / self.shape.ranks.max(1) as f64;
        let limits = self.limits_for_skew(self.skew(current));
        let placements = current.iter().enumerate();
        let map: GroupMap = placements
            .map(|(set, p)| rebalance::rebalance(p, self.set_loads(set), &self.slowness, limits, copy_cost).placement)
            .collect();
        let (skew_before, skew_after) = (self.skew(current), self.skew(&map));
        let copies = map.iter().zip(current).map(|(new, old)| new.copies_from(old)).sum();
        (skew_before - skew_after >= MIN_SKEW_REDUCTION).then_some(Plan {
            map,
            skew_before,
            skew_after,
            copies,
        })
    }

    /// Limits of the next map when the map in force has this mean skew.
    fn limits_for_skew(&self, skew: f64) -> rebalance::RebalanceLimits {
        let limits = self.shape.limits;
        if skew < URGENT_SKEW {
            return limits;
        }
        rebalance::RebalanceLimits {
            max_new_per_rank: limits.max_new_per_rank.min(URGENT_MAX_NEW_PER_RANK),
            ..limits
        }
    }

    fn set_loads(&self, set: usize) -> &[f64] {
        self.set_slice(&self.loads, set)
    }

    fn set_slice<'a>(&self, loads: &'a [f64], set: usize) -> &'a [f64] {
        let experts = self.shape.experts;
        loads.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }
}

/// Share of the demand that is elsewhere in `b` than in `a`; `None` when one of them shows too little to tell.
fn demand_distance(a: &[f64], b: &[f64]) -> Option<f64> {
    let (sum_a, sum_b): (f64, f64) = (a.iter().sum(), b.iter().sum());
    let min_counts = MIN_COUNTS_PER_EXPERT * a.len() as f64;
    if sum_a <= 0.0 || sum_b < min_counts {
        return None;
    }
    let differences = a.iter().zip(b).map(|(a, b)| (a / sum_a - b / sum_b).abs());
    Some(differences.sum::<f64>() / 2.0)
}

/// The maps that ranks report: for each rank, its experts by set.
pub fn from_lists(lists: &[Vec<Vec<u32>>], sets: usize) -> GroupMap {
    let set_placement = |set: usize| {
        let ranks = lists.iter().map(|by_set| {
            let experts = by_set.get(set).map(Vec::as_slice).unwrap_or_default();
            experts.iter().map(|e| expert::Expert(*e)).collect()
        });
        rebalance::Placement::new(ranks.collect())
    };
    (0..sets).map(set_placement).collect()
}
