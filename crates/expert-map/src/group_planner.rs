//! Plans the maps of a whole group, one per set of layers, from the counts that ranks report.
//!
//! The planner is designed for expert demand that shifts every few seconds. Recent counts have the highest weight, and
//! a new map is proposed only if the lower skew is worth the cost of copying experts.

use std::time::Duration;

use crate::expert;
use crate::rebalance;
use crate::time_constant;

/// Time constant of the averaged counts. Longer averages lag behind shifts of demand; shorter ones follow single
/// prompts.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(450);
/// Smallest distance between new and averaged demand that restarts the averages. Between samples 250 ms apart, the
/// distance is 0.02 to 0.08 on the users' sites under steady demand (smaller in larger groups) and 0.2 to 0.4 when
/// demand shifts.
const MIN_SHIFT: f64 = 0.06;
/// Smallest distance that restarts the averages, in multiples of the baseline distance.
const SHIFT_RATIO: f64 = 2.5;
/// Baseline distance before any distance is known.
const INITIAL_BASELINE_DISTANCE: f64 = 0.04;
/// Number of samples over which the baseline distance is averaged.
const BASELINE_SAMPLES: f64 = 8.0;
/// Smallest number of new counts per expert of a set. With fewer counts, random variation alone exceeds [`MIN_SHIFT`].
const MIN_COUNTS_PER_EXPERT: f64 = 50.0;
/// Reduction of one set's skew that justifies copying one expert, multiplied by the number of ranks: the cost of a copy
/// is the same in every group, while the benefit of a lower skew grows with the size of the group.
const COPY_COST: f64 = 0.36;
/// Smallest reduction of the mean skew that justifies a switch, because copying experts slows down the group.
const MIN_SKEW_REDUCTION: f64 = 0.05;
/// Number of sets for which a rank copies one expert of a map. A rank copies one expert after the other, and the group
/// is slower until the rank with the most copies has finished. Therefore a map only contains the copies that reduce the
/// skew most, spread over the ranks, and the next map adds others.
const SETS_PER_COPY: usize = 4;

/// The dimensions of a group's maps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupShape {
    /// The number of ranks.
    pub ranks: usize,
    /// The number of layer sets, each of which has its own map.
    pub sets: usize,
    /// The number of experts per set.
    pub experts: usize,
    /// Limits for the map of each set.
    pub limits: rebalance::RebalanceLimits,
}

/// The maps of all layer sets of a group.
pub type GroupMap = Vec<rebalance::Placement>;

/// The counts that a rank reported last.
#[derive(Debug, Clone, Default)]
struct RankCounts {
    /// The start time of the rank, whose counts begin at zero at each start.
    started_at: u64,
    counts: Vec<u64>,
}

/// Plans a group's maps from averaged expert loads.
#[derive(Debug, Clone)]
pub struct GroupPlanner {
    shape: GroupShape,
    ranks: Vec<RankCounts>,
    /// Relative time that each rank takes for the same work; at least 1.
    slowness: Vec<f64>,
    /// Averaged loads of all experts, ordered by set. Only their ratios matter.
    loads: Vec<f64>,
    /// Counts received since the last aggregation.
    new_counts: Vec<f64>,
    /// Whether demand shifted within the last period. The counts of that period mix the previous and the new demand.
    is_settling: bool,
    /// Average distance between the demand of successive samples while demand is steady.
    baseline_distance: f64,
}

/// A proposed map.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The maps of all sets.
    pub map: GroupMap,
    /// Mean skew of the active map under the averaged loads.
    pub skew_before: f64,
    /// Mean skew of the proposed map under the averaged loads.
    pub skew_after: f64,
    /// The number of experts to copy.
    pub copies: usize,
}

impl GroupPlanner {
    /// Creates a planner without any known loads.
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

    /// Returns the dimensions of the group's maps.
    pub fn shape(&self) -> GroupShape {
        self.shape
    }

