//! An endpoint, as described by the entry that it keeps in the platform's table.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use thiserror::Error;

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

/// The reason why an entry names no endpoint that can be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnusableEndpoint {
    /// The identifier can't be sent to the endpoint, so that the endpoint could not tell that it is meant.
    #[error("the identifier can't be sent in a header")]
    Identifier,
    /// No process listens at such an address.
    #[error("no process listens at such an address")]
    Address,
    /// The address belongs to the system itself.
    #[error("the address belongs to the system itself")]
    OwnAddress,
    /// The endpoint runs no requests.
    #[error("the endpoint has no slots")]
    Slots,
}

impl Endpoint {
    /// Checks that the endpoint can be called. `own_addrs` are addresses that belong to the system.
    ///
    /// # Errors
    ///
    /// Returns the reason if it can't. Such entries come from other writers of the table.
    pub fn check_usable(&self, own_addrs: &[SocketAddr]) -> Result<(), UnusableEndpoint> {
        let is_sendable = !self.id.is_empty() && self.id.trim() == &*self.id && !self.id.chars().any(char::is_control);
        let ip = self.addr.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        if !is_sendable {
            Err(UnusableEndpoint::Identifier)
        } else if self.addr.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            Err(UnusableEndpoint::Address)
        } else if own_addrs.contains(&self.addr) {
            Err(UnusableEndpoint::OwnAddress)
        } else if self.slots == 0 {
            Err(UnusableEndpoint::Slots)
        } else {
            Ok(())
        }
    }
}
