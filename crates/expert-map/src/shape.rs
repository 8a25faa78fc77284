//! Size of a group's expert map.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest number of slots of a group.
pub const MAX_SLOTS: u64 = 1 << 20;

/// Numbers of ranks, slots and experts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Ranks; at least 1.
    ranks: u32,
    /// Slots a rank; at least 1.
    slots: u32,
    /// Experts; at least 1, at most `ranks * slots`.
    experts: u32,
}

/// A shape that can't hold its experts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A figure is zero.
    #[error("ranks, slots and experts must be at least 1")]
    Zero,
    /// There are fewer slots than experts.
    #[error("{slots} slots can't hold {experts} experts; raise ranks or slots")]
    TooFewSlots {
        /// All slots of the group.
        slots: u64,
        /// Experts.
        experts: u32,
    },
    /// The group is larger than can be planned.
    #[error("{slots} slots are more than {MAX_SLOTS}")]
    TooLarge {
        /// All slots of the group.
        slots: u64,
    },
}

impl Shape {
    /// Checks a shape.
    ///
    /// # Errors
    ///
    /// [`ShapeError`] when a figure is zero or the experts don't fit.
    pub fn new(ranks: u32, slots: u32, experts: u32) -> Result<Self, ShapeError> {
        if ranks == 0 || slots == 0 || experts == 0 {
            return Err(ShapeError::Zero);
        }
        let total = u64::from(ranks) * u64::from(slots);
        if total < u64::from(experts) {
            return Err(ShapeError::TooFewSlots { slots: total, experts });
        }
        if total > MAX_SLOTS {
            return Err(ShapeError::TooLarge { slots: total });
        }
        Ok(Self { ranks, slots, experts })
    }

    /// Number of ranks.
    pub const fn ranks(&self) -> usize {
        self.ranks as usize
    }

    /// Number of slots a rank.
    pub const fn slots_per_rank(&self) -> usize {
        self.slots as usize
    }

    /// Number of experts.
    pub const fn experts(&self) -> usize {
        self.experts as usize
    }

    /// Number of slots of the group.
    pub const fn total_slots(&self) -> usize {
        self.ranks() * self.slots_per_rank()
    }
}
