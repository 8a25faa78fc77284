//! HTTP servers for callers and for monitoring.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use slog::warn;
use sycamorestile_core::direct::declarations;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::connection_watch;
use crate::context;
use crate::error;
use crate::owed_counts;
use crate::response_body;

/// The pause after a failed accept, which mostly means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The length of the queue of connections to be accepted. Many callers connect at once after a restart.
const BACKLOG: u32 = 1_024;
/// The smallest buffer for a request head that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Listens on `addr`. `what` names the purpose of the address in errors.
pub(crate) fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, error::GatewayError> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    });
    bound.map_err(|source| error::GatewayError::Bind { what, addr, source })
}

/// Accepts connections and responds to their requests with `respond` until `stop` completes. What their callers are owed is
/// counted in `owed`.
///
/// Connections that are waiting to be accepted at that time are still accepted, since their callers may already have
/// sent a request. Later ones are refused.
pub(crate) async fn accept<F, R, S>(
    cx: Rc<context::GatewayContext>,
    owed: owed_counts::OwedCounts,
    listener: TcpListener,
    respond: F,
    stop: S,
) where
    F: Fn(Rc<context::GatewayContext>, connection_watch::ConnectionWatch, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<response_body::ResponseBody>> + 'static,
    S: Future<Output = ()>,
{
    let mut stop = std::pin::pin!(stop);
    let serve_connection = |stream| {
        let (cx, owed, respond) = (Rc::clone(&cx), owed.clone(), respond.clone());
        let open = owed.count_connection();
        tokio::task::spawn_local(async move {
            serve(cx, owed, stream, respond).await;
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream),
            Err(e) => {
                warn!(cx.log, "failed to accept a connection"; "error" => %e);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Accepting directly does not depend on whether the runtime has already noticed these connections.
    let waiting = listener.into_std().map(|listener| {
        let accepted = std::iter::from_fn(|| listener.accept().ok());
        accepted
            .filter_map(|(stream, _)| into_tokio(stream).ok())
            .collect::<Vec<_>>()
    });
    match waiting {
        Ok(streams) => streams.into_iter().for_each(serve_connection),
        Err(e) => warn!(cx.log, "failed to accept the last connections"; "error" => %e),
    }
}

fn into_tokio(stream: std::net::TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Serves one connection until either side closes it, a timeout expires or the gateway has drained.
async fn serve<F, R>(cx: Rc<context::GatewayContext>, owed: owed_counts::OwedCounts, stream: TcpStream, respond: F)
where
    F: Fn(Rc<context::GatewayContext>, connection_watch::ConnectionWatch, Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<response_body::ResponseBody>> + 'static,
{
    // Without this option, small writes wait for the acknowledgement of earlier ones. The connection works either way.
    let _nodelay = stream.set_nodelay(true);
    let watch = connection_watch::ConnectionWatch::new(owed);
    let mut draining = cx.draining.clone();
    let (handler_cx, handler_watch) = (Rc::clone(&cx), watch.clone());
    let handler = service::service_fn(move |req| {
        let response = respond(Rc::clone(&handler_cx), handler_watch.clone(), req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    // A connection that arrives while the gateway drains serves one request. It must not be shut down as idle, since
    // that request may already have been sent.
    let mut is_draining = *draining.borrow();
    let connection = http1::Builder::new()
        .keep_alive(!is_draining)
        .max_buf_size(limits(&cx).head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(
            TokioIo::new(connection_watch::WatchedIo::new(stream, watch.clone())),
            handler,
        );
    let mut connection = std::pin::pin!(connection);
    loop {
        let limits = limits(&cx);
        let deadline = match watch.next_action(limits.head_timeout, limits.idle_timeout) {
            connection_watch::TimeoutAction::WaitUntil(at) => at,
            connection_watch::TimeoutAction::CloseIdle => {
                connection.as_mut().graceful_shutdown();
                // No request is in flight on an idle connection, so this completes immediately.
                let _ended = time::timeout(limits.head_timeout, connection).await;
                return;
            }
            connection_watch::TimeoutAction::CloseSlowHead => return,
        };
        tokio::select! {
            // An error here means that the caller closed the connection, which needs no action.
            _ended = connection.as_mut() => return,
            () = time::sleep_until(deadline) => {}
            stop = wait_for_drain(&mut draining), if !is_draining => {
                is_draining = stop;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until the gateway drains and returns `true`.
async fn wait_for_drain(draining: &mut watch::Receiver<bool>) -> bool {
    // The sender lives as long as the process. If it is dropped, the process is exiting, which is treated the same.
    let _changed = draining.wait_for(|stop| *stop).await;
    true
}

/// Returns the callers' limits of the active declarations.
fn limits(cx: &context::GatewayContext) -> declarations::CallerLimits {
    let snapshot = cx.snapshot();
    snapshot.declared.as_ref().map(|d| d.limits).unwrap_or_default()
}
