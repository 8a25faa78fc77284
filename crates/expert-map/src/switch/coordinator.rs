//! The coordinator's part of the switch.
//!
//! It says which orders are due and learns from the answers. Orders are given again until they are answered, so it needs
//! no timers of its own; whoever drives it decides how often.

use crate::switch::fencing_token;
use crate::switch::order;
use crate::switch::rank_state;
use crate::switch::reply;
use crate::switch::step;
use crate::switch::version;

/// How far the coordinator is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// All ranks have to promise this coordinator's number and tell their state.
    Recovering(Vec<Option<rank_state::RankState>>),
    /// Ranks without state have to take over that of the others.
    Restoring {
        /// State to take over.
        state: rank_state::RankState,
        /// Ranks that still have to.
        pending: Vec<usize>,
        /// What follows.
        activation: Option<rank_state::MapActivation>,
    },
    /// Nothing is under way.
    Idle,
    /// Ranks load a map's weights.
    Preparing {
        /// The map.
        version: version::Version,
        /// Ranks that still load, sorted.
        pending: Vec<usize>,
    },
    /// All ranks have loaded the weights; the step is to be chosen.
    Prepared(version::Version),
    /// Ranks arm.
    Arming {
        /// Map and step.
        activation: rank_state::MapActivation,
        /// Ranks that are not known to be armed, sorted.
        pending: Vec<usize>,
    },
    /// All ranks were armed; the turn is final.
    Committing {
        /// Map and step.
        activation: rank_state::MapActivation,
        /// Ranks that are not known to hold the commit, sorted.
        pending: Vec<usize>,
    },
    /// The arming is taken back.
    Disarming {
        /// Ranks that are not known to be disarmed, sorted.
        pending: Vec<usize>,
    },
    /// A higher number was seen; this coordinator gives no order any more.
    Deposed(fencing_token::FencingToken),
}

/// An order for one rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingOrder {
    /// Index of the rank.
    pub rank: usize,
    /// The order.
    pub order: order::Order,
}

/// State machine of one coordinator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Coordinator {
    fencing: fencing_token::FencingToken,
    ranks: usize,
    phase: Phase,
}

impl Coordinator {
    /// A coordinator that takes over a group of `ranks` ranks with a number that nobody else has.
    pub fn take_over(fencing: fencing_token::FencingToken, ranks: usize) -> Self {
        Self {
            fencing,
            ranks,
            phase: Phase::Recovering(vec![None; ranks]),
        }
    }

    /// How far it is.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Its number.
    pub fn fencing(&self) -> fencing_token::FencingToken {
        self.fencing
    }

    /// Begins to change the group to a map; `false` unless nothing is under way.
    pub fn propose(&mut self, version: version::Version) -> bool {
        let is_idle = self.phase == Phase::Idle;
        if is_idle {
            self.fencing = self.fencing.next_for(self.fencing.holder);
            self.phase = Phase::Preparing {
                version,
                pending: self.all_ranks(),
            };
        }
        is_idle
    }

    /// Chooses the step of a prepared map; `false` unless all ranks have loaded it.
    pub fn arm_at(&mut self, at: step::Step) -> bool {
        let Phase::Prepared(version) = self.phase else {
            return false;
        };
        self.phase = Phase::Arming {
            activation: rank_state::MapActivation { version, at },
            pending: self.all_ranks(),
        };
        true
    }

    /// Gives up a switch that is not yet final; `false` when there is none.
    pub fn abort(&mut self) -> bool {
        match &self.phase {
            Phase::Preparing { .. } | Phase::Prepared(_) => self.phase = Phase::Idle,
            Phase::Arming { .. } => {
                self.phase = Phase::Disarming {
                    pending: self.all_ranks(),
                }
            }
            _ => return false,
        }
        true
    }

    fn all_ranks(&self) -> Vec<usize> {
        (0..self.ranks).collect()
    }

    /// Orders that are not answered yet; give them again until they are.
    pub fn pending_orders(&self) -> Vec<PendingOrder> {
        let (pending, body) = match &self.phase {
            Phase::Recovering(states) => {
                let unanswered = (0..self.ranks).filter(|rank| states[*rank].is_none());
                (unanswered.collect(), order::OrderBody::Promise)
            }
            Phase::Restoring { state, pending, .. } => (pending.clone(), order::OrderBody::Restore(*state)),
            Phase::Preparing { version, pending } => (pending.clone(), order::OrderBody::Prepare(*version)),
            Phase::Arming { activation, pending } => (
                pending.clone(),
                order::OrderBody::Arm {
                    version: activation.version,
                    at: activation.at,
                },
            ),
            Phase::Committing { activation, pending } => (
                pending.clone(),
                order::OrderBody::Commit {
                    version: activation.version,
                    at: activation.at,
                },
            ),
            Phase::Disarming { pending } => (pending.clone(), order::OrderBody::Disarm),
            Phase::Idle | Phase::Prepared(_) | Phase::Deposed(_) => return Vec::new(),
        };
        let order = |rank| PendingOrder {
            rank,
            order: order::Order {
                fencing: self.fencing,
                body: body.clone(),
            },
        };
        pending.into_iter().map(order).collect()
    }

