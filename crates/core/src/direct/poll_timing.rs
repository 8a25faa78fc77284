//! Timing of the polls of one topic of the platform's table, which follows from how soon its changes must be known.
//!
//! A poll asks the table to wait for a change. One that is never answered, because the table was silent or the connection was lost
//! without a sign, blinds its feed until it is given up. The promise of a topic therefore bounds its polls.

use std::time::Duration;

/// Timeout of a call to the table, in addition to the time for which it asks the table to wait. A slow table takes 250 ms
/// to respond.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Part of a topic's limit that is reserved for the read after a lost poll, for telling other instances of it, for their own
/// reads, and for late timers.
const PROPAGATION_TIME: Duration = Duration::from_millis(400);
/// Shortest wait of a poll.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// What a topic is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The age of the last response counts: after an outage, the first read must not wait for a change.
    Confirmation,
    /// Changes must be known in time, and nothing else counts.
    Changes,
    /// Changes are told on another way as well, or no promise depends on them.
    Background,
}

/// Timing of a topic's polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollTiming {
    /// Time within which changes must be known, counted from when the table answers or, after an outage, answers again.
    pub known_within: Duration,
    /// Delay after a response with changes, so that the next one returns several changes at once.
    pub batch_delay: Duration,
    /// What the topic is needed for.
    pub need: Need,
}

impl PollTiming {
    /// Returns the longest time for which the table may be asked to wait for a change.
    pub fn max_wait(&self) -> Duration {
        let lost_poll_spread = if self.need == Need::Background {
            self.return_spread()
        } else {
            Duration::ZERO
        };
        self.known_within
            .saturating_sub(CALL_TIMEOUT + PROPAGATION_TIME + lost_poll_spread)
            .max(MIN_WAIT)
    }

    /// Returns the period over which instances spread their reads of the topic after an outage.
    pub fn return_spread(&self) -> Duration {
        self.known_within / 4
    }

    /// Returns the longest time between two reads that test whether the table answers again.
    pub fn max_probe_interval(&self) -> Duration {
        self.known_within / 2
    }
}
