//! Whether the platform's table answers, as one process sees it through all of its reads.
//!
//! While the table is away, the process tests it with one read at a time, whichever feed that belongs to. The first answer
//! ends the outage for all feeds: what they have outstanding was sent before it and may be lost.
//!
//! Load condition addressed: an outage ends for all instances at the same moment, and each follows several topics. Tests come
//! at a rate that all instances share, and the reads after the return are spread by the limits of their topics.

use std::time::Duration;

use crate::direct::poll_timing;
use crate::time;

/// Rate at which all instances together test whether the table answers again, in reads per second.
const PROBES_PER_SECOND: f64 = 600.0;
/// Shortest time between two such reads of one process.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What a process knows about the availability of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableAvailability {
    /// When the last response arrived.
    last_answer: Option<time::Time>,
    /// When the read was sent that showed the table to be away, while it is.
    away_since: Option<time::Time>,
    /// When the first response after the last outage arrived.
    returned_at: Option<time::Time>,
    /// Reads that were sent before this time and have no response may be lost.
    lost_before: time::Time,
    /// Time before which no read tests the table while it is away.
    next_probe: time::Time,
    /// Number of instances that share the rate of tests, as far as they are known.
    sharers: usize,
}

impl TableAvailability {
    /// Sets the number of instances that read the table.
    pub fn set_sharers(&mut self, count: usize) {
        self.sharers = count;
    }

    /// Records a response to a read that was sent at `sent`. Returns whether it ended an outage.
    pub fn record_answer(&mut self, sent: time::Time, now: time::Time) -> bool {
        self.last_answer = Some(now);
        // A response to an earlier read may have been made before the outage.
        if self.away_since.is_none_or(|since| sent <= since) {
            return false;
        }
        self.away_since = None;
        self.returned_at = Some(now);
        self.lost_before = now;
        true
    }

    /// Records that a read, which was sent at `sent`, failed or got no response. Returns whether this shows that an outage has
    /// begun, in which case tests begin after `first_delay`.
    ///
    /// If a response has arrived since, the read alone was lost.
    pub fn record_failure(&mut self, sent: time::Time, first_delay: Duration, now: time::Time) -> bool {
        if self.away_since.is_some() || self.last_answer.is_some_and(|at| at > sent) {
            return false;
        }
        self.away_since = Some(sent);
        self.next_probe = now + first_delay;
        true
    }

    /// Records that a poll got no response, so that others that are outstanding may be lost as well.
    pub fn record_lost_poll(&mut self, now: time::Time) {
        self.lost_before = now;
    }

    /// Returns whether the table is away.
    pub fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// Returns when the last outage ended, as far as this process has noticed.
    pub fn returned_at(&self) -> Option<time::Time> {
        self.returned_at
    }

    /// Returns the time before which reads were sent that may be lost if they have no response.
    pub fn lost_before(&self) -> time::Time {
        self.lost_before
    }

    /// Returns the time between two tests of this process by a feed with `timing`.
    pub fn probe_interval(&self, timing: &poll_timing::PollTiming) -> Duration {
        let by_rate = Duration::from_secs_f64(self.sharers as f64 / PROBES_PER_SECOND);
        by_rate.max(MIN_PROBE_INTERVAL).min(timing.max_probe_interval())
    }

    /// Takes the right to test the table by a feed with `timing`. Feeds that are needed in the background only take it if no
    /// other does.
    ///
    /// # Errors
    ///
    /// Returns the time until the next test is due.
    pub fn claim_probe(&mut self, timing: &poll_timing::PollTiming, now: time::Time) -> Result<(), Duration> {
        let precedence = match timing.need {
            poll_timing::Need::Background => MIN_PROBE_INTERVAL,
            poll_timing::Need::Confirmation | poll_timing::Need::Changes => Duration::ZERO,
        };
        let remaining = (self.next_probe + precedence).since(now);
        if !remaining.is_zero() {
            return Err(remaining);
        }
        self.next_probe = now + self.probe_interval(timing);
        Ok(())
    }
}
