//! HTTP server loop shared by calls, attempts, health pages and stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::error;
use crate::request_body;

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Time within which a request head must be received.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a request body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a connection that was accepted before a stop must send its request.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Binds `addr` and serves each request with `handler`.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError::Bind`] if the address cannot be bound.
    pub async fn start<F, R>(what: &'static str, addr: SocketAddr, handler: F) -> Result<Self, error::StartError>
    where
        F: Fn(Request<request_body::RequestBody>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let bind = |source| error::StartError::Bind { what, addr, source };
        let listener = TcpListener::bind(addr).await.map_err(bind)?;
        let addr = listener.local_addr().map_err(bind)?;
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(AtomicUsize::new(0));
        tokio::spawn(accept(listener, handler, stopped, Arc::clone(&connections)));
        Ok(Self {
            addr,
            stop,
            connections,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, lets each open connection finish its request and waits up to `timeout` until all
    /// are closed.
    pub async fn drain(&self, timeout: Duration) {
        self.stop.send_replace(true);
        let closed = async {
            while self.connections.load(Ordering::Acquire) > 0 {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        // A connection that is still open after the timeout has no request in flight.
        let _closed_in_time = time::timeout(timeout, closed).await;
    }
}

async fn accept<F, R>(
    listener: TcpListener,
    handler: F,
    mut stopped: watch::Receiver<bool>,
    connections: Arc<AtomicUsize>,
) where
    F: Fn(Request<request_body::RequestBody>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let in_connections = stopped.clone();
    let serve = |stream| {
        connections.fetch_add(1, Ordering::AcqRel);
        let (handler, stopped, open) = (handler.clone(), in_connections.clone(), Arc::clone(&connections));
        tokio::spawn(async move {
            serve_connection(stream, handler, stopped).await;
            open.fetch_sub(1, Ordering::AcqRel);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
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
    waiting.unwrap_or_default().into_iter().for_each(serve);
}

async fn serve_connection<F, R>(stream: TcpStream, handler: F, mut stopped: watch::Receiver<bool>)
where
    F: Fn(Request<request_body::RequestBody>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    // Avoids delaying small frames until earlier ones are acknowledged. A failure only costs latency.
    let _nodelay = stream.set_nodelay(true);
    let requested = Arc::new(Notify::new());
    let first_request = Arc::clone(&requested);
    let service = service::service_fn(move |req: Request<Incoming>| {
        requested.notify_one();
        let response = handler(req.map(request_body::RequestBody::new));
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An error of the connection is not reported here, since each call has its own outcome.
        _ended = connection.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => {}
    }
    // A connection without any request yet must not be shut down as idle: its request may be on the way. A permit of an
    // earlier request ends the wait at once.
    tokio::select! {
        _ended = connection.as_mut() => return,
        () = first_request.notified() => {}
        () = time::sleep(LAST_REQUEST_TIMEOUT) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
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
