//! What a rank holds of the switch.

use serde::{Deserialize, Serialize};

use crate::switch::step;
use crate::switch::version;

/// A map that takes over at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapActivation {
    /// The map.
    pub version: version::Version,
    /// The first step on it.
    pub at: step::Step,
}

/// State of a rank; the same at every rank once a switch has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct RankState {
    /// Map of the steps before any turn; absent on a rank that was replaced.
    pub in_force: Option<version::Version>,
    /// A turn that waits for its commit.
    pub armed: Option<MapActivation>,
    /// A turn that is final.
    pub committed: Option<MapActivation>,
    /// Next step to begin.
    pub next: step::Step,
}

impl RankState {
    /// Whether the rank was replaced and knows nothing.
    pub fn is_uninitialized(&self) -> bool {
        self.in_force.is_none()
    }
}
