//! Expert indexes.

use serde::{Deserialize, Serialize};

/// The index of an expert within its layer, starting from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Expert(pub u32);

impl Expert {
    /// Returns the index as a `usize`.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
