//! A segment of a prompt or a request that is refused because endpoints crash on it.

use std::sync::Arc;

use crate::direct::{owner, trials};
use crate::time;

/// A quarantined suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// Identifier of the segment, or of the content of the request.
    pub suspect: Arc<str>,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// Number of moments with such crashes.
    pub moments: usize,
    /// The suspects that explain the same crashes equally well and are quarantined with it, and itself, sorted; empty if there are
    /// no others. One of them may be the only one to blame. Quarantines share the list, which is as long as a prompt.
    pub partners: Arc<[Arc<str>]>,
    /// Which requests may test the suspect, unless enough have.
    pub(super) terms: Option<trials::Terms>,
    /// The organisation whose request was seen first.
    pub(super) owner: owner::Owner,
    /// Some of the endpoints that crashed.
    pub(super) endpoints: Vec<Arc<str>>,
    /// The time of the last crash that it explains, on the clock of the evidence.
    pub(super) last_crash_at: time::Time,
    /// The time of the last crash without which there would be no quarantine, on the clock of the evidence.
    pub(super) decided_at: time::Time,
}
