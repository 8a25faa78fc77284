//! The attempts of one caller's request.
//!
//! This state machine alone decides whether another attempt follows and which outcome is reported to the caller. The
//! driver reports the result of each attempt to it.

use crate::direct::route;

/// Number of failed connections after which a request is given up. Nothing was sent over a failed connection, so trying
/// again is safe, but each one may cost the caller a connection timeout.
const MAX_FAILED_CONNECTS: u32 = 3;

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAttempt {
    /// Send the request to an endpoint that was not tried yet. If `repeat` is set, the retry budget must allow it.
    Send {
        /// Whether the request was already sent to an endpoint.
        repeat: bool,
    },
    /// Give up and report this outcome.
    End(FailureOutcome),
}

/// The outcome that is reported to a caller when no endpoint's response can be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureOutcome {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Tracks the attempts of one request.
#[derive(Debug, Clone)]
pub struct RequestAttempts {
    kind: route::RouteKind,
    max_attempts: u32,
    /// Number of attempts for which a byte may have been sent; at most `max_attempts`.
    sent_count: u32,
    failed_connects: u32,
    /// Whether an endpoint may have run the request. Never reset to `false`.
    may_have_run: bool,
    /// Whether an attempt has started whose result is not known yet.
    is_pending: bool,
    /// Whether the request counts towards the retry budget already.
    is_counted: bool,
}

impl RequestAttempts {
    /// Creates the state of a request that was not sent yet.
    pub fn new(kind: route::RouteKind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts: max_attempts.max(1),
            sent_count: 0,
            failed_connects: 0,
            may_have_run: false,
            is_pending: false,
            is_counted: false,
        }
    }

    /// Returns `true` only in the first call, so that a request counts once towards the retry budget however many
    /// connections it takes to send it.
    pub fn count_request(&mut self) -> bool {
        !std::mem::replace(&mut self.is_counted, true)
    }

    /// Records that an attempt starts, so that bytes of the request may be sent from now on.
    pub fn start(&mut self) {
        self.sent_count += 1;
        self.is_pending = true;
    }

    /// Records that no byte was sent, since no connection was established or it closed before the write.
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

    /// Records that the endpoint proved that it did not run the request.
    pub fn refused(&mut self) -> NextAttempt {
        self.is_pending = false;
        self.next_attempt()
    }

    /// Records that the request was sent and no complete response arrived.
    pub fn lost(&mut self) -> NextAttempt {
        self.set_aside();
        self.next_attempt()
    }

    /// Records that the attempt goes on while another one is made, or that it was withdrawn because an earlier one went on. The
    /// request may run there.
    pub fn set_aside(&mut self) {
        self.is_pending = false;
        self.may_have_run = true;
    }

    /// Records that the endpoint ran the request and failed. If this returns [`NextAttempt::End`], the driver may
    /// forward the endpoint's response.
    pub fn failed(&mut self) -> NextAttempt {
        self.lost()
    }

    /// Returns the outcome to report to the caller if no further attempt is made, whatever the reason.
    pub fn failure_outcome(&self) -> FailureOutcome {
        if self.may_have_run || self.is_pending {
            FailureOutcome::Unknown
        } else {
            FailureOutcome::NotRun
        }
    }

    /// Returns whether another attempt could follow if the current one were abandoned.
    pub fn may_abandon(&self) -> bool {
        self.kind.is_repeatable() && self.sent_count < self.max_attempts
    }

    /// Returns the number of endpoints that the request was sent to.
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
