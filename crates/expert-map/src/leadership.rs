//! Who coordinates a group.
//!
//! A number from the platform's table marks each coordinator; ranks refuse orders with a lower one. Safety does not rest
//! on there being one coordinator, only economy does: two would give the same orders twice.

use std::time::Duration;

/// Silence of the coordinator after which the first candidate stands.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same when the group stands still at a hold, which somebody has to finish.
const COORDINATOR_TIMEOUT_WHILE_HELD: Duration = Duration::from_millis(450);
/// Added for each rank, so that candidates stand one after the other.
const CANDIDACY_STAGGER: Duration = Duration::from_millis(70);
/// Ranks beyond this stand together.
const MAX_STAGGERED_RANK: u32 = 15;

/// What one agent believes about its group's coordinator.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Highest number heard.
    pub number: u64,
    /// Whether that number is this agent's own.
    pub is_coordinator: bool,
}

/// What an agent should do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Somebody else coordinates.
    Follower,
    /// Nobody does: take a number and begin.
    Candidate,
    /// This agent coordinates.
    Coordinator,
}

impl Leadership {
    /// Notes a coordinator's number; `true` when it is in force, and not outdated.
    pub fn observe_number(&mut self, number: u64) -> bool {
        if number > self.number {
            self.number = number;
            self.is_coordinator = false;
        }
        number == self.number
    }

    /// This agent took a number.
    pub fn claim_number(&mut self, number: u64) {
        if number > self.number {
            self.number = number;
            self.is_coordinator = true;
        }
    }

    /// The role of the agent of `rank` when the coordinator has been silent for `silence`.
    pub fn role(&self, rank: u32, silence: Duration, is_held: bool) -> Role {
        if self.is_coordinator {
            return Role::Coordinator;
        }
        let timeout = if is_held {
            COORDINATOR_TIMEOUT_WHILE_HELD
        } else {
            COORDINATOR_TIMEOUT
        };
        if silence > timeout + CANDIDACY_STAGGER * rank.min(MAX_STAGGERED_RANK) {
            Role::Candidate
        } else {
            Role::Follower
        }
    }
}
