//! The assignment of experts to slots.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::expert;
use crate::shape;

/// The expert map of a group.
///
/// The load of an expert is shared equally by the slots that hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    shape: shape::Shape,
    /// The expert of each slot, ordered by rank. Each expert occurs at least once.
    slots: Vec<expert::Expert>,
}

/// An error in the slots of a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LayoutError {
    /// The number of slots is wrong.
    #[error("the map has {found} slots, but the group has {expected}")]
    WrongCount {
        /// The number of slots provided.
        found: usize,
        /// The number of slots of the group.
        expected: usize,
    },
    /// A slot holds an expert that is not part of the group.
    #[error("slot {slot} holds unknown expert {expert}")]
    UnknownExpert {
        /// The index of the slot.
        slot: usize,
        /// The expert that the slot holds.
        expert: u32,
    },
    /// An expert has no slot.
    #[error("expert {expert} has no slot")]
    MissingExpert {
        /// The index of the expert.
        expert: usize,
    },
}

impl Layout {
    /// Creates a map from the expert of each slot, ordered by rank.
    ///
    /// # Errors
    ///
    /// Returns a [`LayoutError`] if the number of slots is wrong, if a slot holds an unknown expert, or if an expert
    /// has no slot.
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
        missing.map_or(Ok(layout), |expert| Err(LayoutError::MissingExpert { expert }))
    }

    /// Returns the dimensions of the map.
    pub fn shape(&self) -> shape::Shape {
        self.shape
    }

    /// Returns the expert of each slot, ordered by rank.
    pub fn slots(&self) -> &[expert::Expert] {
        &self.slots
    }

    /// Returns the experts of one rank.
    pub fn rank_slots(&self, rank: usize) -> &[expert::Expert] {
        &self.slots[rank * self.shape.slots_per_rank()..][..self.shape.slots_per_rank()]
    }

    /// Returns the number of slots that hold each expert.
    pub fn replica_counts(&self) -> Vec<u32> {
        let mut counts = vec![0; self.shape.experts()];
        for expert in &self.slots {
            counts[expert.index()] += 1;
        }
        counts
    }

    /// Returns the load of each rank under the experts' `loads`.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let counts = self.replica_counts();
        let share = |expert: &expert::Expert| loads[expert.index()] / f64::from(counts[expert.index()]);
        let ranks = self.slots.chunks(self.shape.slots_per_rank());
        ranks.map(|slots| slots.iter().map(share).sum()).collect()
    }

    /// Returns the largest rank load relative to the mean, or 1 if there is no load.
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

    /// Returns the number of slots whose expert differs from `before`.
    pub fn changed_slots(&self, before: &Self) -> usize {
        let pairs = self.slots.iter().zip(&before.slots);
        pairs.filter(|(now, then)| now != then).count()
    }

    /// Returns the same map, with the experts of each rank kept in the slots that hold them in `before` where possible.
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

/// Orders the experts of one rank so that those also held in `before` keep their slots.
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
