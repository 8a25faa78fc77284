//! The agent's call to its endpoint.
//!
//! A stalled connection cannot be told from a slow endpoint, so after a period of silence the request is sent again
//! over a new connection. This is done only for idempotent requests. Any other request is sent once and may take until
//! its deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use sycamorestile_core::claim;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::direct::coding;
use sycamorestile_core::event_splitter;
use sycamorestile_core::event_stream;
use sycamorestile_core::problem;
use sycamorestile_core::time::Time;
use sycamorestile_wire::attempt_request;
use sycamorestile_wire::frame;
use tokio::time;

use crate::agent::context;
use crate::agent::frame_log;
use crate::http_client;

/// Time without data from the endpoint after which a connection counts as stalled.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of connections for one idempotent request.
const MAX_CONNECTIONS: u32 = 2;
/// Maximum size of a response that is not an event stream, in bytes. Such a response is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time without a reader after which an idempotent call is aborted.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a call to the endpoint.
#[derive(Debug)]
pub(crate) enum EndpointResult {
    /// The complete response was appended to the log. Contains the response unless it is a stream.
    Complete(Option<claim::StoredResponse>),
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The endpoint may have executed the call.
    Failed(problem::Problem),
}

/// Reason for which reading a response was aborted.
enum ReadError {
    /// The connection broke or stalled. Another connection may succeed.
    Connection,
    /// Another connection would not help.
    Final(problem::Problem),
}

struct Progress {
    /// Status in the head frame, once that was appended.
    status: Option<u16>,
    /// Number of complete events appended, counted from the start of the response.
    events: u32,
    last_event: Option<Time>,
}

/// Calls the endpoint and appends its response to `log`, except for the final frame.
pub(crate) async fn run(
    cx: &Arc<context::AgentContext>,
    req: &attempt_request::AttemptRequest,
    endpoint: &endpoint::Endpoint,
    log: &Arc<frame_log::FrameLog>,
) -> EndpointResult {
    let deadline = cx.clock.now() + Duration::from_millis(req.deadline_ms);
    let mut progress = Progress {
        status: None,
        events: req.resume_from.unwrap_or(0),
        last_event: None,
    };
    for connection in 1..=MAX_CONNECTIONS {
        let is_last = !req.idempotent || connection == MAX_CONNECTIONS;
        let timeout = if is_last {
            deadline.since(cx.clock.now())
        } else {
            SILENCE_TIMEOUT
        };
        let error = match send(req, endpoint, progress.events, timeout).await {
            Ok(response) => match receive(cx, req, log, response, &mut progress, deadline).await {
                Ok(response) => return EndpointResult::Complete(response),
                Err(error) => error,
            },
            Err(http_client::ExchangeError::NotSent { .. }) if connection == 1 => return EndpointResult::NotSent,
            Err(
                http_client::ExchangeError::NotSent { .. }
                | http_client::ExchangeError::Broken { .. }
                | http_client::ExchangeError::TimedOut { .. },
            ) => ReadError::Connection,
        };
        if let ReadError::Final(problem) = error {
            return EndpointResult::Failed(problem);
        }
        let is_resumable = progress.events == 0 || endpoint.has(endpoint::Feature::Resume);
        if !req.idempotent || !is_resumable || cx.clock.now() >= deadline {
            break;
        }
    }
    if cx.clock.now() < deadline && http_client::refuses_connections(endpoint.address).await {
        let detail = "the connection broke, and the endpoint refuses new ones";
        return EndpointResult::Failed(problem::Problem::new(problem::ProblemKind::EndpointCrashed, detail));
    }
    EndpointResult::Failed(lost_problem(cx, deadline))
}

fn lost_problem(cx: &context::AgentContext, deadline: Time) -> problem::Problem {
    if cx.clock.now() >= deadline {
        return problem::Problem::new(
            problem::ProblemKind::DeadlineAfterStart,
            "the endpoint did not respond in time",
        );
    }
    problem::Problem::new(
        problem::ProblemKind::AnswerLost,
        "the connection to the endpoint broke or stalled before the response was complete",
    )
}

async fn send(
    req: &attempt_request::AttemptRequest,
    endpoint: &endpoint::Endpoint,
    events: u32,
    timeout: Duration,
) -> Result<Response<Incoming>, http_client::ExchangeError> {
    let body = request_body(req, events);
    let mut builder = Request::builder()
        .method(&*req.method)
        .uri(&*req.target)
        .header(http::header::HOST, endpoint.address.to_string())
        .header("sycamorestile-attempt", req.attempt.to_string())
        .header("sycamorestile-organisation", req.organisation.as_str());
    if endpoint.has(endpoint::Feature::Priorities) {
        builder = builder.header("sycamorestile-class", req.class.as_str());
    }
    if let Some(content_type) = &req.content_type {
        builder = builder.header(http::header::CONTENT_TYPE, &**content_type);
    }
    if let Some(key) = &req.key {
        builder = builder.header("idempotency-key", &**key);
    }
    let not_sent = |_| http_client::ExchangeError::NotSent { addr: endpoint.address };
    let request = builder.body(Full::new(Bytes::from(body))).map_err(not_sent)?;
    http_client::send(endpoint.address, request, timeout).await
}

/// Returns the request body, with the position to resume from if events were already forwarded.
fn request_body(req: &attempt_request::AttemptRequest, events: u32) -> Vec<u8> {
    if events == 0 {
        return req.body.clone();
    }
    let Ok(serde_json::Value::Object(mut fields)) = serde_json::from_slice(&req.body) else {
        return req.body.clone();
    };
    fields.insert("resume_from".to_owned(), events.into());
    serde_json::to_vec(&fields).unwrap_or_else(|_| req.body.clone())
}

