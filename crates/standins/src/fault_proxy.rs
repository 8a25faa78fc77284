//! A TCP proxy that brings about the failures of connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// What happens to bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They pass later.
    Delay(Duration),
    /// Nothing passes, and nobody is told.
    Stall,
    /// The connection is closed.
    Close,
    /// Bytes towards the upstream pass; the connection is closed before the first byte back.
    CloseOnResponse,
}

/// What holds for new and for open connections.
#[derive(Debug, Clone, Copy)]
struct Rule {
    /// Mode of connections opened from now on.
    new: Mode,
    /// Mode of connections with a number below `before`.
    old: Mode,
    before: u64,
}

/// A running proxy.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    rule: watch::Sender<Rule>,
    opened: Arc<AtomicU64>,
    upstream: Arc<Mutex<SocketAddr>>,
}

impl FaultProxy {
    /// Starts a proxy on any port of the loopback address.
    ///
    /// # Errors
    ///
    /// What the system says when no port can be listened on.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let rule = watch::Sender::new(Rule {
            new: Mode::Pass,
            old: Mode::Pass,
            before: 0,
        });
        let opened = Arc::new(AtomicU64::new(0));
        let upstream = Arc::new(Mutex::new(upstream));
        tokio::spawn(accept(
            listener,
            Arc::clone(&upstream),
            rule.subscribe(),
            Arc::clone(&opened),
        ));
        Ok(Self {
            addr,
            rule,
            opened,
            upstream,
        })
    }

    /// Address of the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode of all connections, open and new.
    pub fn set_mode(&self, mode: Mode) {
        self.rule.send_replace(Rule {
            new: mode,
            old: mode,
            before: self.opened.load(Ordering::SeqCst),
        });
    }

    /// Sets the mode of open connections; new ones pass.
    pub fn set_mode_of_open(&self, mode: Mode) {
        self.rule.send_replace(Rule {
            new: Mode::Pass,
            old: mode,
            before: self.opened.load(Ordering::SeqCst),
        });
    }

    /// Sends new connections to another upstream.
    pub fn redirect(&self, upstream: SocketAddr) {
        *lock(&self.upstream) = upstream;
    }
}

fn lock(upstream: &Mutex<SocketAddr>) -> MutexGuard<'_, SocketAddr> {
    upstream.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Rule {
    fn mode(&self, number: u64) -> Mode {
        if number < self.before { self.old } else { self.new }
    }
}

async fn accept(
    listener: TcpListener,
    upstream: Arc<Mutex<SocketAddr>>,
    rule: watch::Receiver<Rule>,
    opened: Arc<AtomicU64>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let number = opened.fetch_add(1, Ordering::SeqCst);
        let to = *lock(&upstream);
        tokio::spawn(carry(client, to, rule.clone(), number));
    }
}

async fn carry(client: TcpStream, upstream: SocketAddr, rule: watch::Receiver<Rule>, number: u64) {
    if rule.borrow().mode(number) == Mode::Close {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    // Without these options small frames wait; the connections work either way.
    let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let up = pump(client_rx, server_tx, rule.clone(), number, false);
    let down = pump(server_rx, client_tx, rule, number, true);
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

/// Copies bytes one way until the connection ends. An end of input alone does not end the other way.
async fn pump(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut rule: watch::Receiver<Rule>, number: u64, back: bool) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let mode = rule.borrow_and_update().mode(number);
        if mode == Mode::Close {
            return;
        }
        let read = tokio::select! {
            read = rx.read(&mut buf) => read,
            changed = rule.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        // An end of input is news as well, and stays away like any other bytes.
        if !pass(&mut rule, number, back).await {
            return;
        }
        match read {
            Ok(0) if !back => {
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

/// Waits until bytes may pass; `false` when the connection is to be closed.
async fn pass(rule: &mut watch::Receiver<Rule>, number: u64, back: bool) -> bool {
    loop {
        let mode = rule.borrow_and_update().mode(number);
        match mode {
            Mode::Pass => return true,
            Mode::Delay(span) => {
                time::sleep(span).await;
                return true;
            }
            Mode::Close => return false,
            Mode::CloseOnResponse => return !back,
            Mode::Stall => {
                if rule.changed().await.is_err() {
                    return false;
                }
            }
        }
    }
}
