//! Rebalances one set of experts across ranks of limited capacity, with as few copies as possible.
//!
//! Unlike [`planner`](crate::planner), which fills every slot of a fixed layout, this module is for engines that start
//! with free capacity and copy only a limited number of new experts to a rank at once. A larger change takes several
//! maps.
//!
//! It is designed for a few hot experts that change every few seconds, on ranks that run each step together, so that
//! the most loaded rank determines the speed of the group.

use crate::expert;

/// Limits of a new map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RebalanceLimits {
    /// The largest number of experts of the set that a rank may hold.
    pub max_per_rank: usize,
    /// The largest number of experts of the set that a rank may newly receive in one map.
    pub max_new_per_rank: usize,
}

/// Limits of a new map of all sets of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupLimits {
    /// The limits of each set.
    pub set: RebalanceLimits,
    /// The largest number of experts of all sets together that a rank may newly receive in one map.
    pub max_new_per_rank: usize,
}

/// The assignment of the experts of one set to ranks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The experts of each rank, sorted and without duplicates.
    ranks: Vec<Vec<expert::Expert>>,
}

impl Placement {
    /// Creates a placement from the experts of each rank.
    pub fn new(mut ranks: Vec<Vec<expert::Expert>>) -> Self {
        for held in &mut ranks {
            held.sort_unstable();
            held.dedup();
        }
        Self { ranks }
    }

    /// Returns the experts of each rank, sorted.
    pub fn ranks(&self) -> &[Vec<expert::Expert>] {
        &self.ranks
    }

    /// Returns whether `rank` holds `expert`.
    pub fn holds(&self, rank: usize, expert: expert::Expert) -> bool {
        self.ranks[rank].binary_search(&expert).is_ok()
    }

    /// Returns the ranks that hold each of the first `experts` experts.
    pub fn holders(&self, experts: usize) -> Vec<Vec<usize>> {
        let mut holders = vec![Vec::new(); experts];
        for (rank, held) in self.ranks.iter().enumerate() {
            for expert in held {
                if let Some(list) = holders.get_mut(expert.index()) {
                    list.push(rank);
                }
            }
        }
        holders
    }

    /// Returns the work of each rank, where an expert's load is shared equally by its holders and multiplied by the
    /// rank's `slowness`.
    pub fn rank_loads(&self, loads: &[f64], slowness: &[f64]) -> Vec<f64> {
        let holders = self.holders(loads.len());
        let share = |e: &expert::Expert| loads[e.index()] / holders[e.index()].len() as f64;
        let ranks = self.ranks.iter().zip(slowness);
        ranks
            .map(|(held, slow)| slow * held.iter().map(share).sum::<f64>())
            .collect()
    }

    /// Returns the largest work of a rank relative to the work per rank if it were spread evenly over ranks of slowness
    /// 1, or 1 if there is no load.
    pub fn skew(&self, loads: &[f64], slowness: &[f64]) -> f64 {
        let ranks = self.rank_loads(loads, slowness);
        let mean = loads.iter().sum::<f64>() / ranks.len().max(1) as f64;
        let largest = ranks.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { largest / mean } else { 1.0 }
    }

    /// Returns the number of experts that ranks hold in this placement but not in `before`.
    pub fn copies_from(&self, before: &Self) -> usize {
        self.rank_copies_from(before).sum()
    }

    /// Returns, for each rank, the number of experts that it holds in this placement but not in `before`.
    pub fn rank_copies_from(&self, before: &Self) -> impl Iterator<Item = usize> {
        let ranks = self.ranks.iter().enumerate();
        ranks.map(|(rank, held)| held.iter().filter(|e| !before.holds(rank, **e)).count())
    }
}

/// A change of the placement. The receiving rank may give up an expert in exchange, and has to if it is at capacity.
#[derive(Debug, Clone, Copy)]
struct Change {
    expert: expert::Expert,
    /// The rank that receives the expert.
    to: usize,
    /// The rank that gives up the expert if it is moved; `None` if it is replicated.
    from: Option<usize>,
    /// The expert that `to` gives up. If this is its last replica, it moves to `from` (a swap); otherwise it is
    /// dropped.
    displaced: Option<expert::Expert>,
}

