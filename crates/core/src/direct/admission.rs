//! Whether a stream is begun now or refused at once.
//!
//! The load it answers: more streams than a lock-step group can write in time. Every further stream slows all streams
//! of the group, and one that waits behind full batches misses its objective and holds up those behind it.

use std::time::Duration;

use crate::direct::placement;

/// Share of an endpoint's slots up to which streams are begun. A shift of demand doubles the time of a pass until new maps
/// are in force; with fuller batches that alone takes pauses over their objective, and every running stream is late.
const MAX_LOAD: f64 = 0.85;
/// Shortest wait that a refusal names.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Wait for each whole batch that is ahead.
const RETRY_DELAY_PER_BATCH: Duration = Duration::from_millis(600);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is begun.
    Admit,
    /// It is refused, and may come back after this time.
    Refuse(Duration),
}

/// Decides on a stream for a service under `load`.
pub fn admit_stream(load: &placement::ServiceLoad) -> Admission {
    if load.min_load < MAX_LOAD {
        return Admission::Admit;
    }
    let batches = f64::from(load.in_flight) / f64::from(load.slots.max(1));
    let extra_delay = RETRY_DELAY_PER_BATCH.mul_f64((batches - 1.0).clamp(0.0, 4.0));
    Admission::Refuse(MIN_RETRY_DELAY + extra_delay)
}
