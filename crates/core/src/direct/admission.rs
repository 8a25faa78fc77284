//! Admission control for streams: a stream either starts now or is refused at once.
//!
//! Load condition addressed: more streams than a lock-step group can serve in time. Each additional stream slows down
//! all streams of the group, and a stream that waits behind full batches misses its latency objective and delays the
//! streams behind it.

use std::time::Duration;

use crate::direct::placement;

/// Load of the least loaded endpoint, as a share of its slots, below which streams are admitted.
///
/// A shift in demand doubles the duration of a pass until new expert maps are in force. With fuller batches, that alone
/// would make the gaps between tokens of all running streams exceed their objective.
const MAX_LOAD: f64 = 0.85;
/// Shortest delay after which a refused caller is asked to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Additional retry delay per full batch of requests in flight beyond the first.
const RETRY_DELAY_PER_BATCH: Duration = Duration::from_millis(600);

/// Whether a stream is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The stream may start.
    Admit,
    /// The stream is refused; the caller may retry after this delay.
    Refuse(Duration),
}

/// Decides whether a service under `load` admits another stream.
pub fn admit_stream(load: &placement::ServiceLoad) -> Admission {
    if load.min_load < MAX_LOAD {
        return Admission::Admit;
    }
    let batches = f64::from(load.in_flight) / f64::from(load.slots.max(1));
    let extra_delay = RETRY_DELAY_PER_BATCH.mul_f64((batches - 1.0).clamp(0.0, 4.0));
    Admission::Refuse(MIN_RETRY_DELAY + extra_delay)
}
