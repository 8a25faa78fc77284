//! Election of a group's coordinator.
//!
//! Each coordinator is identified by a leadership number from the platform's table, and ranks refuse orders with a
//! lower number than they have seen. Safety does not depend on there being only one coordinator: a second one only
//! wastes requests by sending the same orders again.

use std::time::Duration;

/// Time without a heartbeat of the coordinator after which the first agent becomes a candidate.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same timeout while a pass is held. It is shorter because the group makes no progress until a coordinator
/// releases the hold.
const COORDINATOR_TIMEOUT_WHILE_HELD: Duration = Duration::from_millis(450);
/// Additional timeout per rank, so that agents become candidates one after another.
const CANDIDACY_STAGGER: Duration = Duration::from_millis(70);
/// Ranks above this one use the same timeout.
const MAX_STAGGERED_RANK: u32 = 15;

/// Upper bound of the table's versions in one era. Map versions hold 4,096 of these, so that they are exact as numbers in
/// JSON for 512 eras.
const VERSIONS_PER_ERA: u64 = 1 << 32;

/// An agent's knowledge of its group's coordinator.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The highest leadership number seen.
    pub number: u64,
    /// Whether that number belongs to this agent.
    pub is_coordinator: bool,
}

/// The role of an agent in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Another agent coordinates the group.
    Follower,
    /// No agent coordinates the group; this agent should claim a leadership number.
    Candidate,
    /// This agent coordinates the group.
    Coordinator,
}

/// Returns the leadership number of a claim that wrote version `version` of its row in the era `era` of the table, or 0 if
/// eras are not known. Versions are given out again in a later era, and its numbers are higher than all of the former ones.
pub fn number_of_claim(era: u64, version: u64) -> u64 {
    era.saturating_mul(VERSIONS_PER_ERA).saturating_add(version)
}

impl Leadership {
    /// Records a coordinator's leadership number. Returns `false` if the number is outdated.
    pub fn observe_number(&mut self, number: u64) -> bool {
        if number > self.number {
            self.number = number;
            self.is_coordinator = false;
        }
        number == self.number
    }

    /// Records a leadership number that this agent has claimed.
    pub fn claim_number(&mut self, number: u64) {
        if number > self.number {
            self.number = number;
            self.is_coordinator = true;
        }
    }

    /// Returns the role of the agent of `rank` if the last heartbeat was `silence` ago. `is_held` says whether a pass
    /// may be held.
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
