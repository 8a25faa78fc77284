//! Searches for the changes of a map with the largest gain.
//!
//! The search considers the slots of the most loaded ranks. It tries to swap each of them with a slot of another rank,
//! to add a replica of its expert in place of an expert with several replicas, and to replace a redundant replica with
//! a less loaded expert. Gain is measured on a smooth maximum of the rank loads, so that reducing the load of the
//! second most loaded rank also counts: in a noisy period it is not known in advance which rank will be the slowest.

use crate::expert;
use crate::layout;
use crate::shape;

/// Number of most loaded ranks considered in each iteration.
const HOT_RANKS: usize = 3;

/// A change of one or two slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Two slots exchange their experts.
    Swap(usize, usize),
    /// A slot receives a different expert.
    Assign(usize, expert::Expert),
}

impl Change {
    /// Returns the number of slots whose expert changes.
    pub const fn changed_slots(self) -> usize {
        match self {
            Self::Swap(..) => 2,
            Self::Assign(..) => 1,
        }
    }
}

/// A change and its gain.
#[derive(Debug, Clone, Copy)]
pub struct CandidateChange {
    /// The change.
    pub change: Change,
    /// Reduction of the smooth maximum of the rank loads, in multiples of the mean load.
    pub gain: f64,
}

/// The state of a search.
#[derive(Debug, Clone)]
pub struct Search {
    shape: shape::Shape,
    slots: Vec<expert::Expert>,
    /// Load of each expert, in multiples of the mean rank load.
    loads: Vec<f64>,
    /// Slots of each expert, sorted.
    expert_slots: Vec<Vec<u32>>,
    /// Load of each rank, in multiples of the mean load.
    rank_loads: Vec<f64>,
    /// Width over which the maximum is smoothed, in multiples of the mean load; above zero.
    smoothing_width: f64,
    /// Sum of [`exp_term`](Self::exp_term) over `rank_loads`.
    exp_sum: f64,
}

/// The load of a rank after a change.
#[derive(Debug, Clone, Copy)]
struct NewLoad {
    rank: usize,
    load: f64,
}

impl Search {
    /// Starts a search from `layout` under the experts' `loads`.
    pub fn new(layout: &layout::Layout, loads: &[f64], smoothing_width: f64) -> Self {
        let shape = layout.shape();
        let mean = loads.iter().sum::<f64>() / shape.ranks() as f64;
        let scale = if mean > 0.0 { 1.0 / mean } else { 0.0 };
        let mut expert_slots = vec![Vec::new(); shape.experts()];
        for (slot, expert) in layout.slots().iter().enumerate() {
            expert_slots[expert.index()].push(slot as u32);
        }
        let mut search = Self {
            shape,
            slots: layout.slots().to_vec(),
            loads: loads.iter().map(|load| load * scale).collect(),
            expert_slots,
            rank_loads: layout.rank_loads(loads).into_iter().map(|load| load * scale).collect(),
            smoothing_width,
            exp_sum: 0.0,
        };
        search.exp_sum = search.rank_loads.iter().map(|load| search.exp_term(*load)).sum();
        search
    }

    /// Returns the current map.
    pub fn slots(&self) -> &[expert::Expert] {
        &self.slots
    }

