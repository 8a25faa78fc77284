//! The coordinator side of the map switch.
//!
//! The state machine returns the orders to send and processes the replies. Orders are repeated until they are
//! acknowledged, so it needs no timers; the caller decides how often to send.

use crate::switch::fencing_token;
use crate::switch::order;
use crate::switch::rank_state;
use crate::switch::reply;
use crate::switch::step;
use crate::switch::version;

/// The phase of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Waiting for all ranks to promise this coordinator's fencing token and to report their state.
    Recovering(Vec<Option<rank_state::RankState>>),
    /// Waiting for ranks without state to adopt the state of the other ranks.
    Restoring {
        /// The state to adopt.
        state: rank_state::RankState,
        /// Ranks that have not adopted the state yet, sorted.
        pending: Vec<usize>,
        /// The activation to commit afterwards. If `None`, all ranks are disarmed instead.
        activation: Option<rank_state::MapActivation>,
    },
    /// No switch is in progress.
    Idle,
    /// Waiting for ranks to load a map's weights.
    Preparing {
        /// The version of the map.
        version: version::Version,
        /// Ranks that have not loaded the weights yet, sorted.
        pending: Vec<usize>,
    },
    /// All ranks have loaded the weights; the step of the activation has yet to be chosen.
    Prepared(version::Version),
    /// Waiting for ranks to arm.
    Arming {
        /// The activation for which ranks are armed.
        activation: rank_state::MapActivation,
        /// Ranks that have not confirmed that they are armed, sorted.
        pending: Vec<usize>,
    },
    /// All ranks were armed, so the activation is final. Waiting for ranks to commit.
    Committing {
        /// The activation that is committed.
        activation: rank_state::MapActivation,
        /// Ranks that have not confirmed the commit, sorted.
        pending: Vec<usize>,
    },
    /// The activation was aborted. Waiting for ranks to disarm.
    Disarming {
        /// Ranks that have not confirmed that they are disarmed, sorted.
        pending: Vec<usize>,
    },
    /// A rank has promised a higher fencing token. This coordinator sends no further orders.
    Deposed(fencing_token::FencingToken),
}

/// An order to be sent to a rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingOrder {
    /// The index of the rank.
    pub rank: usize,
    /// The order.
    pub order: order::Order,
}

/// The state machine of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Coordinator {
    fencing: fencing_token::FencingToken,
    ranks: usize,
    phase: Phase,
}

impl Coordinator {
    /// Creates a coordinator that takes over a group of `ranks` ranks with a fencing token that no other coordinator
    /// uses.
    pub fn take_over(fencing: fencing_token::FencingToken, ranks: usize) -> Self {
        Self {
            fencing,
            ranks,
            phase: Phase::Recovering(vec![None; ranks]),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the fencing token under which orders are sent.
    pub fn fencing(&self) -> fencing_token::FencingToken {
        self.fencing
    }

    /// Starts a switch to the map with this version. Returns `false` if a switch is already in progress.
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

    /// Chooses the first step on the prepared map. Returns `false` unless all ranks have loaded the map.
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

    /// Aborts a switch that is not yet final. Returns `false` if there is none.
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

    /// Returns the orders that have not been acknowledged yet. The caller repeats them until they are.
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

    /// Processes a reply of a rank. Replies to orders under an earlier fencing token are ignored, except for refusals
    /// that carry a higher token.
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

    /// Enters the next phase after all ranks have replied.
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

    /// Restarts recovery under a higher fencing token after a rank was replaced.
    fn restart_recovery(&mut self) {
        self.fencing = self.fencing.next_for(self.fencing.holder);
        self.phase = Phase::Recovering(vec![None; self.ranks]);
    }

    /// Resolves the switch that a lost coordinator left unfinished, once all ranks have promised.
    fn finish_recovery(&mut self) {
        let Phase::Recovering(states) = &self.phase else { return };
        let Some(states) = states.iter().copied().collect::<Option<Vec<rank_state::RankState>>>() else {
            return;
        };
        let known: Vec<rank_state::RankState> = states.iter().copied().filter(|s| !s.is_uninitialized()).collect();
        let Some(first) = known.first() else {
            // All ranks were replaced at once. The group restarts from the stored map, which is outside the scope of
            // this state machine.
            return;
        };
        let in_force = known.iter().filter_map(|s| s.in_force).max();
        let committed = known.iter().find_map(|s| s.committed);
        let armed = known.iter().find_map(|s| s.armed);
        // A rank that has already started its first step on the map no longer holds the commit, but the map is active
        // there.
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
    /// Returns whether this phase waits for the given reply.
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

    /// Removes a rank from the pending ones. Returns `true` if none is left.
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