/// Width over which the maximum of the rank loads is smoothed, in multiples of the mean load.
const SMOOTHING_WIDTH: f64 = 0.04;
/// Number of most loaded ranks considered in each iteration.
const HOT_RANKS: usize = 2;
/// Number of least loaded ranks considered in each iteration. A few suffice because the least loaded ranks differ from
/// one iteration to the next, and the search has to be fast on a small share of a core.
const COOL_RANKS: usize = 16;

struct Search<'a> {
    loads: Vec<f64>,
    slowness: &'a [f64],
    before: &'a Placement,
    placement: Placement,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Load of each rank, in multiples of the mean load.
    rank_loads: Vec<f64>,
    /// The largest of `rank_loads`.
    largest: f64,
    /// Sum of [`exp_term`](Self::exp_term) over `rank_loads`.
    exp_sum: f64,
    evaluated_changes: u64,
    limits: GroupLimits,
    /// The number of experts of the other sets that each rank newly receives.
    new_elsewhere: Vec<usize>,
}

/// The result of a search for a new placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rebalanced {
    /// The new placement.
    pub placement: Placement,
    /// The number of changes evaluated, which determines the duration of the search.
    pub evaluated_changes: u64,
}

/// Searches for a better placement than `before` under the experts' `loads`.
///
/// `slowness` is the relative time that each rank takes for the same work. `copy_cost` is the reduction of the skew
/// that justifies copying one expert.
pub fn rebalance(
    before: &Placement,
    loads: &[f64],
    slowness: &[f64],
    limits: RebalanceLimits,
    copy_cost: f64,
) -> Rebalanced {
    let limits = GroupLimits {
        set: limits,
        max_new_per_rank: limits.max_new_per_rank,
    };
    let mut search = Search::new(before, loads, slowness, limits);
    search.improve(copy_cost);
    Rebalanced {
        evaluated_changes: search.evaluated_changes,
        placement: search.placement,
    }
}

/// Searches for better placements of all sets of a group. `loads` has the loads of each set's experts.
///
/// The sets share each rank's limit of new experts, so the change with the largest gain in any set comes first.
pub fn rebalance_group(
    before: &[Placement],
    loads: &[&[f64]],
    slowness: &[f64],
    limits: GroupLimits,
    copy_cost: f64,
) -> Vec<Placement> {
    let sets = before.iter().zip(loads);
    let mut searches: Vec<Search<'_>> = sets.map(|(b, l)| Search::new(b, l, slowness, limits)).collect();
    let mut next: Vec<Option<(Change, f64)>> = searches.iter_mut().map(|s| s.best_change(copy_cost)).collect();
    let max_changes = before.len() * slowness.len() * limits.set.max_per_rank;
    for _ in 0..max_changes {
        let candidates = next.iter().enumerate().filter_map(|(set, n)| n.map(|n| (set, n)));
        let best = candidates.max_by(|(_, (_, a)), (_, (_, b))| a.total_cmp(b));
        let Some((set, (change, _))) = best.filter(|(_, (_, gain))| *gain > 0.0) else {
            break;
        };
        if !searches[set].is_allowed(change) {
            next[set] = searches[set].best_change(copy_cost);
            continue;
        }
        let copies_before: Vec<usize> = searches[set].placement.rank_copies_from(searches[set].before).collect();
        searches[set].apply(change);
        let copies: Vec<usize> = searches[set].placement.rank_copies_from(searches[set].before).collect();
        for (_, search) in searches.iter_mut().enumerate().filter(|(other, _)| *other != set) {
            for (rank, count) in search.new_elsewhere.iter_mut().enumerate() {
                *count = *count + copies[rank] - copies_before[rank];
            }
        }
        next[set] = searches[set].best_change(copy_cost);
    }
    searches.into_iter().map(|search| search.placement).collect()
}

