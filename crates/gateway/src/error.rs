//! Errors that stop a gateway.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// The reason why a gateway can't start or continue.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The gateway can't listen on an address.
    #[error("failed to listen on {addr} for {what}")]
    Bind {
        /// The purpose of the address.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A thread or its runtime can't be started.
    #[error("failed to start the {what} thread")]
    Thread {
        /// The name of the thread.
        what: &'static str,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[error("failed to install signal handlers")]
    Signals(#[source] io::Error),
}
