//! Orders from a coordinator to a rank. Each may arrive late, twice, out of order or not at all.

use serde::{Deserialize, Serialize};

use crate::switch::fencing_token;
use crate::switch::rank_state;
use crate::switch::step;
use crate::switch::version;

/// An order with the number under which it is given. Each attempt at a switch has a number of its own, so late orders
/// of an earlier attempt are refused like those of an earlier coordinator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Number of the coordinator.
    pub fencing: fencing_token::FencingToken,
    /// What to do.
    pub body: OrderBody,
}

/// What an order says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OrderBody {
    /// Load the map's weights beside those in force.
    Prepare(version::Version),
    /// Begin no step from `at` on without a commit.
    Arm {
        /// The map.
        version: version::Version,
        /// The first step on it.
        at: step::Step,
    },
    /// Run from `at` on with the map.
    Commit {
        /// The map.
        version: version::Version,
        /// The first step on it.
        at: step::Step,
    },
    /// Take back what is armed.
    Disarm,
    /// Refuse lower numbers from now on, and tell your state.
    Promise,
    /// Take over the state of the other ranks.
    Restore(rank_state::RankState),
}
