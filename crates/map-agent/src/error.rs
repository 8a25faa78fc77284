//! Failures that end a map agent.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a map agent can't run.
#[derive(Debug, Error)]
pub enum MapAgentError {
    /// The address for datagrams can't be bound.
    #[error("the address {addr} for datagrams can't be bound")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        #[source]
        source: io::Error,
    },
    /// The runtime can't be started.
    #[error("the runtime can't be started")]
    Runtime(#[source] io::Error),
    /// Signals can't be waited for.
    #[error("signals can't be waited for")]
    Signals(#[source] io::Error),
}