impl<'a> Search<'a> {
    fn new(before: &'a Placement, loads: &[f64], slowness: &'a [f64], limits: GroupLimits) -> Self {
        let mean = loads.iter().sum::<f64>() / before.ranks.len().max(1) as f64;
        // Without any load, all experts weigh nothing and no change has a gain.
        let scale = if mean > 0.0 { mean.recip() } else { 0.0 };
        let loads: Vec<f64> = loads.iter().map(|load| load * scale).collect();
        let mut search = Self {
            holders: before.holders(loads.len()),
            rank_loads: before.rank_loads(&loads, slowness),
            slowness,
            placement: before.clone(),
            loads,
            before,
            largest: 0.0,
            exp_sum: 0.0,
            evaluated_changes: 0,
            limits,
            new_elsewhere: vec![0; before.ranks.len()],
        };
        search.refresh_totals();
        search
    }

    /// Applies the best change until none has a gain.
    fn improve(&mut self, copy_cost: f64) {
        let max_changes = self.before.ranks.len() * self.limits.set.max_per_rank;
        for _ in 0..max_changes {
            match self.best_change(copy_cost) {
                Some((change, gain)) if gain > 0.0 => self.apply(change),
                _ => break,
            }
        }
    }

    /// Returns the change with the largest gain net of the cost of its copies.
    fn best_change(&mut self, copy_cost: f64) -> Option<(Change, f64)> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|a, b| self.rank_loads[*b].total_cmp(&self.rank_loads[*a]));
        let cool: Vec<usize> = order.iter().rev().take(COOL_RANKS).copied().collect();
        let mut best: Option<(Change, f64)> = None;
        let mut deltas = Vec::with_capacity(self.rank_loads.len());
        let mut evaluated = 0;
        for hot in order.iter().take(HOT_RANKS) {
            for expert in &self.placement.ranks[*hot] {
                for to in cool.iter().filter(|to| !self.placement.holds(**to, *expert)) {
                    self.for_each_candidate(*expert, *hot, *to, &mut |change| {
                        evaluated += 1;
                        let gain = self.gain(change, &mut deltas) - copy_cost * self.copies(change) as f64;
                        if best.is_none_or(|(_, known)| gain > known) {
                            best = Some((change, gain));
                        }
                    });
                }
            }
        }
        self.evaluated_changes += evaluated;
        best
    }

    /// Calls `consider` with each permitted change that adds a replica of `expert` on `to` or moves it there from
    /// `hot`.
    fn for_each_candidate<F>(&self, expert: expert::Expert, hot: usize, to: usize, consider: &mut F)
    where
        F: FnMut(Change),
    {
        let has_capacity = self.placement.ranks[to].len() < self.limits.set.max_per_rank;
        let without_displacement = has_capacity.then_some(None);
        let displacements = self.placement.ranks[to].iter().copied().map(Some);
        for displaced in without_displacement.into_iter().chain(displacements) {
            for from in [None, Some(hot)] {
                let change = Change {
                    expert,
                    to,
                    from,
                    displaced,
                };
                if self.is_allowed(change) {
                    consider(change);
                }
            }
        }
    }

    /// Returns whether the displaced expert has no other replica and therefore has to move to `from`.
    fn is_swap(&self, change: Change) -> bool {
        let is_last_replica = |e: expert::Expert| self.holders[e.index()].len() < 2;
        change.from.is_some() && change.displaced.is_some_and(is_last_replica)
    }

    /// Returns whether the change keeps every expert and stays within the limits of new experts per rank.
    fn is_allowed(&self, change: Change) -> bool {
        let is_last_replica = change
            .displaced
            .is_some_and(|displaced| self.holders[displaced.index()].len() < 2);
        if is_last_replica && change.from.is_none() {
            return false;
        }
        let swapped = change.from.filter(|_| self.is_swap(change)).zip(change.displaced);
        let can_add = |rank: usize, expert: expert::Expert| {
            let held = &self.placement.ranks[rank];
            let new = held.iter().filter(|e| !self.before.holds(rank, **e)).count();
            let fits =
                new < self.limits.set.max_new_per_rank && new + self.new_elsewhere[rank] < self.limits.max_new_per_rank;
            self.before.holds(rank, expert) || fits
        };
        let swap_fits =
            swapped.is_none_or(|(rank, expert)| !self.placement.holds(rank, expert) && can_add(rank, expert));
        can_add(change.to, change.expert) && swap_fits
    }

    /// Returns the number of experts that ranks have to copy for this change, compared with the initial placement.
    fn copies(&self, change: Change) -> usize {
        let new = |rank: usize, expert: expert::Expert| usize::from(!self.before.holds(rank, expert));
        let swapped = change.from.filter(|_| self.is_swap(change)).zip(change.displaced);
        new(change.to, change.expert) + swapped.map_or(0, |(rank, expert)| new(rank, expert))
    }

    /// Sets `deltas` to the load differences that the change causes. A rank may occur more than once.
    fn load_deltas(&self, change: Change, deltas: &mut Vec<(usize, f64)>) {
        deltas.clear();
        self.add_deltas_of(change.expert, Some(change.to), change.from, deltas);
        if let Some(displaced) = change.displaced {
            let swapped = change.from.filter(|_| self.is_swap(change));
            self.add_deltas_of(displaced, swapped, Some(change.to), deltas);
        }
    }

    /// Adds the load differences caused by adding a replica of `expert` to one rank and removing one from another.
    fn add_deltas_of(
        &self,
        expert: expert::Expert,
        added_to: Option<usize>,
        removed_from: Option<usize>,
        deltas: &mut Vec<(usize, f64)>,
    ) {
        let load = self.loads[expert.index()];
        let holders = &self.holders[expert.index()];
        let before = load / holders.len() as f64;
        let count = holders.len() + usize::from(added_to.is_some()) - usize::from(removed_from.is_some());
        let after = load / count as f64;
        let remaining = holders.iter().filter(|rank| Some(**rank) != removed_from);
        let slowness = |rank: usize| self.slowness[rank];
        deltas.extend(remaining.map(|rank| (*rank, (after - before) * slowness(*rank))));
        deltas.extend(added_to.map(|rank| (rank, after * slowness(rank))));
        deltas.extend(removed_from.map(|rank| (rank, -before * slowness(rank))));
    }

    /// Returns the reduction of the smooth maximum of the rank loads.
    fn gain(&self, change: Change, deltas: &mut Vec<(usize, f64)>) -> f64 {
        self.load_deltas(change, deltas);
        deltas.sort_unstable_by_key(|(rank, _)| *rank);
        let mut exp_sum = self.exp_sum;
        for part in deltas.chunk_by(|a, b| a.0 == b.0) {
            let load = self.rank_loads[part[0].0];
            let delta: f64 = part.iter().map(|(_, delta)| delta).sum();
            exp_sum += self.exp_term(load + delta) - self.exp_term(load);
        }
        SMOOTHING_WIDTH * (self.exp_sum / exp_sum.max(f64::MIN_POSITIVE)).ln()
    }

    /// Returns a rank's term in the smooth maximum, relative to the largest load.
    fn exp_term(&self, load: f64) -> f64 {
        ((load - self.largest) / SMOOTHING_WIDTH).exp()
    }

    fn refresh_totals(&mut self) {
        self.largest = self.rank_loads.iter().copied().fold(0.0, f64::max);
        self.exp_sum = self.rank_loads.iter().map(|load| self.exp_term(*load)).sum();
    }

    fn apply(&mut self, change: Change) {
        let mut deltas = Vec::new();
        self.load_deltas(change, &mut deltas);
        for (rank, delta) in deltas {
            self.rank_loads[rank] += delta;
        }
        let swapped = change.from.filter(|_| self.is_swap(change));
        self.move_expert(change.expert, Some(change.to), change.from);
        if let Some(displaced) = change.displaced {
            self.move_expert(displaced, swapped, Some(change.to));
        }
        self.refresh_totals();
    }

    fn move_expert(&mut self, expert: expert::Expert, added_to: Option<usize>, removed_from: Option<usize>) {
        let holders = &mut self.holders[expert.index()];
        if let Some(removed_from) = removed_from {
            holders.retain(|rank| *rank != removed_from);
            self.placement.ranks[removed_from].retain(|held| *held != expert);
        }
        if let Some(added_to) = added_to {
            holders.push(added_to);
            let held = &mut self.placement.ranks[added_to];
            if let Err(at) = held.binary_search(&expert) {
                held.insert(at, expert);
            }
        }
    }
}
