//! HTTP server loop shared by calls, attempts, health pages and stand-ins.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service;
use sycamorestile_connection::{owed_counts, serve, timeouts, watch as connection_watch};
use sycamorestile_core::direct::drain;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::error;
use crate::guarded_body;
use crate::request_body;

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Time within which a request head must be received, and longest time without a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a request body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a server that stops checks what its callers are owed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Delay after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Value of the `Connection` header of the last response on a connection.
const CLOSE: HeaderValue = HeaderValue::from_static("close");
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<drain::StopPhase>,
    owed: owed_counts::OwedCounts,
}

impl Server {
    /// Binds `addr` and serves each request with `handler`.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError::Bind`] if the address cannot be bound.
    #[expect(
        clippy::unused_async,
        reason = "needs a runtime, which the caller of an async function has"
    )]
    pub async fn start<F, R>(what: &'static str, addr: SocketAddr, handler: F) -> Result<Self, error::StartError>
    where
        F: Fn(Request<request_body::RequestBody>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let bind = |source| error::StartError::Bind { what, addr, source };
        let listener = listen(addr).map_err(bind)?;
        let addr = listener.local_addr().map_err(bind)?;
        let (stop, stop_phase) = watch::channel(drain::StopPhase::Running);
        let owed = owed_counts::OwedCounts::default();
        tokio::spawn(accept(listener, handler, stop_phase, owed.clone()));
        Ok(Self { addr, stop, owed })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, completes what has begun on the open ones and waits until all are closed.
    ///
    /// Connections without a request in progress are waited for up to `timeout`. Requests are waited for as long as their
    /// callers read the responses.
    pub async fn drain(&self, timeout: Duration) {
        self.stop.send_replace(drain::StopPhase::Finishing);
        let end = time::Instant::now() + timeout;
        loop {
            let owed = self.owed.owed();
            if owed.connections == 0 || (owed.requests == 0 && time::Instant::now() >= end) {
                return;
            }
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Server {
    /// Connections end like those of a drained server.
    fn drop(&mut self) {
        self.stop.send_replace(drain::StopPhase::Finishing);
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_send_buffer_size(serve::SEND_BUFFER_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

async fn accept<F, R>(
    listener: TcpListener,
    handler: F,
    mut stop_phase: serve::StopPhase,
    owed: owed_counts::OwedCounts,
) where
    F: Fn(Request<request_body::RequestBody>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let of_connections = stop_phase.clone();
    let spawn = |stream| {
        let connection = connection_watch::ConnectionWatch::new(owed.clone());
        tokio::spawn(serve_connection(
            stream,
            connection,
            handler.clone(),
            of_connections.clone(),
        ));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop_phase.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream),
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Callers whose connections wait to be accepted may already have sent a request.
    let waiting = listener.into_std().map(|listener| {
        let accepted = std::iter::from_fn(|| listener.accept().ok());
        let streams = accepted.filter_map(|(stream, _)| stream.set_nonblocking(true).ok().map(|()| stream));
        streams.filter_map(|s| TcpStream::from_std(s).ok()).collect::<Vec<_>>()
    });
    // A listener that can't be converted has failed, so that nothing waits on it.
    waiting.unwrap_or_default().into_iter().for_each(spawn);
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    connection: connection_watch::ConnectionWatch,
    handler: F,
    stop_phase: serve::StopPhase,
) where
    F: Fn(Request<request_body::RequestBody>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let (handler_watch, handler_phase) = (connection.clone(), stop_phase.clone());
    let service = service::service_fn(move |req: Request<Incoming>| {
        let guard = handler_watch.request_started();
        let response = handler(req.map(request_body::RequestBody::new));
        let phase = handler_phase.clone();
        async move {
            let mut response = response.await;
            if *phase.borrow() > drain::StopPhase::Running {
                response.headers_mut().insert(header::CONNECTION, CLOSE);
            }
            Ok::<_, Infallible>(response.map(|body| guarded_body::GuardedBody::new(body, guard)))
        }
    });
    let timeouts = || timeouts::Timeouts {
        head: HEAD_TIMEOUT,
        idle: HEAD_TIMEOUT,
    };
    // An end by a timeout is not reported here, since each call has its own outcome.
    let _closed = serve::serve(stream, connection, MAX_HEAD_BYTES, service, timeouts, stop_phase).await;
}

/// Error of reading a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("the body is too large")]
    TooLarge,
    /// The body was truncated or took too long to arrive.
    #[error("the body was not received completely")]
    Incomplete,
}

/// Reads a complete request body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too large or is not received completely.
pub async fn read_body(mut body: request_body::RequestBody, limit: usize) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_truncated| BodyError::Incomplete)?;
            bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data.as_ref()));
            if bytes.len() > limit {
                return Err(BodyError::TooLarge);
            }
        }
        Ok(())
    };
    let read = time::timeout(BODY_TIMEOUT, reading).await;
    match read {
        Ok(Ok(())) => Ok(bytes.freeze()),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Creates a response with a complete body.
pub fn full_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = http::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    response
}
