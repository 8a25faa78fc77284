//! Errors of starting a daemon.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Error of starting a daemon.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("failed to listen on {what} address {addr}")]
    #[diagnostic(help("use an address of this instance with a free port, or port 0 for any free port"))]
    Bind {
        /// Purpose of the address.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A thread cannot be spawned.
    #[error("failed to start the {what} thread")]
    Thread {
        /// Purpose of the thread.
        what: &'static str,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
}
