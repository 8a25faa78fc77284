//! Search for the moves that buy the most.
//!
//! The search looks at the slots of the most loaded ranks. It tries to swap each with a slot elsewhere, and to put
//! another replica of its expert in place of an expert that is held more than once. What a change buys is judged on a
//! smooth maximum of the rank loads, so that relieving the second most loaded rank counts as well: which rank will be
//! the slowest in a noisy period is not known beforehand.

use crate::expert;
use crate::layout;
use crate::shape;

/// Most loaded ranks that are looked at for each change.
const HOT_RANKS: usize = 3;

/// A change of one or two slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Two slots exchange their experts.
    Swap(usize, usize),
    /// A slot takes another expert.
    Put(usize, expert::Expert),
}

impl Change {
    /// Slots whose expert changes.
    pub const fn moves(self) -> usize {
        match self {
            Self::Swap(..) => 2,
            Self::Put(..) => 1,
        }
    }
}

/// A change and what it buys.
#[derive(Debug, Clone, Copy)]
pub struct CandidateChange {
    /// The change.
    pub change: Change,
    /// Fall of the smooth maximum of the rank loads, in multiples of the mean.
    pub gain: f64,
}

/// A map under search.
#[derive(Debug, Clone)]
pub struct Search {
    shape: shape::Shape,
    slots: Vec<expert::Expert>,
    /// Load of each expert in multiples of the mean rank load.
    loads: Vec<f64>,
    /// Slots of each expert, sorted.
    places: Vec<Vec<u32>>,
    /// Load of each rank in multiples of the mean.
    ranks: Vec<f64>,
    /// Width over which the maximum is smoothed, in multiples of the mean; above zero.
    width: f64,
    /// Sum over ranks of the exponential of their load over the width.
    sum: f64,
}

/// New load of a rank.
#[derive(Debug, Clone, Copy)]
struct NewLoad {
    rank: usize,
    load: f64,
}

impl Search {
    /// Starts at `layout` under the experts' `loads`.
    pub fn new(layout: &layout::Layout, loads: &[f64], width: f64) -> Self {
        let shape = layout.shape();
        let mean = loads.iter().sum::<f64>() / shape.ranks() as f64;
        let scale = if mean > 0.0 { 1.0 / mean } else { 0.0 };
        let mut places = vec![Vec::new(); shape.experts()];
        for (slot, expert) in layout.slots().iter().enumerate() {
            places[expert.index()].push(slot as u32);
        }
        let mut search = Self {
            shape,
            slots: layout.slots().to_vec(),
            loads: loads.iter().map(|load| load * scale).collect(),
            places,
            ranks: layout.rank_loads(loads).into_iter().map(|load| load * scale).collect(),
            width,
            sum: 0.0,
        };
        search.sum = search.ranks.iter().map(|load| search.term(*load)).sum();
        search
    }

    /// The map as it stands.
    pub fn slots(&self) -> &[expert::Expert] {
        &self.slots
    }

    /// Largest rank load in multiples of the mean.
    pub fn skew(&self) -> f64 {
        self.ranks.iter().copied().fold(0.0, f64::max)
    }

    fn term(&self, load: f64) -> f64 {
        ((load - 1.0) / self.width).exp()
    }

    fn rank_of(&self, slot: usize) -> usize {
        slot / self.shape.slots()
    }

    /// The change with the highest gain a move; `None` when no change helps.
    pub fn best(&self) -> Option<CandidateChange> {
        let mut best: Option<CandidateChange> = None;
        let mut consider = |change, gain: f64| {
            let worth = |offer: &CandidateChange| offer.gain / offer.change.moves() as f64;
            let offer = CandidateChange { change, gain };
            if gain > 0.0 && best.as_ref().is_none_or(|b| worth(&offer) > worth(b)) {
                best = Some(offer);
            }
        };
        for hot in self.hot_ranks() {
            let first = hot * self.shape.slots();
            for slot in first..first + self.shape.slots() {
                self.try_swaps(slot, &mut consider);
                self.try_puts(slot, &mut consider);
                self.try_losing(slot, &mut consider);
            }
        }
        best
    }

