//! The switch state of a rank.

use serde::{Deserialize, Serialize};

use crate::switch::step;
use crate::switch::version;

/// A map version and the first step that runs on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapActivation {
    /// The version of the map.
    pub version: version::Version,
    /// The first step on the map.
    pub at: step::Step,
}

/// The state of a rank. It is the same on every rank once a switch has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct RankState {
    /// The active map, which applies until an activation takes effect. `None` on a rank that was replaced.
    pub in_force: Option<version::Version>,
    /// An activation that waits for its commit.
    pub armed: Option<MapActivation>,
    /// An activation that is final.
    pub committed: Option<MapActivation>,
    /// The next step to start.
    pub next: step::Step,
}

impl RankState {
    /// Returns whether the rank was replaced and has no state.
    pub fn is_uninitialized(&self) -> bool {
        self.in_force.is_none()
    }
}
