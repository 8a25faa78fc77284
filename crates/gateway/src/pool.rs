//! Connections to endpoints.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use sycamorestile_core::direct::endpoint;
use sycamorestile_core::time;
use sycamorestile_table::boot_clock;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time as timer;

/// Time-out of a connection attempt; endpoints are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of a kept connection when the endpoint names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of the endpoint's own idle time that is left unused, since both ends may close at once.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Kept connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// Idle time within which a connection that was just used takes requests that may run only once.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(60);
/// Time after which unacknowledged bytes break a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection can't be had. No byte of a request left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    /// Refused or unreachable.
    #[error("no connection")]
    Refused,
    /// No answer in time.
    #[error("no connection in time")]
    TimedOut,
}

struct IdleConnection {
    connection: Connection,
    addr: SocketAddr,
    since: time::Time,
    until: time::Time,
}

/// An open connection. Dropping it closes the socket at once.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Kept connections by endpoint id, sorted.
type IdleConnections = Rc<RefCell<Vec<(Arc<str>, Vec<IdleConnection>)>>>;

/// Kept connections of all endpoints.
#[derive(Default)]
pub(crate) struct Pool {
    idle: IdleConnections,
}

/// A connection in use. It is closed when dropped, unless it was [given back](Lease::return_to_pool).
pub(crate) struct Lease {
    idle: IdleConnections,
    connection: Connection,
    id: Arc<str>,
    addr: SocketAddr,
    /// Whether it was opened for this request.
    pub(crate) is_new: bool,
}

impl Pool {
    /// A connection to `endpoint`. With `require_recent`, one that can hardly have gone silent since its last use.
    pub(crate) async fn lease(
        &self,
        endpoint: &endpoint::Endpoint,
        require_recent: bool,
    ) -> Result<Lease, ConnectError> {
        if let Some(connection) = self.take_idle(endpoint, require_recent) {
            return Ok(self.new_lease(endpoint, connection, false));
        }
        let connecting = timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr)).await;
        let stream = connecting
            .map_err(|_elapsed| ConnectError::TimedOut)?
            .map_err(|_io| ConnectError::Refused)?;
        // Both only sharpen the time of failures; the connection works without them.
        let _nodelay = stream.set_nodelay(true);
        let _user_timeout = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        // A request that was given up must not be read later by an endpoint that was suspended meanwhile, so closing a
        // connection takes back what its other end has not read.
        let _reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_closed| ConnectError::Refused)?;
        let driver = tokio::task::spawn_local(async move {
            // Whatever ends the connection shows at the request that uses it.
            let _ended = driver.await;
        });
        Ok(self.new_lease(endpoint, Connection { sender, driver }, true))
    }

    /// Closes kept connections of endpoints that `known` does not hold, and those that have been idle for too long.
    pub(crate) fn evict_idle<F>(&self, known: F)
    where
        F: Fn(&str) -> bool,
    {
        let now = boot_clock::now();
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|c| now < c.until && !c.connection.sender.is_closed());
        }
        idle.retain(|(id, connections)| !connections.is_empty() && known(id));
    }

    fn take_idle(&self, endpoint: &endpoint::Endpoint, require_recent: bool) -> Option<Connection> {
        let now = boot_clock::now();
        let mut idle = self.idle.borrow_mut();
        let at = idle.binary_search_by(|(id, _)| id.cmp(&endpoint.id)).ok()?;
        let connections = &mut idle[at].1;
        connections.retain(|c| now < c.until && c.addr == endpoint.addr && c.connection.sender.is_ready());
        let newest = connections.last()?;
        if require_recent && now.since(newest.since) > MAX_RECENT_IDLE {
            return None;
        }
        connections.pop().map(|c| c.connection)
    }

    fn new_lease(&self, endpoint: &endpoint::Endpoint, connection: Connection, is_new: bool) -> Lease {
        Lease {
            idle: Rc::clone(&self.idle),
            connection,
            id: Arc::clone(&endpoint.id),
            addr: endpoint.addr,
            is_new,
        }
    }
}

impl Lease {
    /// The connection's sending half.
    pub(crate) fn sender(&mut self) -> &mut http1::SendRequest<Full<Bytes>> {
        &mut self.connection.sender
    }

    /// Keeps the connection for later. Only after a whole answer that did not ask to close it.
    pub(crate) fn return_to_pool(self, keep_alive: Option<Duration>) {
        let idle_time = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        let since = boot_clock::now();
        if idle_time.is_zero() {
            return;
        }
        let Self {
            idle,
            connection,
            id,
            addr,
            ..
        } = self;
        let entry = IdleConnection {
            connection,
            addr,
            since,
            until: since + idle_time,
        };
        let mut idle = idle.borrow_mut();
        match idle.binary_search_by(|(i, _)| i.cmp(&id)) {
            Ok(at) if idle[at].1.len() < MAX_IDLE_PER_ENDPOINT => idle[at].1.push(entry),
            Ok(_) => {}
            Err(at) => idle.insert(at, (id, vec![entry])),
        }
    }
}
