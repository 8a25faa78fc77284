//! Fencing tokens, which order the coordinators of a group.

use serde::{Deserialize, Serialize};

/// The fencing token of a coordinator. No two coordinators use the same token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct FencingToken {
    /// Higher than the count of any token that the coordinator has seen.
    pub count: u64,
    /// The rank of the coordinator, which makes tokens with equal counts distinct.
    pub holder: u32,
}

impl FencingToken {
    /// Returns a higher token for `holder`.
    #[must_use]
    pub const fn next_for(self, holder: u32) -> Self {
        Self {
            count: self.count + 1,
            holder,
        }
    }
}
