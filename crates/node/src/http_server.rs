//! HTTP server loop shared by callers' traffic, attempts, health pages and stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::error;

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Time within which a request head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Listens on `addr` and answers each request with `answer`.
    ///
    /// # Errors
    ///
    /// [`error::StartError::Bind`] when the address can't be listened on.
    pub async fn start<F, R>(what: &'static str, addr: SocketAddr, handler: F) -> Result<Self, error::StartError>
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
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

    /// Address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting, lets each open connection finish its request, and waits until all have closed.
    pub async fn drain(&self, timeout: Duration) {
        self.stop.send_replace(true);
        let closed = async {
            while self.connections.load(Ordering::Acquire) > 0 {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        // Whoever still holds a connection open after the patience has nothing in flight on it.
        let _closed_in_time = time::timeout(timeout, closed).await;
    }
}

async fn accept<F, R>(
    listener: TcpListener,
    handler: F,
    mut stopped: watch::Receiver<bool>,
    connections: Arc<AtomicUsize>,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.fetch_add(1, Ordering::AcqRel);
                let (handler, stopped, open) = (handler.clone(), stopped.clone(), Arc::clone(&connections));
                tokio::spawn(async move {
                    serve_connection(stream, handler, stopped).await;
                    open.fetch_sub(1, Ordering::AcqRel);
                });
            }
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<F, R>(stream: TcpStream, handler: F, mut stopped: watch::Receiver<bool>)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    // Without this option small frames wait for acknowledgements of earlier ones; the connection works either way.
    let _nodelay = stream.set_nodelay(true);
    let service = service::service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A peer that breaks off is the peer's affair; its call has its own outcome.
        _ended = connection.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than admitted.
    #[error("the body is too long")]
    TooLarge,
    /// It broke off or took too long.
    #[error("the body broke off")]
    Incomplete,
}

/// Reads a whole request body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyError`] when the body is too long or does not arrive.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, limit);
    let collected = time::timeout(BODY_TIMEOUT, limited.collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BodyError::Incomplete),
    }
}

/// A response with a whole body.
pub fn full_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = http::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    response
}
