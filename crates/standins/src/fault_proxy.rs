//! A TCP proxy that injects connection failures.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// How the proxy treats a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards bytes in both directions.
    Pass,
    /// Forwards each chunk of bytes after a delay.
    Delay(Duration),
    /// Forwards nothing and leaves the connection open.
    Stall,
    /// Closes the connection.
    Close,
    /// Forwards bytes to the upstream, and closes the connection when the upstream sends its first byte back.
    CloseOnResponse,
}

/// Modes of the connections of a proxy.
#[derive(Debug, Clone, Copy)]
struct Modes {
    /// Mode of connections whose ID is `first_new_id` or above.
    new_connections: Mode,
    /// Mode of connections whose ID is below `first_new_id`.
    open_connections: Mode,
    /// ID of the first connection that was opened after the modes were set.
    first_new_id: u64,
}

/// Handle to a running proxy.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    modes: watch::Sender<Modes>,
    next_conn_id: Arc<AtomicU64>,
    upstream: Arc<Mutex<SocketAddr>>,
}

impl FaultProxy {
    /// Starts a proxy for `upstream` on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the proxy fails to listen.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let modes = watch::Sender::new(Modes {
            new_connections: Mode::Pass,
            open_connections: Mode::Pass,
            first_new_id: 0,
        });
        let next_conn_id = Arc::new(AtomicU64::new(0));
        let upstream = Arc::new(Mutex::new(upstream));
        tokio::spawn(accept_connections(
            listener,
            Arc::clone(&upstream),
            modes.subscribe(),
            Arc::clone(&next_conn_id),
        ));
        Ok(Self {
            addr,
            modes,
            next_conn_id,
            upstream,
        })
    }

    /// Returns the address on which the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode of all open and future connections.
    pub fn set_mode(&self, mode: Mode) {
        self.modes.send_replace(Modes {
            new_connections: mode,
            open_connections: mode,
            first_new_id: self.next_conn_id.load(Ordering::SeqCst),
        });
    }

    /// Sets the mode of all open connections. Future connections use [`Mode::Pass`].
    pub fn set_mode_of_open(&self, mode: Mode) {
        self.modes.send_replace(Modes {
            new_connections: Mode::Pass,
            open_connections: mode,
            first_new_id: self.next_conn_id.load(Ordering::SeqCst),
        });
    }

    /// Connects future connections to another upstream.
    pub fn redirect(&self, upstream: SocketAddr) {
        *lock(&self.upstream) = upstream;
    }
}

fn lock(upstream: &Mutex<SocketAddr>) -> MutexGuard<'_, SocketAddr> {
    upstream.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Modes {
    fn mode_of(&self, conn_id: u64) -> Mode {
        if conn_id < self.first_new_id {
            self.open_connections
        } else {
            self.new_connections
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    upstream: Arc<Mutex<SocketAddr>>,
    modes: watch::Receiver<Modes>,
    next_conn_id: Arc<AtomicU64>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let conn_id = next_conn_id.fetch_add(1, Ordering::SeqCst);
        let upstream = *lock(&upstream);
        tokio::spawn(proxy_connection(client, upstream, modes.clone(), conn_id));
    }
}

async fn proxy_connection(client: TcpStream, upstream: SocketAddr, modes: watch::Receiver<Modes>, conn_id: u64) {
    if modes.borrow().mode_of(conn_id) == Mode::Close {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    // TCP_NODELAY keeps small frames from being delayed. A failure to set it does no other harm.
    let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let request = forward(client_rx, server_tx, modes.clone(), conn_id, false);
    let response = forward(server_rx, client_tx, modes, conn_id, true);
    tokio::select! {
        () = request => {}
        () = response => {}
    }
}

/// Copies bytes in one direction until the connection ends.
///
/// When the client shuts down its sending side, the shutdown is forwarded and the response direction stays open.
async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut modes: watch::Receiver<Modes>,
    conn_id: u64,
    is_response: bool,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let mode = modes.borrow_and_update().mode_of(conn_id);
        if mode == Mode::Close {
            return;
        }
        let read = tokio::select! {
            read = rx.read(&mut buf) => read,
            changed = modes.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        // The mode applies to the end of input as well: a stalled connection does not forward it.
        if !wait_to_forward(&mut modes, conn_id, is_response).await {
            return;
        }
        match read {
            Ok(0) if !is_response => {
                let _closed = tx.shutdown().await;
                std::future::pending::<()>().await;
            }
            Ok(0) | Err(_) => return,
            Ok(count) => {
                if tx.write_all(&buf[..count]).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Waits until the mode of the connection lets bytes pass.
///
/// Returns `false` when the connection is to be closed.
async fn wait_to_forward(modes: &mut watch::Receiver<Modes>, conn_id: u64, is_response: bool) -> bool {
    loop {
        let mode = modes.borrow_and_update().mode_of(conn_id);
        match mode {
            Mode::Pass => return true,
            Mode::Delay(delay) => {
                time::sleep(delay).await;
                return true;
            }
            Mode::Close => return false,
            Mode::CloseOnResponse => return !is_response,
            Mode::Stall => {
                if modes.changed().await.is_err() {
                    return false;
                }
            }
        }
    }
}
