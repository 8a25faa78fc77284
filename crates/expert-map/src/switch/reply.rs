//! Replies of a rank to orders.

use serde::{Deserialize, Serialize};

use crate::switch::fencing_token;
use crate::switch::rank_state;
use crate::switch::step;
use crate::switch::version;

/// A reply and the fencing token of the order to which it belongs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reply {
    /// The fencing token of the order.
    pub fencing: fencing_token::FencingToken,
    /// The result of the order.
    pub body: ReplyBody,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplyBody {
    /// The weights of the map are loaded.
    Prepared(version::Version),
    /// The weights of the map are still loading; the order is to be repeated.
    Loading(version::Version),
    /// Neither step `at` nor a later one starts without a commit.
    Armed {
        /// The version of the map.
        version: version::Version,
        /// The first step on the map.
        at: step::Step,
    },
    /// The map is committed or already active.
    Committed(version::Version),
    /// No activation is armed.
    Disarmed,
    /// Lower fencing tokens are refused from now on. Contains the state of the rank at that moment.
    Promised(rank_state::RankState),
    /// The state was adopted.
    Restored,
    /// The order was refused.
    Refused(Refusal),
}

/// The reason for refusing an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The rank has promised this higher fencing token.
    Fenced(fencing_token::FencingToken),
    /// The step has already started.
    StepStarted {
        /// The next step to start.
        next: step::Step,
    },
    /// The weights of the map are not loaded.
    NotPrepared,
    /// The rank is not armed for this map and step.
    NotArmed,
    /// The rank holds a commit, which is final.
    AlreadyCommitted,
    /// The rank was replaced and has no state.
    Uninitialized,
}
