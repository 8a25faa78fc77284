//! A segment of a prompt that is refused because endpoints crash on it.

use std::sync::Arc;

use crate::time;

/// A quarantined segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// The segment.
    pub segment: Arc<str>,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// When the quarantine ends if there are no further crashes, on the clock of the evidence.
    pub(super) until: time::Time,
}
