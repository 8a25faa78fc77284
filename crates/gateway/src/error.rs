//! Failures that end a gateway.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a gateway can't run.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("the address {addr} for {what} can't be listened on")]
    Bind {
        /// What it is for.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        #[source]
        source: io::Error,
    },
    /// A thread or its runtime can't be started.
    #[error("the {what} thread can't be started")]
    Thread {
        /// Which thread.
        what: &'static str,
        /// What the system says.
        #[source]
        source: io::Error,
    },
    /// Signals can't be waited for.
    #[error("signals can't be waited for")]
    Signals(#[source] io::Error),
}
