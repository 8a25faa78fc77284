//! What another gateway reported to have read from the table.

use std::sync::Arc;

use sycamorestile_core::direct::{accepted_versions, confirmation};

/// The reads that another gateway reported.
#[derive(Debug)]
pub(crate) struct PeerRead {
    /// The name of the gateway's instance.
    pub(crate) instance: Arc<str>,
    /// What it tells of the declarations.
    pub(crate) accepted: Option<accepted_versions::Told>,
    /// The same, and when it was the newest, if the gateway is of the same failure domain.
    pub(crate) declarations: Option<confirmation::Confirmation>,
    /// The version of the newest change of endpoints that it read, and when, if it is of the same failure domain.
    pub(crate) endpoints: Option<confirmation::Confirmation>,
}
