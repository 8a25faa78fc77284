//! Settings of a map agent.

use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of a map agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Address on which datagrams from other agents are received.
    pub peers: SocketAddr,
    /// Address of the rank on this instance.
    pub rank: SocketAddr,
    /// Service of the rank, if the settings name it.
    pub service: Option<Arc<str>>,
    /// Address of the platform's table.
    pub table: SocketAddr,
}
