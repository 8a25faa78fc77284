//! One caller's request on its way through endpoints.
//!
//! This machine alone decides whether a request is sent again and what its caller is told. The driver reports what
//! happened to each send.

use crate::direct::route;

/// Connections that may fail before a request is given up: nothing was sent, so more than one is harmless, but each
/// costs the caller a time-out.
const MAX_FAILED_CONNECTS: u32 = 3;

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAttempt {
    /// Send it to an endpoint that has not had it, if the retry budget affords it when `repeat` is set.
    Send {
        /// Whether an endpoint may already have got it.
        repeat: bool,
    },
    /// Give up.
    End(FailureOutcome),
}

/// What a caller is told when no endpoint's answer is handed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureOutcome {
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The state of one request.
#[derive(Debug, Clone)]
pub struct RequestAttempts {
    kind: route::RouteKind,
    max_attempts: u32,
    /// Sends of which a byte may have left; at most `max_attempts`.
    sent_count: u32,
    failed_connects: u32,
    /// Whether some endpoint may have run it. Never goes back to `false`.
    may_have_run: bool,
    /// Whether a send is under way whose fate is open.
    is_pending: bool,
}

impl RequestAttempts {
    /// A request that was read and not sent.
    pub fn new(kind: route::RouteKind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts: max_attempts.max(1),
            sent_count: 0,
            failed_connects: 0,
            may_have_run: false,
            is_pending: false,
        }
    }

    /// A byte may leave from now on.
    pub fn start(&mut self) {
        self.sent_count += 1;
        self.is_pending = true;
    }

    /// No connection came about, or it closed before the request left.
    pub fn not_sent(&mut self) -> NextAttempt {
        if self.is_pending {
            self.is_pending = false;
            self.sent_count -= 1;
        }
        self.failed_connects += 1;
        if self.failed_connects < MAX_FAILED_CONNECTS {
            self.next_attempt()
        } else {
            NextAttempt::End(self.failure_outcome())
        }
    }

    /// The endpoint proved that it did not run it.
    pub fn refused(&mut self) -> NextAttempt {
        self.is_pending = false;
        self.next_attempt()
    }

    /// Sent, and no whole answer came.
    pub fn lost(&mut self) -> NextAttempt {
        self.is_pending = false;
        self.may_have_run = true;
        self.next_attempt()
    }

    /// The endpoint ran it and failed. The failure can be handed on when the result is [`NextAttempt::End`].
    pub fn failed(&mut self) -> NextAttempt {
        self.lost()
    }

    /// What the caller is told when nothing more is tried, whatever the reason.
    pub fn failure_outcome(&self) -> FailureOutcome {
        if self.may_have_run || self.is_pending {
            FailureOutcome::Unknown
        } else {
            FailureOutcome::NotRun
        }
    }

    /// Endpoints that it was sent to.
    pub fn sent_count(&self) -> u32 {
        self.sent_count
    }

    fn next_attempt(&self) -> NextAttempt {
        let may_repeat = !self.may_have_run || self.kind.is_repeatable();
        if may_repeat && self.sent_count < self.max_attempts {
            NextAttempt::Send {
                repeat: self.sent_count > 0,
            }
        } else {
            NextAttempt::End(self.failure_outcome())
        }
    }
}
