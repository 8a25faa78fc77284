//! Errors that stop a map agent.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Error of running a map agent.
#[derive(Debug, Error)]
pub enum MapAgentError {
    /// The UDP socket could not be bound.
    #[error("failed to bind the UDP socket to {addr}")]
    Bind {
        /// Address of the socket.
        addr: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The async runtime could not be started.
    #[error("failed to start the async runtime")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("failed to install signal handlers")]
    Signals(#[source] io::Error),
}