    fn hot_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.shape.ranks()).collect();
        ranks.sort_by(|a, b| self.ranks[*b].total_cmp(&self.ranks[*a]));
        ranks.truncate(HOT_RANKS);
        ranks
    }

    fn share(&self, expert: expert::Expert) -> f64 {
        self.loads[expert.index()] / self.places[expert.index()].len() as f64
    }

    fn try_swaps<F>(&self, slot: usize, consider: &mut F)
    where
        F: FnMut(Change, f64),
    {
        let (rank, mine) = (self.rank_of(slot), self.share(self.slots[slot]));
        for other in 0..self.slots.len() {
            let other_rank = self.rank_of(other);
            let theirs = self.share(self.slots[other]);
            let lowers = mine > theirs && self.ranks[other_rank] < self.ranks[rank];
            if other_rank == rank || !lowers {
                continue;
            }
            let shift = mine - theirs;
            let gain = self.gain(&[
                NewLoad {
                    rank,
                    load: self.ranks[rank] - shift,
                },
                NewLoad {
                    rank: other_rank,
                    load: self.ranks[other_rank] + shift,
                },
            ]);
            consider(Change::Swap(slot, other), gain);
        }
    }

    /// Another replica of the slot's expert elsewhere takes part of its load away.
    fn try_puts<F>(&self, slot: usize, consider: &mut F)
    where
        F: FnMut(Change, f64),
    {
        let expert = self.slots[slot];
        for other in 0..self.slots.len() {
            let gone = self.slots[other];
            let spare = self.places[gone.index()].len() > 1;
            if !spare || gone == expert || self.rank_of(other) == self.rank_of(slot) {
                continue;
            }
            consider(Change::Put(other, expert), self.gain_of_put(other, expert));
        }
    }

    /// A slot of a hot rank that holds a spare replica takes a lighter expert.
    fn try_losing<F>(&self, slot: usize, consider: &mut F)
    where
        F: FnMut(Change, f64),
    {
        let gone = self.slots[slot];
        if self.places[gone.index()].len() < 2 {
            return;
        }
        for index in 0..self.shape.experts() {
            let expert = expert::Expert(index as u32);
            let after = self.loads[index] / (self.places[index].len() + 1) as f64;
            if expert != gone && after < self.share(gone) {
                consider(Change::Put(slot, expert), self.gain_of_put(slot, expert));
            }
        }
    }

    fn gain_of_put(&self, slot: usize, expert: expert::Expert) -> f64 {
        let mut changed: Vec<NewLoad> = Vec::with_capacity(16);
        self.loads_after_put(slot, expert, &mut changed);
        self.gain(&changed)
    }

    fn loads_after_put(&self, slot: usize, expert: expert::Expert, changed: &mut Vec<NewLoad>) {
        let gone = self.slots[slot];
        let (few, many) = (
            self.places[gone.index()].len() as f64,
            self.places[expert.index()].len() as f64,
        );
        let gone_rise = self.loads[gone.index()] / (few - 1.0) - self.loads[gone.index()] / few;
        let expert_share = self.loads[expert.index()] / (many + 1.0);
        let expert_fall = self.loads[expert.index()] / many - expert_share;
        let mut add = |rank: usize, load: f64| match changed.iter_mut().find(|c| c.rank == rank) {
            Some(known) => known.load += load,
            None => changed.push(NewLoad {
                rank,
                load: self.ranks[rank] + load,
            }),
        };
        add(self.rank_of(slot), expert_share - self.share(gone));
        for place in &self.places[gone.index()] {
            if *place as usize != slot {
                add(self.rank_of(*place as usize), gone_rise);
            }
        }
        for place in &self.places[expert.index()] {
            add(self.rank_of(*place as usize), -expert_fall);
        }
    }

    /// Fall of the smooth maximum when ranks take new loads.
    fn gain(&self, changed: &[NewLoad]) -> f64 {
        let change: f64 = changed
            .iter()
            .map(|c| self.term(c.load) - self.term(self.ranks[c.rank]))
            .sum();
        let after = (self.sum + change).max(f64::MIN_POSITIVE);
        self.width * (self.sum / after).ln()
    }

    /// Makes a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Swap(a, b) => {
                let (first, second) = (self.slots[a], self.slots[b]);
                let shift = self.share(first) - self.share(second);
                let (rank_a, rank_b) = (self.rank_of(a), self.rank_of(b));
                self.ranks[rank_a] -= shift;
                self.ranks[rank_b] += shift;
                self.replace(a, second);
                self.replace(b, first);
            }
            Change::Put(slot, expert) => {
                let mut changed = Vec::new();
                self.loads_after_put(slot, expert, &mut changed);
                for new in changed {
                    self.ranks[new.rank] = new.load;
                }
                self.replace(slot, expert);
            }
        }
        self.sum = self.ranks.iter().map(|load| self.term(*load)).sum();
    }

    fn replace(&mut self, slot: usize, expert: expert::Expert) {
        let gone = self.slots[slot];
        let place = slot as u32;
        self.places[gone.index()].retain(|p| *p != place);
        let held = &mut self.places[expert.index()];
        if let Err(at) = held.binary_search(&place) {
            held.insert(at, place);
        }
        self.slots[slot] = expert;
    }
}
