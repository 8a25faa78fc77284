//! Serves one connection.

use std::error::Error;

use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use sycamorestile_core::direct::drain;
use tokio::net::TcpStream;
use tokio::sync;
use tokio::time::{self, Instant};

use crate::close_reason::CloseReason;
use crate::timeouts::{TimeoutAction, Timeouts};
use crate::watch::ConnectionWatch;
use crate::watched_io::WatchedIo;

/// The size of the kernel's buffer for what a caller has not received yet, in bytes. A connection takes more bytes once about
/// a third of a full buffer was received, which tells a slow caller from one that has stopped reading.
pub const SEND_BUFFER_BYTES: u32 = 256 << 10;

/// The phase of a stop of the process, as connections learn it.
pub type StopPhase = sync::watch::Receiver<drain::StopPhase>;

/// Serves `stream` with `service` until either side closes it, a timeout expires or a stop has completed what was begun on
/// it. Returns the reason if a timeout closed it.
///
/// `timeouts` returns the timeouts of the moment. A request head has at most `max_head_bytes`.
pub async fn serve<S, B, T>(
    stream: TcpStream,
    connection_watch: ConnectionWatch,
    max_head_bytes: usize,
    service: S,
    timeouts: T,
    mut stop_phase: StopPhase,
) -> Option<CloseReason>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    T: Fn() -> Timeouts,
{
    // Without this option, small writes wait for the acknowledgement of earlier ones. The connection works either way.
    let _nodelay = stream.set_nodelay(true);
    let io = TokioIo::new(WatchedIo::new(stream, connection_watch.clone()));
    let connection = http1::Builder::new()
        .max_buf_size(max_head_bytes)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut unused_end = None;
    let (mut is_shut_down, mut is_rechecked) = (false, false);
    loop {
        let phase = *stop_phase.borrow_and_update();
        if phase >= drain::StopPhase::Finishing {
            unused_end.get_or_insert_with(|| Instant::now() + drain::UNUSED_CONNECTION_TIME);
        }
        // An idle connection is closed at once. The library would also take one for idle that has sent no request yet, or a
        // part of a head; these are closed by the response to that request.
        if phase > drain::StopPhase::Running && !is_shut_down && connection_watch.is_between_requests() {
            connection.as_mut().graceful_shutdown();
            is_shut_down = true;
        }
        let limits = timeouts();
        let deadline = match connection_watch.next_action(&limits, unused_end) {
            TimeoutAction::WaitUntil(at) => {
                is_rechecked = false;
                at
            }
            // The timeout may have expired while the process was suspended. What has arrived meanwhile is read first, which
            // takes a turn of the runtime.
            TimeoutAction::Close(_) if !is_rechecked => {
                is_rechecked = true;
                tokio::task::yield_now().await;
                Instant::now()
            }
            TimeoutAction::Close(CloseReason::Idle) => {
                connection.as_mut().graceful_shutdown();
                // No request is in flight on an idle connection, so this completes immediately.
                let _ended = time::timeout(limits.head, connection).await;
                return Some(CloseReason::Idle);
            }
            TimeoutAction::Close(reason) => return Some(reason),
        };
        tokio::select! {
            // What has arrived is read before the timeouts are judged.
            biased;
            // An error here means that the caller closed the connection, which needs no action.
            _ended = connection.as_mut() => return None,
            Ok(()) = stop_phase.changed() => {}
            () = time::sleep_until(deadline) => {}
        }
    }
}
