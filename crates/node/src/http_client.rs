//! Streaming HTTP client for the two hops whose answers are read frame by frame.
//!
//! `ureq` bounds a whole body but not the silence between two reads, and a silent connection has to be noticed between
//! two tokens. These hops therefore use hyper's client connection. Each exchange opens its own connection: a kept one
//! may have gone silent for good, which would cost a time-out, while a new one costs a round trip.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time;

/// Time-out of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an exchange gave no response head.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection came about; no byte of the request left.
    #[error("no connection to {addr}")]
    NotSent {
        /// Where to.
        addr: SocketAddr,
    },
    /// The connection broke before the response head.
    #[error("the connection to {addr} broke")]
    Broken {
        /// Where to.
        addr: SocketAddr,
        /// What the library says.
        #[source]
        source: hyper::Error,
    },
    /// No response head came in time.
    #[error("{addr} did not answer in time")]
    TimedOut {
        /// Where to.
        addr: SocketAddr,
    },
}

/// Sends `req` to `addr` over a new connection and waits up to `patience` for the response head.
///
/// # Errors
///
/// [`ExchangeError`], which tells whether a byte may have left.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Incoming>, ExchangeError> {
    let Ok(Ok(stream)) = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
        return Err(ExchangeError::NotSent { addr });
    };
    // Without this option small frames wait for acknowledgements of earlier ones; the connection works either way.
    let _nodelay = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|source| ExchangeError::Broken { addr, source })?;
    tokio::spawn(connection);
    match time::timeout(timeout, sender.send_request(req)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(source)) => Err(ExchangeError::Broken { addr, source }),
        Err(_) => Err(ExchangeError::TimedOut { addr }),
    }
}
