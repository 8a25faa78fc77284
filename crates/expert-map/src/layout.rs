//! Which expert each slot holds.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::expert;
use crate::shape;

/// Expert map of a group.
///
/// The load of an expert is shared equally by the slots that hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    shape: shape::Shape,
    /// Expert of each slot, rank by rank; each expert at least once.
    slots: Vec<expert::Expert>,
}

/// Slots that make no map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LayoutError {
    /// The number of slots is wrong.
    #[error("{found} slots are given, the group has {expected}")]
    WrongCount {
        /// Slots given.
        found: usize,
        /// Slots of the group.
        expected: usize,
    },
    /// A slot holds no expert of the group.
    #[error("slot {slot} holds expert {expert}, which does not exist")]
    UnknownExpert {
        /// The slot.
        slot: usize,
        /// What it holds.
        expert: u32,
    },
    /// No slot holds an expert.
    #[error("no slot holds expert {expert}")]
    Missing {
        /// The expert.
        expert: usize,
    },
}

impl Layout {
    /// Checks a map.
    ///
    /// # Errors
    ///
    /// [`LayoutError`] when slots are missing or an expert is.
    pub fn new(shape: shape::Shape, slots: Vec<expert::Expert>) -> Result<Self, LayoutError> {
        if slots.len() != shape.total_slots() {
            return Err(LayoutError::WrongCount {
                found: slots.len(),
                expected: shape.total_slots(),
            });
        }
        let unknown = slots.iter().position(|expert| expert.index() >= shape.experts());
        if let Some(slot) = unknown {
            let expert = slots[slot].0;
            return Err(LayoutError::UnknownExpert { slot, expert });
        }
        let layout = Self { shape, slots };
        let missing = layout.replica_counts().iter().position(|count| *count == 0);
        missing.map_or(Ok(layout), |expert| Err(LayoutError::Missing { expert }))
    }

    /// The map's size.
    pub fn shape(&self) -> shape::Shape {
        self.shape
    }

    /// Expert of each slot, rank by rank.
    pub fn slots(&self) -> &[expert::Expert] {
        &self.slots
    }

    /// Experts of one rank.
    pub fn rank_slots(&self, rank: usize) -> &[expert::Expert] {
        &self.slots[rank * self.shape.slots_per_rank()..][..self.shape.slots_per_rank()]
    }

    /// Number of slots that hold each expert.
    pub fn replica_counts(&self) -> Vec<u32> {
        let mut counts = vec![0; self.shape.experts()];
        for expert in &self.slots {
            counts[expert.index()] += 1;
        }
        counts
    }

    /// Load of each rank under the experts' `loads`.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let counts = self.replica_counts();
        let share = |expert: &expert::Expert| loads[expert.index()] / f64::from(counts[expert.index()]);
        let ranks = self.slots.chunks(self.shape.slots_per_rank());
        ranks.map(|slots| slots.iter().map(share).sum()).collect()
    }

    /// Largest rank load over the mean one; 1 when there is no load.
    pub fn skew(&self, loads: &[f64]) -> f64 {
        let ranks = self.rank_loads(loads);
        let total: f64 = ranks.iter().sum();
        let largest = ranks.iter().copied().fold(0.0, f64::max);
        if total > 0.0 {
            largest * ranks.len() as f64 / total
        } else {
            1.0
        }
    }

    /// Number of slots whose expert differs from `before`.
    pub fn changed_slots(&self, before: &Self) -> usize {
        let pairs = self.slots.iter().zip(&before.slots);
        pairs.filter(|(now, then)| now != then).count()
    }

    /// The same map with each rank's experts in the slots where `before` holds them, as far as it does.
    #[must_use]
    pub fn aligned_to(&self, before: &Self) -> Self {
        let mut aligned = Vec::with_capacity(self.slots.len());
        for rank in 0..self.shape.ranks() {
            aligned.extend(align_rank(self.rank_slots(rank), before.rank_slots(rank)));
        }
        Self {
            shape: self.shape,
            slots: aligned,
        }
    }
}

fn align_rank(experts: &[expert::Expert], before: &[expert::Expert]) -> Vec<expert::Expert> {
    let mut unplaced = experts.to_vec();
    let kept: Vec<Option<expert::Expert>> = before
        .iter()
        .map(|expert| {
            let at = unplaced.iter().position(|w| w == expert)?;
            Some(unplaced.swap_remove(at))
        })
        .collect();
    let mut unplaced = unplaced.into_iter();
    let filled = kept.into_iter().map(|slot| slot.or_else(|| unplaced.next()));
    filled.flatten().collect()
}
