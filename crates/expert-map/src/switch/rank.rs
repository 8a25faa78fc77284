//! A rank's part of the switch.

use crate::switch::fencing_token;
use crate::switch::order;
use crate::switch::rank_state;
use crate::switch::reply;
use crate::switch::version;

/// Whether a step may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepPermission {
    /// On this map.
    Granted(version::Version),
    /// Not without a commit.
    Blocked,
}

/// State machine of one rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rank {
    /// Highest number promised; never decreases within an incarnation.
    promised: fencing_token::FencingToken,
    state: rank_state::RankState,
    /// Map whose weights are wanted beside those in force.
    load_request: Option<version::Version>,
    /// Map whose weights are loaded beside those in force.
    loaded: Option<version::Version>,
}

impl Rank {
    /// A rank that begins at step 0 on `version`.
    pub fn new(version: version::Version) -> Self {
        Self {
            state: rank_state::RankState {
                in_force: Some(version),
                ..rank_state::RankState::default()
            },
            ..Self::default()
        }
    }

    /// A rank that was replaced: it has no state until it is restored.
    pub fn uninitialized() -> Self {
        Self::default()
    }

    /// What the rank holds.
    pub fn state(&self) -> rank_state::RankState {
        self.state
    }

    /// Highest number promised.
    pub fn promised(&self) -> fencing_token::FencingToken {
        self.promised
    }

    /// Map whose weights should be loaded next.
    pub fn pending_load(&self) -> Option<version::Version> {
        self.load_request.filter(|version| self.loaded != Some(*version))
    }

    /// Notes that a map's weights are loaded.
    pub fn record_loaded(&mut self, version: version::Version) {
        if self.load_request == Some(version) {
            self.loaded = Some(version);
        }
    }

    /// Whether the next step may begin, and on which map.
    pub fn step_permission(&self) -> StepPermission {
        let Some(version) = self.state.in_force else {
            return StepPermission::Blocked;
        };
        let is_reached = |activation: &rank_state::MapActivation| self.state.next >= activation.at;
        if let Some(activation) = self.state.committed.filter(is_reached) {
            return StepPermission::Granted(activation.version);
        }
        if self.state.armed.is_some_and(|activation| is_reached(&activation)) {
            return StepPermission::Blocked;
        }
        StepPermission::Granted(version)
    }

    /// Notes that the next step has begun at all ranks.
    pub fn record_step_start(&mut self) {
        if let Some(activation) = self.state.committed
            && self.state.next >= activation.at
        {
            self.state.in_force = Some(activation.version);
            self.state.committed = None;
        }
        self.state.next = self.state.next.next();
    }

    /// Obeys or refuses an order. Giving the same order twice changes nothing more.
    pub fn handle_order(&mut self, order: &order::Order) -> reply::Reply {
        let body = if order.fencing < self.promised {
            reply::ReplyBody::Refused(reply::Refusal::Fenced(self.promised))
        } else {
            self.promised = order.fencing;
            self.execute(&order.body)
        };
        reply::Reply {
            fencing: order.fencing,
            body,
        }
    }

    fn execute(&mut self, body: &order::OrderBody) -> reply::ReplyBody {
        match body {
            order::OrderBody::Promise => reply::ReplyBody::Promised(self.state),
            order::OrderBody::Restore(state) => self.restore(*state),
            _ if self.state.is_uninitialized() => reply::ReplyBody::Refused(reply::Refusal::Uninitialized),
            order::OrderBody::Prepare(version) => self.prepare(*version),
            order::OrderBody::Arm { version, at } => self.arm(rank_state::MapActivation {
                version: *version,
                at: *at,
            }),
            order::OrderBody::Commit { version, at } => self.commit(rank_state::MapActivation {
                version: *version,
                at: *at,
            }),
            order::OrderBody::Disarm => self.disarm(),
        }
    }

    fn restore(&mut self, state: rank_state::RankState) -> reply::ReplyBody {
        if self.state.is_uninitialized() {
            self.state = state;
        }
        reply::ReplyBody::Restored
    }

    /// Whether a map is, or will be, in force.
    fn is_adopted(&self, version: version::Version) -> bool {
        let committed = self
            .state
            .committed
            .is_some_and(|activation| activation.version == version);
        committed || self.state.in_force == Some(version)
    }

    fn prepare(&mut self, version: version::Version) -> reply::ReplyBody {
        if self.is_adopted(version) || self.loaded == Some(version) {
            return reply::ReplyBody::Prepared(version);
        }
        self.load_request = Some(version);
        reply::ReplyBody::Loading(version)
    }

    fn arm(&mut self, activation: rank_state::MapActivation) -> reply::ReplyBody {
        if self.is_adopted(activation.version) || self.state.committed.is_some() {
            return reply::ReplyBody::Refused(reply::Refusal::AlreadyCommitted);
        }
        if self.loaded != Some(activation.version) {
            return reply::ReplyBody::Refused(reply::Refusal::NotPrepared);
        }
        let armed = reply::ReplyBody::Armed {
            version: activation.version,
            at: activation.at,
        };
        if self.state.armed == Some(activation) {
            return armed;
        }
        if activation.at < self.state.next {
            return reply::ReplyBody::Refused(reply::Refusal::StepStarted { next: self.state.next });
        }
        self.state.armed = Some(activation);
        armed
    }

    fn commit(&mut self, activation: rank_state::MapActivation) -> reply::ReplyBody {
        if self.is_adopted(activation.version) {
            return reply::ReplyBody::Committed(activation.version);
        }
        if self.state.armed != Some(activation) {
            return reply::ReplyBody::Refused(reply::Refusal::NotArmed);
        }
        self.state.armed = None;
        self.state.committed = Some(activation);
        reply::ReplyBody::Committed(activation.version)
    }

    fn disarm(&mut self) -> reply::ReplyBody {
        if self.state.committed.is_some() {
            return reply::ReplyBody::Refused(reply::Refusal::AlreadyCommitted);
        }
        self.state.armed = None;
        reply::ReplyBody::Disarmed
    }
}
