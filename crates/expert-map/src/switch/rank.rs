//! The rank side of the map switch.

use crate::switch::fencing_token;
use crate::switch::order;
use crate::switch::rank_state;
use crate::switch::reply;
use crate::switch::version;

/// Whether the next step may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepPermission {
    /// The step may start on the map with this version.
    Granted(version::Version),
    /// The step may not start without a commit.
    Blocked,
}

/// The state machine of a rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rank {
    /// The highest fencing token promised. It never decreases within an incarnation.
    promised: fencing_token::FencingToken,
    state: rank_state::RankState,
    /// The map whose weights are requested in addition to the active ones.
    load_request: Option<version::Version>,
    /// The map whose weights are loaded in addition to the active ones.
    loaded: Option<version::Version>,
}

impl Rank {
    /// Creates a rank that starts at step 0 on `version`.
    pub fn new(version: version::Version) -> Self {
        Self {
            state: rank_state::RankState {
                in_force: Some(version),
                ..rank_state::RankState::default()
            },
            ..Self::default()
        }
    }

    /// Creates a replaced rank, which has no state until it is restored.
    pub fn uninitialized() -> Self {
        Self::default()
    }

    /// Returns the state of the rank.
    pub fn state(&self) -> rank_state::RankState {
        self.state
    }

    /// Returns the highest fencing token promised.
    pub fn promised(&self) -> fencing_token::FencingToken {
        self.promised
    }

    /// Returns the map whose weights are to be loaded next.
    pub fn pending_load(&self) -> Option<version::Version> {
        self.load_request.filter(|version| self.loaded != Some(*version))
    }

    /// Records that the weights of a map are loaded.
    pub fn record_loaded(&mut self, version: version::Version) {
        if self.load_request == Some(version) {
            self.loaded = Some(version);
        }
    }

    /// Returns whether the next step may start, and on which map.
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

    /// Records that the next step has started on all ranks.
    pub fn record_step_start(&mut self) {
        if let Some(activation) = self.state.committed
            && self.state.next >= activation.at
        {
            self.state.in_force = Some(activation.version);
            self.state.committed = None;
        }
        self.state.next = self.state.next.next();
    }

    /// Executes or refuses an order. This is idempotent.
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

    /// Returns whether a map is active or committed.
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
