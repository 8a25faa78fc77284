//! HTTP servers for callers and for monitoring.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service;
use slog::{info, warn};
use sycamorestile_connection::{CloseReason, owed_counts, serve, timeouts, watch};
use sycamorestile_core::direct::{declarations, drain};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::context;
use crate::error;
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
        // Accepted connections inherit it.
        socket.set_send_buffer_size(serve::SEND_BUFFER_BYTES)?;
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
    F: Fn(Rc<context::GatewayContext>, watch::ConnectionWatch, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<response_body::ResponseBody>> + 'static,
{
    let serve = |stream| {
        let connection = watch::ConnectionWatch::new(owed.clone());
        tokio::task::spawn_local(serve_connection(Rc::clone(&cx), connection, stream, respond.clone()));
    };
    let mut stop = std::pin::pin!(cx.stop_reaches(drain::StopPhase::Finishing));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
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
        Ok(streams) => streams.into_iter().for_each(serve),
        Err(e) => warn!(cx.log, "failed to accept the last connections"; "error" => %e),
    }
}

fn into_tokio(stream: std::net::TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Serves one connection until its end.
async fn serve_connection<F, R>(
    cx: Rc<context::GatewayContext>,
    connection: watch::ConnectionWatch,
    stream: TcpStream,
    respond: F,
) where
    F: Fn(Rc<context::GatewayContext>, watch::ConnectionWatch, Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<response_body::ResponseBody>> + 'static,
{
    let (handler_cx, handler_watch) = (Rc::clone(&cx), connection.clone());
    let handler = service::service_fn(move |req| {
        let response = respond(Rc::clone(&handler_cx), handler_watch.clone(), req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let timeouts = || {
        let limits = limits(&cx);
        timeouts::Timeouts {
            head: limits.head_timeout,
            idle: limits.idle_timeout,
        }
    };
    let max_head_bytes = limits(&cx).head_bytes.max(MIN_HEAD_BYTES);
    let closed = serve::serve(
        stream,
        connection,
        max_head_bytes,
        handler,
        timeouts,
        cx.stop_phase.clone(),
    )
    .await;
    if closed == Some(CloseReason::StoppedReading) {
        info!(cx.log, "caller stopped reading"; "idle_ms" => limits(&cx).idle_timeout.as_millis() as u64);
    }
}

/// Returns the callers' limits of the active declarations.
fn limits(cx: &context::GatewayContext) -> declarations::CallerLimits {
    let snapshot = cx.snapshot();
    snapshot.declared.as_ref().map(|d| d.limits).unwrap_or_default()
}
