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
use slog::{info, warn};
use sycamorestile_core::direct::{declarations, drain};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
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
/// The size of the kernel's buffer for what a caller has not received yet, in bytes. A connection takes more bytes once about
/// a third of a full buffer was received, which tells a slow caller from one that has stopped reading.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// The smallest buffer for a request head that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Listens on `addr`. `what` names the purpose of the address in errors.
pub(crate) fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, error::GatewayError> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit it.
        socket.set_send_buffer_size(SEND_BUFFER_BYTES as u32)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    });
    bound.map_err(|source| error::GatewayError::Bind { what, addr, source })
}

/// Accepts connections and responds to their requests with `respond` until a stop needs no more connections. What their
/// callers are owed is counted in `owed`.
///
/// Connections that are waiting to be accepted at that time are still accepted, since their callers may already have
/// sent a request. Later ones are refused.
pub(crate) async fn accept<F, R>(
    cx: Rc<context::GatewayContext>,
    owed: owed_counts::OwedCounts,
    listener: TcpListener,
    respond: F,
) where
    F: Fn(Rc<context::GatewayContext>, connection_watch::ConnectionWatch, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<response_body::ResponseBody>> + 'static,
{
    let serve_connection = |stream| {
        let (cx, owed, respond) = (Rc::clone(&cx), owed.clone(), respond.clone());
        let open = owed.count_connection();
        tokio::task::spawn_local(async move {
            serve(cx, owed, stream, respond).await;
            drop(open);
        });
    };
    let mut stop = std::pin::pin!(cx.stop_reaches(drain::StopPhase::Finishing));
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

/// Serves one connection until either side closes it, a timeout expires or a stop has completed what was begun on it.
async fn serve<F, R>(cx: Rc<context::GatewayContext>, owed: owed_counts::OwedCounts, stream: TcpStream, respond: F)
where
    F: Fn(Rc<context::GatewayContext>, connection_watch::ConnectionWatch, Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<response_body::ResponseBody>> + 'static,
{
    // Without this option, small writes wait for the acknowledgement of earlier ones. The connection works either way.
    let _nodelay = stream.set_nodelay(true);
    let watch = connection_watch::ConnectionWatch::new(owed);
    let (handler_cx, handler_watch) = (Rc::clone(&cx), watch.clone());
    let handler = service::service_fn(move |req| {
        let response = respond(Rc::clone(&handler_cx), handler_watch.clone(), req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits(&cx).head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(
            TokioIo::new(connection_watch::WatchedIo::new(stream, watch.clone())),
            handler,
        );
    let mut connection = std::pin::pin!(connection);
    let mut stop_phase = cx.stop_phase.clone();
    let mut unused_end = None;
    let mut is_shut_down = false;
    let mut is_rechecked = false;
    loop {
        let phase = *stop_phase.borrow_and_update();
        if phase >= drain::StopPhase::Finishing {
            unused_end.get_or_insert_with(|| time::Instant::now() + drain::UNUSED_CONNECTION_TIME);
        }
        // An idle connection is closed at once. The library would also take one for idle that has sent no request yet, or a
        // part of a head; these are closed by the response to that request.
        if phase > drain::StopPhase::Running && !is_shut_down && watch.is_between_requests() {
            connection.as_mut().graceful_shutdown();
            is_shut_down = true;
        }
        let limits = limits(&cx);
        let timeouts = connection_watch::Timeouts {
            head: limits.head_timeout,
            idle: limits.idle_timeout,
            unused_end,
        };
        let deadline = match watch.next_action(&timeouts) {
            connection_watch::TimeoutAction::WaitUntil(at) => {
                is_rechecked = false;
                at
            }
            // The timeout may have expired while the process was suspended. What has arrived meanwhile is read first, which
            // takes a turn of the runtime.
            connection_watch::TimeoutAction::Close(_) if !is_rechecked => {
                is_rechecked = true;
                tokio::task::yield_now().await;
                time::Instant::now()
            }
            connection_watch::TimeoutAction::Close(connection_watch::CloseReason::Idle) => {
                connection.as_mut().graceful_shutdown();
                // No request is in flight on an idle connection, so this completes immediately.
                let _ended = time::timeout(limits.head_timeout, connection).await;
                return;
            }
            connection_watch::TimeoutAction::Close(connection_watch::CloseReason::StoppedReading) => {
                info!(cx.log, "caller stopped reading"; "idle_ms" => limits.idle_timeout.as_millis() as u64);
                return;
            }
            connection_watch::TimeoutAction::Close(
                connection_watch::CloseReason::SlowHead | connection_watch::CloseReason::Unused,
            ) => return,
        };
        tokio::select! {
            // What has arrived is read before the timeouts are judged.
            biased;
            // An error here means that the caller closed the connection, which needs no action.
            _ended = connection.as_mut() => return,
            Ok(()) = stop_phase.changed() => {}
            () = time::sleep_until(deadline) => {}
        }
    }
}

/// Returns the callers' limits of the active declarations.
fn limits(cx: &context::GatewayContext) -> declarations::CallerLimits {
    let snapshot = cx.snapshot();
    snapshot.declared.as_ref().map(|d| d.limits).unwrap_or_default()
}
