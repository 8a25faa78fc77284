//! What control publishes for traffic.

use std::sync::Arc;

use sycamorestile_core::direct::{confirmation, declarations, endpoint, freshness};

/// State of the blackboard at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// `None` until the first declarations are read. Versions never go back.
    pub(crate) declared: Option<Arc<declarations::Declarations>>,
    /// When the declarations were confirmed.
    pub(crate) freshness: freshness::Freshness,
    /// This gateway's own last read of the declarations, for its peers.
    pub(crate) own_read: Option<confirmation::Confirmation>,
    /// Endpoints that take requests, sorted by service, then id.
    pub(crate) endpoints: Arc<Vec<Arc<endpoint::Endpoint>>>,
    /// Whether endpoints were read at all.
    pub(crate) endpoints_known: bool,
    /// Gateways that wrote where they are.
    pub(crate) gateways: Arc<Vec<GatewayAddr>>,
}

/// Where a gateway is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GatewayAddr {
    /// Its instance's name.
    pub(crate) instance: Arc<str>,
    /// Its address for peers.
    pub(crate) addr: std::net::SocketAddr,
}

impl Snapshot {
    /// Endpoints of `service`.
    pub(crate) fn endpoints_of(&self, service: &str) -> &[Arc<endpoint::Endpoint>] {
        let begin = self.endpoints.partition_point(|e| e.service.as_ref() < service);
        let rest = self.endpoints.get(begin..).unwrap_or_default();
        let len = rest.partition_point(|e| e.service.as_ref() == service);
        rest.get(..len).unwrap_or_default()
    }
}
