//! A segment of a prompt or a request that is refused because endpoints crash on it.

use std::sync::Arc;

use crate::time;

/// A quarantined suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// Identifier of the segment, or of the content of the request.
    pub suspect: Arc<str>,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// When the quarantine ends if there are no further crashes, on the clock of the evidence.
    pub(super) until: time::Time,
}
