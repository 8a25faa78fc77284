//! Snapshot of the board that traffic reads.

use std::sync::Arc;

use sycamorestile_core::config::state;
use sycamorestile_core::membership;

/// Snapshot published by the control thread and read by traffic.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    pub(crate) config: Arc<state::ConfigState>,
    pub(crate) members: membership::Membership,
    /// Whether a configuration is applied.
    pub(crate) ready: bool,
    /// Whether new calls are refused because the entry is draining.
    pub(crate) draining: bool,
}
