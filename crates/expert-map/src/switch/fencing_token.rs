//! Numbers that tell a later coordinator from an earlier one.

use serde::{Deserialize, Serialize};

/// Fencing token of a coordinator. No two coordinators have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct FencingToken {
    /// Higher than any number that the coordinator has seen.
    pub count: u64,
    /// Rank of the coordinator, so that two who count alike still differ.
    pub holder: u32,
}

impl FencingToken {
    /// A number above this one, for `holder`.
    #[must_use]
    pub const fn next_for(self, holder: u32) -> Self {
        Self {
            count: self.count + 1,
            holder,
        }
    }
}
