//! What another gateway of the failure domain reported to have read from the table.

use std::sync::Arc;

use sycamorestile_core::direct::confirmation;

/// The reads that another gateway of the failure domain reported.
#[derive(Debug)]
pub(crate) struct PeerRead {
    /// The name of the gateway's instance.
    pub(crate) instance: Arc<str>,
    /// The version of the declarations that it read, and when.
    pub(crate) declarations: Option<confirmation::Confirmation>,
    /// The version of the newest change of endpoints that it read, and when.
    pub(crate) endpoints: Option<confirmation::Confirmation>,
}
