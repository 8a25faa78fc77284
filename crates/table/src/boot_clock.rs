//! Monotonic clock that includes the time for which the machine was suspended.

use std::time::Duration;

use rustix::time::ClockId;
use sycamorestile_core::time;

/// Returns the time since the machine was booted.
///
/// Unlike `CLOCK_MONOTONIC`, this clock advances while the machine is suspended. Otherwise a key that was revoked
/// during the suspension would still count as fresh after it.
pub fn now() -> time::Time {
    let spec = rustix::time::clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(spec.tv_nsec).unwrap_or_default();
    time::Time::ZERO + Duration::new(secs, nanos)
}
