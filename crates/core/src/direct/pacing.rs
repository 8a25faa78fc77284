//! Delays the start of streams while a group's passes are too long.
//!
//! Load condition addressed: a lock-step group whose passes take longer than the pauses that callers accept, mostly for
//! the fraction of a second between a shift of the experts in demand and the next expert map. A stream that starts in
//! that time is late itself, and reading its prompt makes the passes still longer for all other streams. If it starts
//! when the passes are short again, and its first event is still in time, all of them gain.

use std::time::Duration;

use crate::direct::route;
use crate::time;

/// Duration of a pass, as a share of the accepted pause, from which streams wait. Passes get longer from one to the next
/// after a shift of demand, and one that is too long makes all running streams late.
const LONG_PASS: f64 = 0.7;
/// Age at which the last observed pass says nothing about the current one.
const PASS_MAX_AGE: Duration = Duration::from_millis(600);

/// The duration of a group's passes, as seen in the pauses between the events of its streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacing {
    /// Duration of the last observed pass.
    last_pass: Duration,
    /// When it ended.
    ended_at: time::Time,
}

impl Pacing {
    /// Records that a stream's event followed its previous event after `pause`. All running streams of a group get an
    /// event with each pass.
    pub fn record_pause(&mut self, pause: Duration, now: time::Time) {
        self.last_pass = pause;
        self.ended_at = now;
    }

    /// Returns whether to wait before a stream is started that has waited for `waited` already.
    ///
    /// `response_time` is how long a response takes to begin once the request is sent.
    pub fn should_wait(
        &self,
        objectives: &route::StreamObjectives,
        waited: Duration,
        response_time: Duration,
        now: time::Time,
    ) -> bool {
        let since = now.since(self.ended_at);
        let pass = self.last_pass.max(since);
        since < PASS_MAX_AGE
            && pass > objectives.pause.mul_f64(LONG_PASS)
            && waited + response_time < objectives.first_event
    }
}
