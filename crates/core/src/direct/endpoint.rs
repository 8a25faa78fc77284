//! An endpoint, as described by the entry that it keeps in the platform's table.

use std::net::SocketAddr;
use std::sync::Arc;

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests, accepts no new ones and then stops.
    Draining,
}

/// An endpoint of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifier of one run of the endpoint's process. A restarted process may reuse its former identifier.
    pub id: Arc<str>,
    /// When that process started, in milliseconds since the Unix epoch, if it is known. Tells processes with the same
    /// identifier apart.
    pub started_at_ms: Option<u64>,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address for requests. Another service may reuse the address once this endpoint is gone.
    pub addr: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: Arc<str>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Time that the endpoint takes for the same work relative to others, in percent; 100 unless it is known to be slow.
    pub slowness_percent: u32,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
}
