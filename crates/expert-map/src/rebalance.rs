//! Rebalances one set of experts whose ranks hold up to a bounded number each, by the fewest copies that buy the most.
//!
//! Unlike [`planner`](crate::planner), which fills every slot of a fixed layout, this serves engines that start with free
//! places, and that copy at most so many new experts to a rank at once. A larger change takes several maps.
//!
//! The load it answers: a few hot experts that change every few seconds, on ranks that step together, so that the most
//! loaded rank sets the pace.

use crate::expert;

/// Limits of one new map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RebalanceLimits {
    /// Most experts of the set that a rank holds.
    pub max_per_rank: usize,
    /// Most experts that are new to a rank in one map.
    pub max_new_per_rank: usize,
}

/// Which rank holds which experts of one set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Experts of each rank, sorted, without repetition.
    ranks: Vec<Vec<expert::Expert>>,
}

impl Placement {
    /// A placement from each rank's experts.
    pub fn new(mut ranks: Vec<Vec<expert::Expert>>) -> Self {
        for held in &mut ranks {
            held.sort_unstable();
            held.dedup();
        }
        Self { ranks }
    }

    /// Experts of each rank, sorted.
    pub fn ranks(&self) -> &[Vec<expert::Expert>] {
        &self.ranks
    }

    /// Whether `rank` holds `expert`.
    pub fn holds(&self, rank: usize, expert: expert::Expert) -> bool {
        self.ranks[rank].binary_search(&expert).is_ok()
    }

    /// Ranks that hold each of `experts` experts.
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

    /// Work of each rank when an expert's load is shared evenly by its holders, and a rank takes `slowness` times as long
    /// as usual for it.
    pub fn rank_loads(&self, loads: &[f64], slowness: &[f64]) -> Vec<f64> {
        let holders = self.holders(loads.len());
        let share = |e: &expert::Expert| loads[e.index()] / holders[e.index()].len() as f64;
        let ranks = self.ranks.iter().zip(slowness);
        ranks
            .map(|(held, slow)| slow * held.iter().map(share).sum::<f64>())
            .collect()
    }

    /// Largest work of a rank over what each would have if work were spread evenly over ranks of usual speed; 1 when there
    /// is no load.
    pub fn skew(&self, loads: &[f64], slowness: &[f64]) -> f64 {
        let ranks = self.rank_loads(loads, slowness);
        let mean = loads.iter().sum::<f64>() / ranks.len().max(1) as f64;
        let largest = ranks.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { largest / mean } else { 1.0 }
    }

    /// Experts that ranks hold here and not in `before`.
    pub fn copies_from(&self, before: &Self) -> usize {
        let new =
            |(rank, held): (usize, &Vec<expert::Expert>)| held.iter().filter(|e| !before.holds(rank, **e)).count();
        self.ranks.iter().enumerate().map(new).sum()
    }
}

/// One change of the map. A rank that has no free place gives up an expert that others hold too.
#[derive(Debug, Clone, Copy)]
struct Change {
    expert: expert::Expert,
    /// Takes the expert.
    to: usize,
    /// Gives the expert up, when it is moved and not replicated.
    from: Option<usize>,
    /// Goes from `to`: to `from` when both are there and it has no other holder, else away.
    gone: Option<expert::Expert>,
}

/// Width over which the maximum of the rank loads is smoothed, in multiples of the mean.
const WIDTH: f64 = 0.04;
/// Most loaded ranks that are looked at for each change.
const HOT_RANKS: usize = 2;
/// Least loaded ranks that are looked at for each change. Few suffice, since the best ones change with each change, and
/// the search has to be quick on a small share of a core.
const COOL_RANKS: usize = 16;

struct Search<'a> {
    loads: Vec<f64>,
    slowness: &'a [f64],
    before: &'a Placement,
    placement: Placement,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Load of each rank in multiples of the mean.
    ranks: Vec<f64>,
    /// Largest of `ranks`.
    largest: f64,
    /// Sum over `ranks` of [`term`](Self::term).
    sum: f64,
    considered: u64,
    limits: RebalanceLimits,
}

