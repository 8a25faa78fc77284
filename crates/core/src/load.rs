//! Load of one endpoint, as its agent sees it.

use serde::{Deserialize, Serialize};

/// Load report of an agent. Small enough to ride on every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Attempts running at the endpoint.
    pub running: u32,
    /// Attempts waiting at the agent.
    pub queued: u32,
    /// Attempts that the endpoint runs at once; at least 1 in a report.
    pub slots: u32,
    /// Smoothed time that one attempt holds a slot, in microseconds.
    pub hold_us: u32,
    /// Smoothed time from start to the first token, in microseconds.
    pub first_us: u32,
    /// Smoothed time between tokens, in microseconds; zero before any.
    pub gap_us: u32,
}

/// Steps on a logarithmic scale per doubling, for [`Load::quantised`].
const STEPS_PER_DOUBLING: f64 = 4.0;

impl Load {
    /// Predicted microseconds until a new attempt of the least urgent class begins.
    pub fn wait_us(&self) -> u64 {
        let slots = u64::from(self.slots.max(1));
        let in_flight = u64::from(self.running) + u64::from(self.queued);
        let excess = (in_flight + 1).saturating_sub(slots);
        excess * u64::from(self.hold_us) / slots
    }

    /// The report with its times on a coarse scale, so that small changes send no message.
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

/// Step of a time on the coarse scale; zero stands for zero.
pub fn to_log_step(micros: u32) -> u8 {
    if micros == 0 {
        return 0;
    }
    // The largest time has step 128, so one more fits.
    1 + (f64::from(micros).log2() * STEPS_PER_DOUBLING).round() as u8
}

/// The time that stands for a step of the coarse scale, in microseconds.
pub fn from_log_step(step: u8) -> u32 {
    match step.checked_sub(1) {
        None => 0,
        Some(steps) => (f64::from(steps) / STEPS_PER_DOUBLING).exp2() as u32,
    }
}
