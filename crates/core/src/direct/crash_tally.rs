//! Counts of the crashes that a segment of a prompt may have caused.

use std::sync::Arc;

use crate::time;

/// What a segment may have caused.
pub(super) struct Tally {
    pub(super) segment: Arc<str>,
    /// Number of crashes.
    pub(super) crashes: usize,
    /// The moments at which an endpoint crashed, in order.
    pub(super) moments: Vec<time::Time>,
    /// The moments at which most of the endpoints that crashed had the segment, in order. A moment stands there as often as
    /// it counts.
    pub(super) blamed_at: Vec<time::Time>,
}

impl Tally {
    pub(super) fn new(segment: &Arc<str>) -> Self {
        Self {
            segment: Arc::clone(segment),
            crashes: 0,
            moments: Vec::new(),
            blamed_at: Vec::new(),
        }
    }
}
