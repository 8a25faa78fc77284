//! An endpoint as its own entry in the platform's table describes it.

use std::net::SocketAddr;
use std::sync::Arc;

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifies one start of the endpoint's process, though a restarted process may take its former identifier.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it is called. May pass to another service once this endpoint is gone.
    pub addr: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
}