    /// Returns the largest rank load, in multiples of the mean load.
    pub fn skew(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    /// Returns a rank's term in the smooth maximum.
    fn exp_term(&self, load: f64) -> f64 {
        ((load - 1.0) / self.smoothing_width).exp()
    }

    fn rank_of(&self, slot: usize) -> usize {
        slot / self.shape.slots_per_rank()
    }

    /// Returns the change with the largest gain per changed slot, or `None` if no change helps.
    pub fn best_change(&self) -> Option<CandidateChange> {
        let mut best: Option<CandidateChange> = None;
        let mut consider = |change, gain: f64| {
            let gain_per_slot = |candidate: &CandidateChange| candidate.gain / candidate.change.changed_slots() as f64;
            let candidate = CandidateChange { change, gain };
            if gain > 0.0
                && best
                    .as_ref()
                    .is_none_or(|b| gain_per_slot(&candidate) > gain_per_slot(b))
            {
                best = Some(candidate);
            }
        };
        for hot in self.hot_ranks() {
            let first = hot * self.shape.slots_per_rank();
            for slot in first..first + self.shape.slots_per_rank() {
                self.try_swaps(slot, &mut consider);
                self.try_replications(slot, &mut consider);
                self.try_replacements(slot, &mut consider);
            }
        }
        best
    }

    fn hot_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.shape.ranks()).collect();
        ranks.sort_by(|a, b| self.rank_loads[*b].total_cmp(&self.rank_loads[*a]));
        ranks.truncate(HOT_RANKS);
        ranks
    }

    /// Returns the load of one replica of an expert.
    fn replica_load(&self, expert: expert::Expert) -> f64 {
        self.loads[expert.index()] / self.expert_slots[expert.index()].len() as f64
    }

    /// Tries to swap the slot's expert with a less loaded one on a less loaded rank.
    fn try_swaps<F>(&self, slot: usize, consider: &mut F)
    where
        F: FnMut(Change, f64),
    {
        let (rank, load) = (self.rank_of(slot), self.replica_load(self.slots[slot]));
        for other in 0..self.slots.len() {
            let other_rank = self.rank_of(other);
            let other_load = self.replica_load(self.slots[other]);
            let reduces_imbalance = load > other_load && self.rank_loads[other_rank] < self.rank_loads[rank];
            if other_rank == rank || !reduces_imbalance {
                continue;
            }
            let shift = load - other_load;
            let gain = self.gain(&[
                NewLoad {
                    rank,
                    load: self.rank_loads[rank] - shift,
                },
                NewLoad {
                    rank: other_rank,
                    load: self.rank_loads[other_rank] + shift,
                },
            ]);
            consider(Change::Swap(slot, other), gain);
        }
    }

    /// Tries to add a replica of the slot's expert on another rank, which takes over part of its load.
    fn try_replications<F>(&self, slot: usize, consider: &mut F)
    where
        F: FnMut(Change, f64),
    {
        let expert = self.slots[slot];
        for other in 0..self.slots.len() {
            let evicted = self.slots[other];
            let is_replicated = self.expert_slots[evicted.index()].len() > 1;
            if !is_replicated || evicted == expert || self.rank_of(other) == self.rank_of(slot) {
                continue;
            }
            consider(Change::Assign(other, expert), self.gain_of_assign(other, expert));
        }
    }

    /// Tries to replace a redundant replica in the slot with a less loaded expert.
    fn try_replacements<F>(&self, slot: usize, consider: &mut F)
    where
        F: FnMut(Change, f64),
    {
        let evicted = self.slots[slot];
        if self.expert_slots[evicted.index()].len() < 2 {
            return;
        }
        for index in 0..self.shape.experts() {
            let expert = expert::Expert(index as u32);
            let after = self.loads[index] / (self.expert_slots[index].len() + 1) as f64;
            if expert != evicted && after < self.replica_load(evicted) {
                consider(Change::Assign(slot, expert), self.gain_of_assign(slot, expert));
            }
        }
    }

    fn gain_of_assign(&self, slot: usize, expert: expert::Expert) -> f64 {
        let mut changed: Vec<NewLoad> = Vec::with_capacity(16);
        self.loads_after_assign(slot, expert, &mut changed);
        self.gain(&changed)
    }

    /// Appends the loads of all ranks that change when the slot receives the expert.
    fn loads_after_assign(&self, slot: usize, expert: expert::Expert, changed: &mut Vec<NewLoad>) {
        let evicted = self.slots[slot];
        let (evicted_replicas, expert_replicas) = (
            self.expert_slots[evicted.index()].len() as f64,
            self.expert_slots[expert.index()].len() as f64,
        );
        let evicted_rise =
            self.loads[evicted.index()] / (evicted_replicas - 1.0) - self.loads[evicted.index()] / evicted_replicas;
        let expert_load = self.loads[expert.index()] / (expert_replicas + 1.0);
        let expert_fall = self.loads[expert.index()] / expert_replicas - expert_load;
        let mut add = |rank: usize, load: f64| match changed.iter_mut().find(|c| c.rank == rank) {
            Some(known) => known.load += load,
            None => changed.push(NewLoad {
                rank,
                load: self.rank_loads[rank] + load,
            }),
        };
        add(self.rank_of(slot), expert_load - self.replica_load(evicted));
        for other in &self.expert_slots[evicted.index()] {
            if *other as usize != slot {
                add(self.rank_of(*other as usize), evicted_rise);
            }
        }
        for other in &self.expert_slots[expert.index()] {
            add(self.rank_of(*other as usize), -expert_fall);
        }
    }

    /// Returns the reduction of the smooth maximum when ranks change to new loads.
    fn gain(&self, changed: &[NewLoad]) -> f64 {
        let change: f64 = changed
            .iter()
            .map(|c| self.exp_term(c.load) - self.exp_term(self.rank_loads[c.rank]))
            .sum();
        let after = (self.exp_sum + change).max(f64::MIN_POSITIVE);
        self.smoothing_width * (self.exp_sum / after).ln()
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Swap(a, b) => {
                let (first, second) = (self.slots[a], self.slots[b]);
                let shift = self.replica_load(first) - self.replica_load(second);
                let (rank_a, rank_b) = (self.rank_of(a), self.rank_of(b));
                self.rank_loads[rank_a] -= shift;
                self.rank_loads[rank_b] += shift;
                self.replace(a, second);
                self.replace(b, first);
            }
            Change::Assign(slot, expert) => {
                let mut changed = Vec::new();
                self.loads_after_assign(slot, expert, &mut changed);
                for new in changed {
                    self.rank_loads[new.rank] = new.load;
                }
                self.replace(slot, expert);
            }
        }
        self.exp_sum = self.rank_loads.iter().map(|load| self.exp_term(*load)).sum();
    }

    fn replace(&mut self, slot: usize, expert: expert::Expert) {
        let evicted = self.slots[slot];
        let slot_index = slot as u32;
        self.expert_slots[evicted.index()].retain(|p| *p != slot_index);
        let slots = &mut self.expert_slots[expert.index()];
        if let Err(at) = slots.binary_search(&slot_index) {
            slots.insert(at, slot_index);
        }
        self.slots[slot] = expert;
    }
}
