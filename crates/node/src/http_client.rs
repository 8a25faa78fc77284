//! HTTP client for the two hops whose responses are read frame by frame.
//!
//! `ureq` has a timeout for a complete body but not for the time between two reads, and a stalled connection must be
//! detected between two tokens. These hops therefore use hyper's client connection directly. Each request opens its own
//! connection: a pooled one may have stalled, which would cost a timeout, while a new one costs a round trip.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sycamorestile_connection::read_limit;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time;

/// Timeout of connecting.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of a request that received no response head.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection could not be established. No byte of the request was sent.
    #[error("failed to connect to {addr}")]
    NotSent {
        /// The address that the request was for.
        addr: SocketAddr,
    },
    /// The connection broke before the response head was received.
    #[error("the connection to {addr} broke")]
    Broken {
        /// The address that the request was for.
        addr: SocketAddr,
        /// Error of the HTTP connection.
        #[source]
        source: hyper::Error,
    },
    /// The response head was not received in time.
    #[error("no response from {addr} in time")]
    TimedOut {
        /// The address that the request was for.
        addr: SocketAddr,
    },
}

/// Returns whether `addr` refuses a new connection, since no process listens there. An address that can't be reached
/// doesn't count.
pub async fn refuses_connections(addr: SocketAddr) -> bool {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connecting, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Sends `req` to `addr` over a new connection and waits up to `timeout` for the response head.
///
/// # Errors
///
/// Returns an [`ExchangeError`], which tells whether any byte of the request may have been sent.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Incoming>, ExchangeError> {
    let Ok(Ok(stream)) = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
        return Err(ExchangeError::NotSent { addr });
    };
    // Avoids delaying small frames until earlier ones are acknowledged. A failure only costs latency.
    let _nodelay = stream.set_nodelay(true);
    let (stream, read_limit) = read_limit::LimitedStream::new(stream);
    read_limit.renew();
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|source| ExchangeError::Broken { addr, source })?;
    tokio::spawn(connection);
    match time::timeout(timeout, sender.send_request(req)).await {
        Ok(Ok(response)) => {
            read_limit.lift();
            Ok(response)
        }
        Ok(Err(source)) => Err(ExchangeError::Broken { addr, source }),
        Err(_) => Err(ExchangeError::TimedOut { addr }),
    }
}