async fn receive(
    cx: &Arc<context::AgentContext>,
    req: &attempt_request::AttemptRequest,
    log: &Arc<frame_log::FrameLog>,
    response: Response<Incoming>,
    progress: &mut Progress,
    deadline: Time,
) -> Result<Option<claim::StoredResponse>, ReadError> {
    let status = response.status().as_u16();
    let is_final = !response.status().is_informational();
    if !is_final || is_coded(response.headers()) {
        let detail = if is_final {
            "the endpoint's response has a coding that nobody asked for"
        } else {
            "the endpoint's status is not a final one"
        };
        return Err(ReadError::Final(problem::Problem::new(
            problem::ProblemKind::AnswerLost,
            detail,
        )));
    }
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    let content_type: Option<Box<str>> = content_type.and_then(|v| v.to_str().ok()).map(Into::into);
    let is_stream = content_type.as_deref().is_some_and(event_stream::is_event_stream);
    let head = frame::FrameBody::Head {
        status,
        content_type: content_type.clone(),
    };
    if progress.status.is_some_and(|begun| !is_stream || begun != status) {
        let problem = problem::Problem::new(
            problem::ProblemKind::AnswerCut,
            "the endpoint did not continue its stream",
        );
        return Err(ReadError::Final(problem));
    }
    if is_stream {
        if progress.status.replace(status).is_none() {
            log.push(head, cx.clock.now());
        }
        return receive_events(cx, req, log, response.into_body(), progress, deadline)
            .await
            .map(|()| None);
    }
    let body = receive_body(cx, req, response.into_body(), deadline).await?;
    progress.status = Some(status);
    log.push(head, cx.clock.now());
    log.push(frame::FrameBody::Data(body.clone()), cx.clock.now());
    Ok(Some(claim::StoredResponse {
        status,
        content_type,
        body,
    }))
}

/// Returns whether the body has a coding. Agents accept none, and callers aren't told of one.
fn is_coded(headers: &HeaderMap) -> bool {
    let transfer_codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let transfer_codings: Vec<&str> = transfer_codings.map(|v| v.to_str().unwrap_or_default()).collect();
    headers.contains_key(http::header::CONTENT_ENCODING) || coding::is_transfer_coded(&transfer_codings)
}

async fn receive_body(
    cx: &context::AgentContext,
    req: &attempt_request::AttemptRequest,
    mut body: Incoming,
    deadline: Time,
) -> Result<Vec<u8>, ReadError> {
    let mut received = Vec::new();
    loop {
        let remaining = deadline.since(cx.clock.now());
        let timeout = if req.idempotent {
            remaining.min(SILENCE_TIMEOUT)
        } else {
            remaining
        };
        let frame = match time::timeout(timeout, body.frame()).await {
            Ok(None) => return Ok(received),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) | Err(_) => return Err(ReadError::Connection),
        };
        if let Some(data) = frame.data_ref() {
            received.extend_from_slice(data);
        }
        if received.len() > MAX_RESPONSE_BYTES {
            let detail = "the endpoint's response is too large to be buffered";
            return Err(ReadError::Final(problem::Problem::new(
                problem::ProblemKind::AnswerLost,
                detail,
            )));
        }
    }
}

async fn receive_events(
    cx: &Arc<context::AgentContext>,
    req: &attempt_request::AttemptRequest,
    log: &Arc<frame_log::FrameLog>,
    mut body: Incoming,
    progress: &mut Progress,
    deadline: Time,
) -> Result<(), ReadError> {
    let started = cx.clock.now();
    let mut splitter = event_splitter::EventSplitter::default();
    loop {
        let timeout = deadline.since(cx.clock.now()).min(SILENCE_TIMEOUT);
        let Ok(Some(Ok(frame))) = time::timeout(timeout, body.frame()).await else {
            return Err(ReadError::Connection);
        };
        let Some(data) = frame.data_ref() else { continue };
        let too_long = |_| {
            ReadError::Final(problem::Problem::new(
                problem::ProblemKind::AnswerLost,
                "an event of the response is too long",
            ))
        };
        for event in splitter.push(data).map_err(too_long)? {
            if !event_stream::is_event(&event) {
                return Err(ReadError::Connection);
            }
            let is_end = event_splitter::is_end_event(&event);
            let has_data = event_stream::has_data(&event);
            log.push(frame::FrameBody::Data(event), cx.clock.now());
            if is_end {
                return Ok(());
            }
            if has_data {
                record_event(cx, progress, started);
            }
        }
        check_still_wanted(cx, req, log, deadline)?;
    }
}

fn record_event(cx: &context::AgentContext, progress: &mut Progress, started: Time) {
    let now = cx.clock.now();
    match progress.last_event {
        None => cx.control.observe_first_token(now.since(started)),
        Some(last) => cx.control.observe_token_gap(now.since(last)),
    }
    progress.last_event = Some(now);
    progress.events += 1;
}

/// Fails if the deadline has passed, or if the call is idempotent and its response has had no reader for too long.
fn check_still_wanted(
    cx: &context::AgentContext,
    req: &attempt_request::AttemptRequest,
    log: &frame_log::FrameLog,
    deadline: Time,
) -> Result<(), ReadError> {
    let now = cx.clock.now();
    if now >= deadline {
        let problem = problem::Problem::new(
            problem::ProblemKind::DeadlineAfterStart,
            "the response was not complete at the deadline",
        );
        return Err(ReadError::Final(problem));
    }
    let is_unread = log
        .unread_since()
        .is_some_and(|since| now.since(since) > ABANDONED_TIMEOUT);
    if req.idempotent && is_unread {
        return Err(ReadError::Final(problem::Problem::new(
            problem::ProblemKind::AnswerLost,
            "no entry reads the response",
        )));
    }
    Ok(())
}
