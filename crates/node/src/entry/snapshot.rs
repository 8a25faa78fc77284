//! What traffic reads of the board.

use std::sync::Arc;

use sycamorestile_core::config::state;
use sycamorestile_core::membership;

/// Published by the control thread, read by traffic.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    pub(crate) config: Arc<state::ConfigState>,
    pub(crate) members: membership::Membership,
    /// Declarations are in force.
    pub(crate) ready: bool,
    /// Nothing new is accepted from callers.
    pub(crate) draining: bool,
}
