//! The agent's server for attempts.
//!
//! `POST /attempts` starts an attempt and streams its frames. `GET /attempts/{attempt}/{incarnation}/{from}` streams
//! the frames of an attempt from a position on. A request for an attempt that this process does not know cancels the
//! attempt in advance, so that the reply "never began" remains true if the attempt arrives later.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::frame_order;
use sycamorestile_core::incarnation;
use sycamorestile_core::problem;
use sycamorestile_wire::attempt_request;
use sycamorestile_wire::codec;
use sycamorestile_wire::frame;
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers::ReceiverStream;

use crate::agent::attempt;
use crate::agent::context;
use crate::agent::frame_log;
use crate::error;
use crate::http_server;
use crate::request_body;

/// Maximum size of an encoded attempt, in bytes.
const MAX_ATTEMPT_BYTES: usize = 65 << 20;
/// Time without frames after which a heartbeat is sent.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of encoded frames buffered for a slow reader.
const READER_QUEUE: usize = 64;

/// Starts the server.
///
/// # Errors
///
/// Returns [`error::StartError::Bind`] if the address cannot be bound.
pub(crate) async fn start(
    addr: SocketAddr,
    cx: Arc<context::AgentContext>,
) -> Result<http_server::Server, error::StartError> {
    http_server::Server::start("calls", addr, move |req| handle(Arc::clone(&cx), req)).await
}

async fn handle(
    cx: Arc<context::AgentContext>,
    req: Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    let path = req.uri().path().to_owned();
    match *req.method() {
        Method::POST if path == "/attempts" => begin(cx, req).await,
        Method::GET => match parse_path(&path) {
            Some((attempt, incarnation, from)) => resume(&cx, attempt, incarnation, from).await,
            None => http_server::full_response(404, "text/plain", "no such attempt path\n"),
        },
        _ => http_server::full_response(404, "text/plain", "no such path\n"),
    }
}

fn parse_path(path: &str) -> Option<(attempt_id::AttemptId, incarnation::Incarnation, frame_order::FrameSeq)> {
    let mut parts = path.strip_prefix("/attempts/")?.split('/');
    let attempt = attempt_id::AttemptId::parse(parts.next()?).ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let from = parts.next()?.parse().ok()?;
    Some((
        attempt,
        incarnation::Incarnation::new(incarnation),
        frame_order::FrameSeq(from),
    ))
}

async fn begin(cx: Arc<context::AgentContext>, req: Request<request_body::RequestBody>) -> Response<http_server::Body> {
    let Ok(body) = http_server::read_body(req.into_body(), MAX_ATTEMPT_BYTES).await else {
        return http_server::full_response(400, "text/plain", "the attempt could not be read\n");
    };
    let Ok(request) = codec::decode::<attempt_request::AttemptRequest>(&body) else {
        return http_server::full_response(400, "text/plain", "the attempt could not be decoded\n");
    };
    if request.incarnation != cx.incarnation {
        let problem = problem::Problem::new(problem::ProblemKind::NoEndpoint, "the agent was replaced")
            .with_retry_after(Duration::ZERO);
        return single_frame(&cx, request.attempt, frame::FrameBody::Refused(problem));
    }
    let attempt = request.attempt;
    match cx.registry.add(attempt, cx.clock.now()) {
        Some(log) => {
            tokio::spawn(attempt::run(Arc::clone(&cx), request, Arc::clone(&log)));
            stream(&cx, attempt, log, frame_order::FrameSeq::default())
        }
        None => match cx.registry.get(attempt) {
            Some(log) => stream(&cx, attempt, log, frame_order::FrameSeq::default()),
            None => single_frame(&cx, attempt, frame::FrameBody::Forgotten),
        },
    }
}

async fn resume(
    cx: &Arc<context::AgentContext>,
    attempt: attempt_id::AttemptId,
    incarnation: incarnation::Incarnation,
    from: frame_order::FrameSeq,
) -> Response<http_server::Body> {
    if incarnation != cx.incarnation {
        return single_frame(cx, attempt, frame::FrameBody::Forgotten);
    }
    if let Some(log) = cx.registry.get(attempt) {
        return stream(cx, attempt, log, from);
    }
    let body = match cx.control.cancel(attempt).await {
        Some(attempt_queue::AttemptState::NeverBegan) => {
            let problem =
                problem::Problem::new(problem::ProblemKind::NoEndpoint, "the attempt never reached the agent");
            frame::FrameBody::Refused(problem.with_retry_after(Duration::ZERO))
        }
        // The attempt is on record but has no log: it completed long ago and its response was removed.
        Some(
            attempt_queue::AttemptState::Waiting
            | attempt_queue::AttemptState::Running
            | attempt_queue::AttemptState::Ended,
        )
        | None => frame::FrameBody::Forgotten,
    };
    single_frame(cx, attempt, body)
}

fn single_frame(
    cx: &Arc<context::AgentContext>,
    attempt: attempt_id::AttemptId,
    body: frame::FrameBody,
) -> Response<http_server::Body> {
    let log = Arc::new(frame_log::FrameLog::new());
    log.push(body, cx.clock.now());
    stream(cx, attempt, log, frame_order::FrameSeq::default())
}

fn stream(
    cx: &Arc<context::AgentContext>,
    attempt: attempt_id::AttemptId,
    log: Arc<frame_log::FrameLog>,
    from: frame_order::FrameSeq,
) -> Response<http_server::Body> {
    let (tx, rx) = mpsc::channel(READER_QUEUE);
    log.reader_attached();
    tokio::spawn(send_frames(Arc::clone(cx), attempt, log, from, tx));
    let frames = ReceiverStream::new(rx).map(|bytes| Ok::<_, Infallible>(hyper::body::Frame::data(bytes)));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

async fn send_frames(
    cx: Arc<context::AgentContext>,
    attempt: attempt_id::AttemptId,
    log: Arc<frame_log::FrameLog>,
    from: frame_order::FrameSeq,
    tx: mpsc::Sender<Bytes>,
) {
    let is_fetched = send_from(&cx, attempt, &log, from, &tx).await;
    log.reader_detached(is_fetched, cx.clock.now());
}

/// Sends frames to a reader. Returns `true` after the last frame and `false` if the reader disconnects first.
async fn send_from(
    cx: &context::AgentContext,
    attempt: attempt_id::AttemptId,
    log: &frame_log::FrameLog,
    from: frame_order::FrameSeq,
    tx: &mpsc::Sender<Bytes>,
) -> bool {
    let mut seq = from;
    loop {
        let next = log.get(seq);
        let (body, is_last) = match next {
            Some(body) => {
                let is_last = body.is_last();
                (body, is_last)
            }
            None => (frame::FrameBody::Heartbeat, false),
        };
        let is_heartbeat = body == frame::FrameBody::Heartbeat;
        if is_heartbeat && time::timeout(HEARTBEAT_INTERVAL, log.wait(seq)).await.is_ok() {
            continue;
        }
        let frame = frame::Frame {
            attempt,
            incarnation: cx.incarnation,
            seq,
            load: cx.load(),
            body,
        };
        let Ok(bytes) = codec::encode_frame(&frame) else {
            return false;
        };
        if tx.send(Bytes::from(bytes)).await.is_err() {
            return false;
        }
        if is_last {
            return true;
        }
        if !is_heartbeat {
            seq = frame_order::FrameSeq(seq.0 + 1);
        }
    }
}