    /// Learns from a rank's answer. Answers to orders under an earlier number say nothing any more.
    pub fn handle_reply(&mut self, rank: usize, reply: &reply::Reply) {
        if let reply::ReplyBody::Refused(reply::Refusal::Fenced(higher)) = reply.body
            && higher > self.fencing
        {
            self.phase = Phase::Deposed(higher);
        }
        if reply.fencing != self.fencing {
            return;
        }
        match (&mut self.phase, &reply.body) {
            (Phase::Deposed(_), _) => {}
            (_, reply::ReplyBody::Refused(reply::Refusal::Uninitialized)) => self.restart_recovery(),
            (Phase::Arming { .. }, reply::ReplyBody::Refused(_)) => {
                self.abort();
            }
            (Phase::Recovering(states), reply::ReplyBody::Promised(state)) => {
                states[rank] = Some(*state);
                self.finish_recovery();
            }
            (_, body) => {
                if self.phase.awaits(body) && self.phase.mark_replied(rank) {
                    self.advance();
                }
            }
        }
    }

    /// All ranks have answered: goes on to the next phase.
    fn advance(&mut self) {
        let all = self.all_ranks();
        self.phase = match &self.phase {
            Phase::Restoring {
                activation: Some(activation),
                ..
            }
            | Phase::Arming { activation, .. } => Phase::Committing {
                activation: *activation,
                pending: all,
            },
            Phase::Restoring { activation: None, .. } => Phase::Disarming { pending: all },
            Phase::Preparing { version, .. } => Phase::Prepared(*version),
            _ => Phase::Idle,
        };
    }

    /// A rank was replaced: take over once more, under a higher number.
    fn restart_recovery(&mut self) {
        self.fencing = self.fencing.next_for(self.fencing.holder);
        self.phase = Phase::Recovering(vec![None; self.ranks]);
    }

    /// Decides what a lost coordinator left behind, once all ranks have promised.
    fn finish_recovery(&mut self) {
        let Phase::Recovering(states) = &self.phase else { return };
        let Some(states) = states.iter().copied().collect::<Option<Vec<rank_state::RankState>>>() else {
            return;
        };
        let known: Vec<rank_state::RankState> = states.iter().copied().filter(|s| !s.is_uninitialized()).collect();
        let Some(first) = known.first() else {
            // Every rank was replaced at once: the group starts anew from the map on record, which is not decided here.
            return;
        };
        let in_force = known.iter().filter_map(|s| s.in_force).max();
        let committed = known.iter().find_map(|s| s.committed);
        let armed = known.iter().find_map(|s| s.armed);
        // Some rank may have begun its turn and no longer hold the commit; the map in force tells.
        let started = armed.filter(|activation| in_force == Some(activation.version));
        let activation = committed.or(started);
        let uninitialized: Vec<usize> = (0..self.ranks)
            .filter(|rank| states[*rank].is_uninitialized())
            .collect();
        let restored = rank_state::RankState {
            in_force: known.iter().filter_map(|s| s.in_force).min(),
            armed: activation,
            committed: None,
            next: first.next,
        };
        let all_initialized = uninitialized.is_empty();
        self.phase = Phase::Restoring {
            state: restored,
            pending: uninitialized,
            activation,
        };
        if all_initialized {
            self.advance();
        }
    }
}

impl Phase {
    /// Whether a reply is what this phase waits for.
    fn awaits(&self, body: &reply::ReplyBody) -> bool {
        match (self, body) {
            (Self::Restoring { .. }, reply::ReplyBody::Restored)
            | (Self::Disarming { .. }, reply::ReplyBody::Disarmed) => true,
            (Self::Preparing { version, .. }, reply::ReplyBody::Prepared(loaded)) => version == loaded,
            (Self::Arming { activation, .. }, reply::ReplyBody::Armed { version, at }) => {
                activation.version == *version && activation.at == *at
            }
            (Self::Committing { activation, .. }, reply::ReplyBody::Committed(version)) => {
                activation.version == *version
            }
            _ => false,
        }
    }

    /// Strikes a rank off the missing ones; `true` when none is left.
    fn mark_replied(&mut self, rank: usize) -> bool {
        let pending = match self {
            Self::Restoring { pending, .. }
            | Self::Preparing { pending, .. }
            | Self::Arming { pending, .. }
            | Self::Committing { pending, .. }
            | Self::Disarming { pending } => pending,
            Self::Recovering(_) | Self::Idle | Self::Prepared(_) | Self::Deposed(_) => return false,
        };
        if let Ok(at) = pending.binary_search(&rank) {
            pending.remove(at);
        }
        pending.is_empty()
    }
}
