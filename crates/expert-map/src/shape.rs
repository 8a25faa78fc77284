//! Dimensions of a group's expert map.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The largest supported number of slots in a group.
pub const MAX_SLOTS: u64 = 1 << 20;

/// The numbers of ranks, slots and experts of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of ranks; at least 1.
    ranks: u32,
    /// Number of slots per rank; at least 1.
    slots: u32,
    /// Number of experts; at least 1 and at most `ranks * slots`.
    experts: u32,
}

/// An error in the dimensions of a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A dimension is zero.
    #[error("ranks, slots and experts must be at least 1")]
    Zero,
    /// There are fewer slots than experts.
    #[error("{slots} slots can't hold {experts} experts; increase ranks or slots")]
    TooFewSlots {
        /// The total number of slots of the group.
        slots: u64,
        /// The number of experts.
        experts: u32,
    },
    /// The group exceeds the supported number of slots.
    #[error("{slots} slots exceed the maximum of {MAX_SLOTS}; reduce ranks or slots")]
    TooLarge {
        /// The total number of slots of the group.
        slots: u64,
    },
}

impl Shape {
    /// Creates the dimensions of a map.
    ///
    /// # Errors
    ///
    /// Returns a [`ShapeError`] if a dimension is zero, the experts do not fit into the slots, or the group is too
    /// large.
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

    /// Returns the number of ranks.
    pub const fn ranks(&self) -> usize {
        self.ranks as usize
    }

    /// Returns the number of slots per rank.
    pub const fn slots_per_rank(&self) -> usize {
        self.slots as usize
    }

    /// Returns the number of experts.
    pub const fn experts(&self) -> usize {
        self.experts as usize
    }

    /// Returns the total number of slots of the group.
    pub const fn total_slots(&self) -> usize {
        self.ranks() * self.slots_per_rank()
    }
}
