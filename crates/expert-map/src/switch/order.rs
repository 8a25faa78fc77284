//! Orders from a coordinator to a rank. An order may be delayed, duplicated, reordered or lost.

use serde::{Deserialize, Serialize};

use crate::switch::fencing_token;
use crate::switch::rank_state;
use crate::switch::step;
use crate::switch::version;

/// An order and the fencing token under which it is sent. Each attempt at a switch has its own token, so delayed orders
/// of an earlier attempt are refused in the same way as those of an earlier coordinator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the coordinator.
    pub fencing: fencing_token::FencingToken,
    /// The action to perform.
    pub body: OrderBody,
}

/// The action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OrderBody {
    /// Load the weights of the map in addition to the active ones.
    Prepare(version::Version),
    /// Do not start step `at` or a later one without a commit.
    Arm {
        /// The version of the map.
        version: version::Version,
        /// The first step on the map.
        at: step::Step,
    },
    /// Run on the map from step `at` on.
    Commit {
        /// The version of the map.
        version: version::Version,
        /// The first step on the map.
        at: step::Step,
    },
    /// Cancel the armed activation.
    Disarm,
    /// Refuse lower fencing tokens from now on and report the current state.
    Promise,
    /// Adopt the state of the other ranks.
    Restore(rank_state::RankState),
}