/// A new map and what it took to find.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rebalanced {
    /// The map.
    pub placement: Placement,
    /// Changes that were considered; the time of a search grows with it.
    pub considered: u64,
}

/// A new map from `before` for the experts' `loads` on ranks that take `slowness` times as long as usual. `price` is the
/// fall of the skew that pays for one copied expert.
pub fn rebalance(
    before: &Placement,
    loads: &[f64],
    slowness: &[f64],
    limits: RebalanceLimits,
    price: f64,
) -> Rebalanced {
    let mean = loads.iter().sum::<f64>() / before.ranks.len().max(1) as f64;
    if mean <= 0.0 {
        return Rebalanced {
            placement: before.clone(),
            considered: 0,
        };
    }
    let loads: Vec<f64> = loads.iter().map(|load| load / mean).collect();
    let mut search = Search {
        holders: before.holders(loads.len()),
        ranks: before.rank_loads(&loads, slowness),
        slowness,
        placement: before.clone(),
        loads,
        before,
        largest: 0.0,
        sum: 0.0,
        considered: 0,
        limits,
    };
    search.measure();
    let most = before.ranks.len() * limits.max_per_rank;
    for _ in 0..most {
        let Some((change, gain)) = search.best(price) else {
            break;
        };
        if gain <= 0.0 {
            break;
        }
        search.apply(change);
    }
    Rebalanced {
        placement: search.placement,
        considered: search.considered,
    }
}

