//! Step numbers of a group.

use serde::{Deserialize, Serialize};

/// The number of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Step(pub u64);

impl Step {
    /// Returns the number of the following step.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
