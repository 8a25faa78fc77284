//! A rank's answers to orders.

use serde::{Deserialize, Serialize};

use crate::switch::fencing_token;
use crate::switch::rank_state;
use crate::switch::step;
use crate::switch::version;

/// An answer with the number of the order that it answers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the order.
    pub fencing: fencing_token::FencingToken,
    /// What the rank says.
    pub body: ReplyBody,
}

/// What a rank says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplyBody {
    /// The map's weights are loaded.
    Prepared(version::Version),
    /// The map's weights are being loaded; ask again.
    Loading(version::Version),
    /// No step from `at` on begins without a commit.
    Armed {
        /// The map.
        version: version::Version,
        /// The first step on it.
        at: step::Step,
    },
    /// The map is, or will be, in force.
    Committed(version::Version),
    /// Nothing is armed.
    Disarmed,
    /// Lower numbers are refused from now on; this is the rank's state at that moment.
    Promised(rank_state::RankState),
    /// The state was taken over.
    Restored,
    /// The order was refused.
    Refused(Refusal),
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A higher number was promised.
    Fenced(fencing_token::FencingToken),
    /// The step has begun already.
    StepStarted {
        /// The next step to begin.
        next: step::Step,
    },
    /// The map's weights are not loaded.
    NotPrepared,
    /// The rank is not armed for that map and step.
    NotArmed,
    /// The rank holds a commit, which is final.
    AlreadyCommitted,
    /// The rank was replaced and has no state.
    Uninitialized,
}
