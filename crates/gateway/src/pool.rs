//! A pool of connections to endpoints.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use sycamorestile_connection::read_limit;
use sycamorestile_core::direct::{endpoint, retry_share};
use sycamorestile_core::time;
use sycamorestile_table::boot_clock;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time as timer;
use xxhash_rust::xxh3;

/// The largest buffer for what an endpoint has sent, in bytes. Bounds the head of a response, and what a connection holds of a response
/// whose caller reads slowly.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// The timeout of a connection attempt. Endpoints are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection is kept if the endpoint states no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How long before the end of the endpoint's keep-alive time an idle connection is closed. Without a margin, the
/// endpoint could close it while a request is being sent.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// The largest number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// The longest idle time after which a connection is still used for requests that must not be repeated.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(60);
/// The number of attempts that a connection remembers.
const REMEMBERED_ATTEMPTS: usize = 4;
/// The time after which a connection with unacknowledged data is closed.
const USER_TIMEOUT: Duration = retry_share::MAX_SILENCE;

/// The reason why there is no connection. No part of the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    /// The endpoint refused the connection or is unreachable.
    #[error("connection refused")]
    Refused,
    /// The connection was not established in time.
    #[error("connection timed out")]
    TimedOut,
}

/// A connection that waits in the pool.
struct IdleConnection {
    connection: Connection,
    addr: SocketAddr,
    /// When the connection was returned to the pool.
    since: time::Time,
    /// When the connection is closed if it stays idle.
    until: time::Time,
}

/// An open connection. Dropping it closes the socket immediately.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    read_limit: read_limit::ReadLimit,
    driver: JoinHandle<()>,
    /// Hashes of the attempts that were sent over it last, up to [`REMEMBERED_ATTEMPTS`].
    attempts: VecDeque<u64>,
}

impl Connection {
    /// Returns whether `attempt` was sent over it, as far as it is remembered.
    fn has_sent(&self, attempt: &str) -> bool {
        self.attempts.contains(&xxh3::xxh3_64(attempt.as_bytes()))
    }

    fn remember(&mut self, attempt: &str) {
        if self.attempts.len() >= REMEMBERED_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(xxh3::xxh3_64(attempt.as_bytes()));
    }
}

/// What a request needs of its connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseNeed<'a> {
    /// The identifier of its attempt, by which its response is told from earlier ones on the connection. A request without
    /// one, or with one that the connection had before, gets another connection.
    pub(crate) attempt: Option<&'a Arc<str>>,
    /// Whether only a connection is taken from the pool that was used a moment ago, because the endpoint may have become
    /// unreachable after the last use of an older one.
    pub(crate) require_recent: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The idle connections by endpoint, sorted by the endpoint's identifier.
type IdleConnections = Rc<RefCell<Vec<(Arc<str>, Vec<IdleConnection>)>>>;

/// The idle connections to all endpoints.
#[derive(Default)]
pub(crate) struct Pool {
    idle: IdleConnections,
}

/// How long a connection had been idle before it was leased.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleTime {
    /// The connection was opened for this request.
    None,
    /// At most [`MAX_RECENT_IDLE`], so that it hardly broke before the request.
    Recent,
    /// Longer.
    Long,
}

/// Whether an endpoint accepts a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It does.
    Accepts,
    /// No process listens at its address.
    Refuses,
    /// There is no answer, or another error.
    Unreachable,
}

/// A connection in use. It is closed when dropped, unless it is [returned to the pool](Lease::return_to_pool).
pub(crate) struct Lease {
    idle: IdleConnections,
    connection: Connection,
    id: Arc<str>,
    addr: SocketAddr,
    pub(crate) idle_time: IdleTime,
}

impl Pool {
    /// Returns a connection to `endpoint`, from the pool if possible.
    pub(crate) async fn lease(
        &self,
        endpoint: &endpoint::Endpoint,
        need: LeaseNeed<'_>,
    ) -> Result<Lease, ConnectError> {
        let (mut connection, idle_time) = match self.take_idle(endpoint, need) {
            Some(taken) => taken,
            None => (Self::connect(endpoint).await?, IdleTime::None),
        };
        if let Some(attempt) = need.attempt {
            connection.remember(attempt);
        }
        Ok(self.new_lease(endpoint, connection, idle_time))
    }

