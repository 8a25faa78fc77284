//! Settings of a map agent.

use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of a map agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Address for datagrams of other agents.
    pub peers: SocketAddr,
    /// Address of this machine's rank.
    pub rank: SocketAddr,
    /// Service that the rank belongs to, where the settings name it.
    pub service: Option<Arc<str>>,
    /// Address of the platform's table.
    pub table: SocketAddr,
}
