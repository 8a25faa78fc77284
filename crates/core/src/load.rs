//! Load of one endpoint as measured by its agent.

use serde::{Deserialize, Serialize};

/// Load of an endpoint, small enough to be included in every frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of attempts running at the endpoint.
    pub running: u32,
    /// Number of attempts queued at the agent.
    pub queued: u32,
    /// Maximum number of attempts that the endpoint runs at once, at least 1 in a report.
    pub slots: u32,
    /// Smoothed time for which an attempt holds its slot, in microseconds.
    pub hold_us: u32,
    /// Smoothed time from the start of an attempt to its first token, in microseconds.
    pub first_us: u32,
    /// Smoothed time between two tokens, in microseconds; zero before the first sample.
    pub gap_us: u32,
}

/// Number of steps per doubling on the logarithmic scale of [`Load::quantised`].
const STEPS_PER_DOUBLING: f64 = 4.0;

impl Load {
    /// Returns the predicted time until a new attempt of the least urgent class begins, in microseconds.
    pub fn wait_us(&self) -> u64 {
        let slots = u64::from(self.slots.max(1));
        let in_flight = u64::from(self.running) + u64::from(self.queued);
        let excess = (in_flight + 1).saturating_sub(slots);
        excess * u64::from(self.hold_us) / slots
    }

    /// Returns the load with its times rounded to a logarithmic scale, so that small changes cause no messages.
    #[must_use]
    pub fn quantised(self) -> Self {
        Self {
            hold_us: quantise_micros(self.hold_us),
            first_us: quantise_micros(self.first_us),
            gap_us: quantise_micros(self.gap_us),
            ..self
        }
    }
}

fn quantise_micros(micros: u32) -> u32 {
    from_log_step(to_log_step(micros))
}

/// Converts a time in microseconds to a step on the logarithmic scale. Step 0 stands for zero.
pub fn to_log_step(micros: u32) -> u8 {
    if micros == 0 {
        return 0;
    }
    // The longest time is at 128 steps, so the sum fits into a `u8`.
    1 + (f64::from(micros).log2() * STEPS_PER_DOUBLING).round() as u8
}

/// Converts a step on the logarithmic scale to a time in microseconds.
pub fn from_log_step(step: u8) -> u32 {
    match step.checked_sub(1) {
        None => 0,
        Some(steps) => (f64::from(steps) / STEPS_PER_DOUBLING).exp2() as u32,
    }
}
