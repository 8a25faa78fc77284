//! The state that the control thread publishes for the traffic thread.

use std::sync::Arc;

use sycamorestile_core::direct::{confirmation, declarations, endpoint, freshness, peer_rows, sharer_count};
use sycamorestile_core::time;
use sycamorestile_table::era;

/// The declarations, endpoints and gateways at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// The active declarations, or `None` until the first read. Their version never decreases.
    pub(crate) declared: Option<Arc<declarations::Declarations>>,
    /// When the declarations were last confirmed to be the newest.
    pub(crate) freshness: freshness::Freshness,
    /// This gateway's own last read of the declarations, which is sent to its peers.
    pub(crate) own_read: Option<confirmation::Confirmation>,
    /// This gateway's own last read of the endpoints, which is sent to its peers.
    pub(crate) own_endpoint_read: Option<confirmation::Confirmation>,
    /// The endpoints that accept requests, sorted by service, then by identifier.
    pub(crate) endpoints: Arc<Vec<Arc<endpoint::Endpoint>>>,
    /// Whether this gateway has started lately and can't rely on its own reads of the declarations yet.
    pub(crate) is_starting: bool,
    /// Until when peers are asked for the versions that they have accepted, if they are.
    pub(crate) asks_until: Option<time::Time>,
    /// Up to when all changes of endpoints are known.
    pub(crate) endpoints_confirmed_at: Option<time::Time>,
    /// Whether the endpoints were read at least once.
    pub(crate) endpoints_known: bool,
    /// The rows of gateways in the table that count, including this one's.
    pub(crate) gateways: Arc<peer_rows::PeerRows>,
    /// The number of gateways, including this one.
    pub(crate) gateway_count: sharer_count::SharerCount,
    /// The newest era of the table, if it names eras.
    pub(crate) era: Option<era::Era>,
    /// Whether the gateways were read at least once.
    pub(crate) gateways_known: bool,
}

impl Snapshot {
    /// Returns whether any service has the endpoint `id`.
    pub(crate) fn lists_endpoint(&self, id: &str) -> bool {
        let mut rest = self.endpoints.as_slice();
        while let Some(first) = rest.first() {
            let (of_service, others) = rest.split_at(rest.partition_point(|e| e.service <= first.service));
            if of_service.binary_search_by(|e| e.id.as_ref().cmp(id)).is_ok() {
                return true;
            }
            rest = others;
        }
        false
    }

    /// Returns the endpoints of `service`.
    pub(crate) fn endpoints_of(&self, service: &str) -> &[Arc<endpoint::Endpoint>] {
        let begin = self.endpoints.partition_point(|e| e.service.as_ref() < service);
        let rest = self.endpoints.get(begin..).unwrap_or_default();
        let len = rest.partition_point(|e| e.service.as_ref() == service);
        rest.get(..len).unwrap_or_default()
    }
}
