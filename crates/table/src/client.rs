//! HTTP calls to one address over one kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

/// Time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came about.
    #[error("no connection")]
    Unreachable,
    /// The connection broke. A write may have taken effect.
    #[error("the connection broke: {0}")]
    ConnectionLost(#[from] hyper::Error),
    /// No answer came in time. A write may have taken effect.
    #[error("no answer in time")]
    TimedOut,
    /// The other end refused the call.
    #[error("refused with status {0}")]
    ErrorStatus(StatusCode),
    /// The request can't be written.
    #[error("the call can't be written: {0}")]
    InvalidRequest(#[from] http::Error),
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Client of one address. A connection on which a call failed is closed: an answer that was lost there never comes.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// A client that connects when it is first used.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, connection: None }
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no success came.
    pub async fn get(&mut self, path: &str, timeout: Duration) -> Result<Bytes, CallError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Posts a JSON body to `path`.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether it may have taken effect.
    pub async fn post(&mut self, path: &str, body: Vec<u8>, timeout: Duration) -> Result<Bytes, CallError> {
        self.call(Method::POST, path, Bytes::from(body), timeout).await
    }

    async fn call(&mut self, method: Method, path: &str, body: Bytes, timeout: Duration) -> Result<Bytes, CallError> {
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
            let response = connection.sender.send_request(req).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, CallError>((status, body))
        };
        let (status, body) = time::timeout(timeout, exchange)
            .await
            .map_err(|_elapsed| CallError::TimedOut)??;
        self.connection = Some(connection);
        if status.is_success() {
            Ok(body)
        } else {
            Err(CallError::ErrorStatus(status))
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let Ok(Ok(stream)) = connecting else {
            return Err(CallError::Unreachable);
        };
        // Without this option small requests wait for acknowledgements of earlier ones; the connection works either way.
        let _nodelay = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::task::spawn(async move {
            // Whatever ends the connection shows at the call that uses it.
            let _ended = driver.await;
        });
        Ok(Connection { sender, driver })
    }
}
