//! Listening for callers and for the pages.

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

use crate::cx;
use crate::error;
use crate::idle_watch;
use crate::stream;

/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted; after a restart many callers come at once.
const BACKLOG: u32 = 1_024;
/// Least buffer that the library takes for a head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Listens on `addr`.
pub(crate) fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, error::GatewayError> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    });
    bound.map_err(|source| error::GatewayError::Bind { what, addr, source })
}

/// Accepts connections and answers their requests with `answer` until the process ends.
pub(crate) async fn accept<F, R>(cx: Rc<cx::Cx>, listener: TcpListener, answer: F)
where
    F: Fn(Rc<cx::Cx>, idle_watch::IdleWatch, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<stream::AnswerBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&cx), stream, answer.clone()));
            }
            Err(e) => {
                warn!(cx.log, "connection not accepted"; "error" => %e);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<F, R>(cx: Rc<cx::Cx>, stream: TcpStream, answer: F)
where
    F: Fn(Rc<cx::Cx>, idle_watch::IdleWatch, Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<stream::AnswerBody>> + 'static,
{
    // Without this option small writes wait for acknowledgements of earlier ones; the connection works either way.
    let _nodelay = stream.set_nodelay(true);
    let watch = idle_watch::IdleWatch::new();
    let mut leaving = cx.leaving.clone();
    let (handler_cx, handler_watch) = (Rc::clone(&cx), watch.clone());
    let handler = service::service_fn(move |req| {
        let answered = answer(Rc::clone(&handler_cx), handler_watch.clone(), req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    // A connection that comes after the order to stop is answered once; it is not idle, its request is on the way.
    let mut told_to_leave = *leaving.borrow();
    let connection = http1::Builder::new()
        .keep_alive(!told_to_leave)
        .max_buf_size(limits(&cx).head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(idle_watch::WatchedIo::new(stream, watch.clone())), handler);
    let mut connection = std::pin::pin!(connection);
    loop {
        let limits = limits(&cx);
        let due = match watch.due(limits.head_timeout, limits.idle_timeout) {
            idle_watch::Due::Later(at) => at,
            idle_watch::Due::Idle => {
                connection.as_mut().graceful_shutdown();
                // Nothing is in flight on an idle connection, so this ends at once.
                let _ended = time::timeout(limits.head_timeout, connection).await;
                return;
            }
            idle_watch::Due::SlowHead => return,
        };
        tokio::select! {
            // A caller that breaks off is the caller's affair.
            _ended = connection.as_mut() => return,
            () = time::sleep_until(due) => {}
            stop = wait_for_stop(&mut leaving), if !told_to_leave => {
                told_to_leave = stop;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn wait_for_stop(leaving: &mut watch::Receiver<bool>) -> bool {
    // The sender lives as long as the process; should it be gone, the process is leaving as well.
    let _told = leaving.wait_for(|stop| *stop).await;
    true
}

fn limits(cx: &cx::Cx) -> declarations::CallerLimits {
    let snapshot = cx.snapshot();
    snapshot.declared.as_ref().map(|d| d.limits).unwrap_or_default()
}
