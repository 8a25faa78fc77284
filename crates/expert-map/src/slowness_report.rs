//! Decides when a rank's slowness has changed so much that it is worth telling others.
//!
//! Load condition addressed: a rank that becomes several times slower. The whole group waits for it, so its share of
//! the work has to go elsewhere, but ranks whose speed varies a little must not cause a write for each variation.

/// Slowness below which a rank counts as normal, in percent.
const MIN_SLOW_PERCENT: f64 = 130.0;
/// Factor by which the slowness must differ from the reported one.
const MIN_CHANGE: f64 = 1.25;
/// Slowness of a normal rank, in percent.
const NORMAL_PERCENT: f64 = 100.0;
/// Largest reported slowness, in percent.
const MAX_PERCENT: f64 = 10_000.0;

/// The slowness that was reported last.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlownessReport {
    reported_percent: f64,
}

impl Default for SlownessReport {
    fn default() -> Self {
        Self {
            reported_percent: NORMAL_PERCENT,
        }
    }
}

impl SlownessReport {
    /// Takes the rank's current slowness, which is 1 for a normal rank. Returns the percentage to report if it differs
    /// enough from the last one.
    pub fn update(&mut self, slowness: f64) -> Option<u32> {
        let percent = (slowness * NORMAL_PERCENT).clamp(NORMAL_PERCENT, MAX_PERCENT);
        let percent = if percent < MIN_SLOW_PERCENT {
            NORMAL_PERCENT
        } else {
            percent
        };
        let change = (percent / self.reported_percent).max(self.reported_percent / percent);
        if change.is_nan() || change < MIN_CHANGE {
            return None;
        }
        self.reported_percent = percent;
        Some(percent.round() as u32)
    }
}
