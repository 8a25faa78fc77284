//! Timeouts of a connection.

use std::time::Duration;

use tokio::time::Instant;

use crate::close_reason::CloseReason;

/// The timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// The longest time for a request head.
    pub head: Duration,
    /// The longest time without a request, and without taking a byte of a response.
    pub idle: Duration,
}

/// The action that the timeouts of a connection require.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimeoutAction {
    /// No timeout expires before this time. Check again then.
    WaitUntil(Instant),
    /// Close the connection.
    Close(CloseReason),
}

impl TimeoutAction {
    /// Returns the action of a timeout that expires at `end`.
    pub(crate) fn at(end: Instant, now: Instant, reason: CloseReason) -> Self {
        if end <= now {
            Self::Close(reason)
        } else {
            Self::WaitUntil(end)
        }
    }
}