    /// Opens a connection to `endpoint`.
    async fn connect(endpoint: &endpoint::Endpoint) -> Result<Connection, ConnectError> {
        let connecting = timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr)).await;
        let stream = connecting
            .map_err(|_elapsed| ConnectError::TimedOut)?
            .map_err(|_io| ConnectError::Refused)?;
        // These options reduce latency and detect failures earlier. The connection also works without them.
        let _nodelay = stream.set_nodelay(true);
        let _user_timeout = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        // A zero linger time discards data that the endpoint has not read when the connection is closed. Otherwise, an
        // endpoint that was suspended could later run a request that the gateway has already abandoned.
        let _reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let (stream, read_limit) = read_limit::LimitedStream::new(stream);
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(|_closed| ConnectError::Refused)?;
        let driver = tokio::task::spawn_local(async move {
            // The request that uses the connection sees the error too.
            let _ended = driver.await;
        });
        Ok(Connection {
            sender,
            read_limit,
            driver,
            attempts: VecDeque::new(),
        })
    }

    /// Returns whether `endpoint` refuses a new connection, since its process has ended. An endpoint that can't be
    /// reached doesn't count.
    pub(crate) async fn refuses_connections(endpoint: &endpoint::Endpoint) -> bool {
        Self::probe(endpoint).await == Reachability::Refuses
    }

    /// Opens a connection to `endpoint` and closes it again.
    pub(crate) async fn probe(endpoint: &endpoint::Endpoint) -> Reachability {
        match timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr)).await {
            Ok(Ok(_)) => Reachability::Accepts,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Reachability::Refuses,
            Ok(Err(_)) | Err(_) => Reachability::Unreachable,
        }
    }

    /// Closes the idle connections that have expired, and those to endpoints for which `known` returns `false`.
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

    /// Closes the idle connections to the endpoint `id`, which has stopped responding. The next attempt then shows by a
    /// new connection whether the endpoint can be reached.
    pub(crate) fn close_idle(&self, id: &str) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(at) = idle.binary_search_by(|(known, _)| known.as_ref().cmp(id)) {
            idle.remove(at);
        }
    }

    /// Takes the most recently used connection to `endpoint` that meets `need` from the pool.
    fn take_idle(&self, endpoint: &endpoint::Endpoint, need: LeaseNeed<'_>) -> Option<(Connection, IdleTime)> {
        let attempt = need.attempt?;
        let now = boot_clock::now();
        let mut idle = self.idle.borrow_mut();
        let at = idle.binary_search_by(|(id, _)| id.cmp(&endpoint.id)).ok()?;
        let connections = &mut idle[at].1;
        connections.retain(|c| now < c.until && c.addr == endpoint.addr && c.connection.sender.is_ready());
        let newest_at = connections.iter().rposition(|c| !c.connection.has_sent(attempt))?;
        let newest = &connections[newest_at];
        let idle_time = if now.since(newest.since) <= MAX_RECENT_IDLE {
            IdleTime::Recent
        } else {
            IdleTime::Long
        };
        if need.require_recent && idle_time == IdleTime::Long {
            return None;
        }
        Some((connections.remove(newest_at).connection, idle_time))
    }

    fn new_lease(&self, endpoint: &endpoint::Endpoint, connection: Connection, idle_time: IdleTime) -> Lease {
        Lease {
            idle: Rc::clone(&self.idle),
            connection,
            id: Arc::clone(&endpoint.id),
            addr: endpoint.addr,
            idle_time,
        }
    }
}

impl Lease {
    /// Returns the handle that sends requests over the connection.
    pub(crate) fn sender(&mut self) -> &mut http1::SendRequest<Full<Bytes>> {
        &mut self.connection.sender
    }

    /// Records that a request is sent, or that a part of its response has come.
    pub(crate) fn renew_read_limit(&self) {
        self.connection.read_limit.renew();
    }

    /// Keeps the connection for later requests.
    ///
    /// Call this only after a complete response that did not ask to close the connection. `keep_alive` is the time for
    /// which the endpoint keeps an idle connection open.
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