    /// Adds the counts of one rank, which have accumulated since its start at `started_at`.
    pub fn observe(&mut self, rank: usize, started_at: u64, counts: &[u64]) {
        if counts.len() != self.new_counts.len() || rank >= self.ranks.len() {
            return;
        }
        let known = &mut self.ranks[rank];
        // The first counts after a start of the rank or of this planner are only a reference, because they may have
        // accumulated long before.
        if known.started_at == started_at && known.counts.len() == counts.len() {
            for (new, (now, then)) in self.new_counts.iter_mut().zip(counts.iter().zip(&known.counts)) {
                *new += now.saturating_sub(*then) as f64;
            }
        }
        known.started_at = started_at;
        known.counts = counts.to_vec();
    }

    /// Sets the relative time that a rank takes for the same work.
    pub fn set_slowness(&mut self, rank: usize, slowness: f64) {
        if let Some(known) = self.slowness.get_mut(rank) {
            *known = slowness.max(1.0);
        }
    }

    /// Adds the counts of the last `period` to the averages. If demand has shifted, the averages restart from these
    /// counts.
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

    /// Returns whether the counts since the last aggregation indicate a different demand than the averages, and updates
    /// the baseline distance if they do not.
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

    /// Returns whether any load is known.
    pub fn has_loads(&self) -> bool {
        self.loads.iter().any(|load| *load > 0.0)
    }

    /// Returns the mean skew of `map`.
    pub fn skew(&self, map: &GroupMap) -> f64 {
        let skews = map
            .iter()
            .enumerate()
            .map(|(set, placement)| placement.skew(self.set_loads(set), &self.slowness));
        skews.sum::<f64>() / self.shape.sets.max(1) as f64
    }

    /// Returns whether demand has just shifted. A map planned now would suit neither the previous nor the new demand,
    /// and would block other maps until it is active.
    pub fn is_settling(&self) -> bool {
        self.is_settling
    }

    /// Returns a better map than `current` if there is one that justifies the cost of its copies.
    pub fn plan(&self, current: &GroupMap) -> Option<Plan> {
        if self.is_settling || !self.has_loads() || current.len() != self.shape.sets {
            return None;
        }
        let copy_cost = COPY_COST / self.shape.ranks.max(1) as f64;
        let skew_before = self.skew(current);
        let loads: Vec<&[f64]> = (0..self.shape.sets).map(|set| self.set_loads(set)).collect();
        let limits = rebalance::GroupLimits {
            set: self.shape.limits,
            max_new_per_rank: self.shape.sets.div_ceil(SETS_PER_COPY),
        };
        let map = rebalance::rebalance_group(current, &loads, &self.slowness, limits, copy_cost);
        let skew_after = self.skew(&map);
        let copies = map.iter().zip(current).map(|(new, old)| new.copies_from(old)).sum();
        (skew_before - skew_after >= MIN_SKEW_REDUCTION).then_some(Plan {
            map,
            skew_before,
            skew_after,
            copies,
        })
    }

    fn set_loads(&self, set: usize) -> &[f64] {
        self.set_slice(&self.loads, set)
    }

    fn set_slice<'a>(&self, loads: &'a [f64], set: usize) -> &'a [f64] {
        let experts = self.shape.experts;
        loads.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }
}

/// Returns the share of the demand that is distributed differently in `b` than in `a`, or `None` if either has too few
/// counts.
fn demand_distance(a: &[f64], b: &[f64]) -> Option<f64> {
    let (sum_a, sum_b): (f64, f64) = (a.iter().sum(), b.iter().sum());
    let min_counts = MIN_COUNTS_PER_EXPERT * a.len() as f64;
    if sum_a <= 0.0 || sum_b < min_counts {
        return None;
    }
    let differences = a.iter().zip(b).map(|(a, b)| (a / sum_a - b / sum_b).abs());
    Some(differences.sum::<f64>() / 2.0)
}

/// Builds the maps of all sets from the experts that each rank reports, grouped by set.
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
