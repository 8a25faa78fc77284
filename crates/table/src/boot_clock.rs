//! The clock of a gateway.

use std::time::Duration;

use rustix::time::ClockId;
use sycamorestile_core::time;

/// Time since the machine's start, which goes on while the machine is suspended. The steady clock does not, and a key
/// that was revoked meanwhile would pass for fresh.
pub fn now() -> time::Time {
    let spec = rustix::time::clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(spec.tv_nsec).unwrap_or_default();
    time::Time::ZERO + Duration::new(secs, nanos)
}
