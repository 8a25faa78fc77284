//! HTTP/1 client of one address over one persistent connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sycamorestile_connection::read_limit;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest body of a response that is read, in bytes. A page of the table's rows has 1 MB and their keys.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Error of an HTTP call.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("failed to connect")]
    Unreachable,
    /// The connection was lost during the call. A write may have taken effect.
    #[error("connection lost: {0}")]
    ConnectionLost(#[from] hyper::Error),
    /// No response arrived before the timeout. A write may have taken effect.
    #[error("timed out")]
    TimedOut,
    /// The body of the response is larger than [`MAX_RESPONSE_BYTES`]. A write may have taken effect.
    #[error("the response is larger than {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLarge,
    /// The server responded with a status other than success.
    #[error("response status {0}")]
    ErrorStatus(StatusCode),
    /// The request could not be built.
    #[error("failed to build the request: {0}")]
    InvalidRequest(#[from] http::Error),
}

/// A response with a success status.
#[derive(Debug, Clone)]
pub struct Response {
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    read_limit: read_limit::ReadLimit,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// HTTP client of one address.
///
/// The first call opens the connection and later calls reuse it. A call without a response closes it: responses arrive
/// in order, so a lost one would block all later calls on the same connection.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client, which connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, connection: None }
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] unless the response has a success status.
    pub async fn get(&mut self, path: &str, timeout: Duration) -> Result<Response, CallError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Posts a JSON body to `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] unless the response has a success status. The variant says whether the request may have
    /// taken effect.
    pub async fn post(&mut self, path: &str, body: Vec<u8>, timeout: Duration) -> Result<Response, CallError> {
        self.call(Method::POST, path, Bytes::from(body), timeout).await
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let mut connection = match self.connection.take().filter(|c| !c.sender.is_closed()) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let mut builder = Request::builder().method(method).uri(path);
        builder = builder.header(http::header::HOST, self.addr.to_string());
        if !body.is_empty() {
            builder = builder.header(http::header::CONTENT_TYPE, "application/json");
        }
        let req = builder.body(Full::new(body))?;
        let exchange = async {
            connection.sender.ready().await?;
            connection.read_limit.renew();
            let response = connection.sender.send_request(req).await?;
            let (head, mut body) = response.into_parts();
            let mut bytes = BytesMut::new();
            while let Some(frame) = body.frame().await {
                connection.read_limit.renew();
                bytes.extend_from_slice(frame?.data_ref().map_or(&[][..], |d| d.as_ref()));
                if bytes.len() > MAX_RESPONSE_BYTES {
                    return Err(CallError::ResponseTooLarge);
                }
            }
            Ok::<_, CallError>((head, bytes.freeze()))
        };
        let (head, body) = time::timeout(timeout, exchange)
            .await
            .map_err(|_elapsed| CallError::TimedOut)??;
        self.connection = Some(connection);
        if head.status.is_success() {
            Ok(Response {
                headers: head.headers,
                body,
            })
        } else {
            Err(CallError::ErrorStatus(head.status))
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let Ok(Ok(stream)) = connecting else {
            return Err(CallError::Unreachable);
        };
        // Nagle's algorithm would delay small requests until earlier ones are acknowledged. The connection also works
        // without the option, so a failure to set it is ignored.
        let _nodelay = stream.set_nodelay(true);
        let (stream, read_limit) = read_limit::LimitedStream::new(stream);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::task::spawn(async move {
            // An error of the connection is also returned to the call that uses it.
            let _ended = driver.await;
        });
        Ok(Connection {
            sender,
            read_limit,
            driver,
        })
    }
}