impl Search<'_> {
    /// The change whose gain exceeds the price of its copies by most.
    fn best(&mut self, price: f64) -> Option<(Change, f64)> {
        let mut order: Vec<usize> = (0..self.ranks.len()).collect();
        order.sort_by(|a, b| self.ranks[*b].total_cmp(&self.ranks[*a]));
        let cool: Vec<usize> = order.iter().rev().take(COOL_RANKS).copied().collect();
        let mut best: Option<(Change, f64)> = None;
        let mut deltas = Vec::with_capacity(self.ranks.len());
        let mut considered = 0;
        for hot in order.iter().take(HOT_RANKS) {
            for expert in &self.placement.ranks[*hot] {
                for to in cool.iter().filter(|to| !self.placement.holds(**to, *expert)) {
                    self.offers(*expert, *hot, *to, &mut |change| {
                        considered += 1;
                        let gain = self.gain(change, &mut deltas) - price * self.copies(change) as f64;
                        if best.is_none_or(|(_, known)| gain > known) {
                            best = Some((change, gain));
                        }
                    });
                }
            }
        }
        self.considered += considered;
        best
    }

    fn offers<F>(&self, expert: expert::Expert, hot: usize, to: usize, consider: &mut F)
    where
        F: FnMut(Change),
    {
        let has_place = self.placement.ranks[to].len() < self.limits.max_per_rank;
        let free = has_place.then_some(None);
        let given_up = self.placement.ranks[to].iter().copied().map(Some);
        for gone in free.into_iter().chain(given_up) {
            for from in [None, Some(hot)] {
                let change = Change { expert, to, from, gone };
                if self.is_allowed(change) {
                    consider(change);
                }
            }
        }
    }

    fn is_swap(&self, change: Change) -> bool {
        let only = |e: expert::Expert| self.holders[e.index()].len() < 2;
        change.from.is_some() && change.gone.is_some_and(only)
    }

    fn is_allowed(&self, change: Change) -> bool {
        let last_gone = change.gone.is_some_and(|gone| self.holders[gone.index()].len() < 2);
        if last_gone && change.from.is_none() {
            return false;
        }
        let back = change.from.filter(|_| self.is_swap(change)).zip(change.gone);
        let room = |rank: usize, expert: expert::Expert| {
            let held = &self.placement.ranks[rank];
            let new = held.iter().filter(|e| !self.before.holds(rank, **e)).count();
            self.before.holds(rank, expert) || new < self.limits.max_new_per_rank
        };
        let back_fits = back.is_none_or(|(rank, expert)| !self.placement.holds(rank, expert) && room(rank, expert));
        room(change.to, change.expert) && back_fits
    }

    fn copies(&self, change: Change) -> usize {
        let new = |rank: usize, expert: expert::Expert| usize::from(!self.before.holds(rank, expert));
        let back = change.from.filter(|_| self.is_swap(change)).zip(change.gone);
        new(change.to, change.expert) + back.map_or(0, |(rank, expert)| new(rank, expert))
    }

    /// Adds what the change does to the loads of ranks.
    fn deltas(&self, change: Change, deltas: &mut Vec<(usize, f64)>) {
        deltas.clear();
        self.delta_of(change.expert, Some(change.to), change.from, deltas);
        if let Some(gone) = change.gone {
            let back = change.from.filter(|_| self.is_swap(change));
            self.delta_of(gone, back, Some(change.to), deltas);
        }
    }

    /// Adds what it does to the loads of ranks when `taker` begins and `giver` ceases to hold `expert`.
    fn delta_of(
        &self,
        expert: expert::Expert,
        taker: Option<usize>,
        giver: Option<usize>,
        deltas: &mut Vec<(usize, f64)>,
    ) {
        let load = self.loads[expert.index()];
        let holders = &self.holders[expert.index()];
        let before = load / holders.len() as f64;
        let count = holders.len() + usize::from(taker.is_some()) - usize::from(giver.is_some());
        let after = load / count as f64;
        let stay = holders.iter().filter(|rank| Some(**rank) != giver);
        let slow = |rank: usize| self.slowness[rank];
        deltas.extend(stay.map(|rank| (*rank, (after - before) * slow(*rank))));
        deltas.extend(taker.map(|rank| (rank, after * slow(rank))));
        deltas.extend(giver.map(|rank| (rank, -before * slow(rank))));
    }

    /// Fall of the smooth maximum of the rank loads.
    fn gain(&self, change: Change, deltas: &mut Vec<(usize, f64)>) -> f64 {
        self.deltas(change, deltas);
        deltas.sort_unstable_by_key(|(rank, _)| *rank);
        let mut sum = self.sum;
        for part in deltas.chunk_by(|a, b| a.0 == b.0) {
            let load = self.ranks[part[0].0];
            let delta: f64 = part.iter().map(|(_, delta)| delta).sum();
            sum += self.term(load + delta) - self.term(load);
        }
        WIDTH * (self.sum / sum.max(f64::MIN_POSITIVE)).ln()
    }

    /// Part of a rank in the smooth maximum, relative to the largest load.
    fn term(&self, load: f64) -> f64 {
        ((load - self.largest) / WIDTH).exp()
    }

    fn measure(&mut self) {
        self.largest = self.ranks.iter().copied().fold(0.0, f64::max);
        self.sum = self.ranks.iter().map(|load| self.term(*load)).sum();
    }

    fn apply(&mut self, change: Change) {
        let mut deltas = Vec::new();
        self.deltas(change, &mut deltas);
        for (rank, delta) in deltas {
            self.ranks[rank] += delta;
        }
        let back = change.from.filter(|_| self.is_swap(change));
        self.hand_over(change.expert, Some(change.to), change.from);
        if let Some(gone) = change.gone {
            self.hand_over(gone, back, Some(change.to));
        }
        self.measure();
    }

    fn hand_over(&mut self, expert: expert::Expert, taker: Option<usize>, giver: Option<usize>) {
        let holders = &mut self.holders[expert.index()];
        if let Some(giver) = giver {
            holders.retain(|rank| *rank != giver);
            self.placement.ranks[giver].retain(|held| *held != expert);
        }
        if let Some(taker) = taker {
            holders.push(taker);
            let held = &mut self.placement.ranks[taker];
            if let Err(at) = held.binary_search(&expert) {
                held.insert(at, expert);
            }
        }
    }
}
