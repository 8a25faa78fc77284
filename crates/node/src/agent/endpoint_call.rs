//! The agent's call to its endpoint.
//!
//! A silent connection is told from a slow endpoint by opening another one. That is allowed only where a second
//! execution is harmless; a harmful call is sent once and waits until its deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use sycamorestile_core::claim;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::event_splitter;
use sycamorestile_core::problem;
use sycamorestile_core::time::Time;
use sycamorestile_wire::attempt_request;
use sycamorestile_wire::frame;
use tokio::time;

use crate::agent::context;
use crate::agent::frame_log;
use crate::http_client;

/// Silence of an endpoint after which a new connection is tried.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections tried for one harmless call.
const MAX_CONNECTIONS: u32 = 2;
/// Largest answer that is no event stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time without a reader after which a harmless call is stopped.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(5);
/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// How the call ended.
#[derive(Debug)]
pub(crate) enum EndpointResult {
    /// The endpoint's whole answer was appended; it is given too where it is no stream.
    Complete(Option<claim::StoredResponse>),
    /// No byte reached the endpoint.
    NotSent,
    /// The endpoint may have run the call.
    Failed(problem::Problem),
}

/// Why reading an answer stopped early.
enum ReadError {
    /// The connection broke or fell silent.
    Connection,
    /// Nothing is gained by another connection.
    Final(problem::Problem),
}

struct Progress {
    /// A head frame was appended.
    head_sent: bool,
    /// Whole events appended, counted from the start of the answer.
    events: u32,
    last_event: Option<Time>,
}

/// Calls the endpoint and appends the answer to `log`, except for the end mark.
pub(crate) async fn run(
    cx: &Arc<context::AgentContext>,
    req: &attempt_request::AttemptRequest,
    endpoint: &endpoint::Endpoint,
    log: &Arc<frame_log::FrameLog>,
) -> EndpointResult {
    let deadline = cx.clock.now() + Duration::from_millis(req.deadline_ms);
    let mut progress = Progress {
        head_sent: false,
        events: req.resume_from.unwrap_or(0),
        last_event: None,
    };
    for connection in 1..=MAX_CONNECTIONS {
        let last = !req.idempotent || connection == MAX_CONNECTIONS;
        let timeout = if last {
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
        let resumable = progress.events == 0 || endpoint.has(endpoint::Feature::Resume);
        if !req.idempotent || !resumable || cx.clock.now() >= deadline {
            break;
        }
    }
    EndpointResult::Failed(lost_problem(cx, deadline))
}

fn lost_problem(cx: &context::AgentContext, deadline: Time) -> problem::Problem {
    if cx.clock.now() >= deadline {
        return problem::Problem::new(
            problem::ProblemKind::DeadlineAfterStart,
            "the endpoint did not answer in time",
        );
    }
    problem::Problem::new(problem::ProblemKind::AnswerLost, "the endpoint broke off its answer")
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

/// The request's body, with the place to go on from where some events were handed on already.
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
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    let content_type: Option<Box<str>> = content_type.and_then(|v| v.to_str().ok()).map(Into::into);
    let is_stream = content_type.as_deref().is_some_and(|t| t.starts_with(EVENT_STREAM));
    let head = frame::FrameBody::Head {
        status,
        content_type: content_type.clone(),
    };
    if is_stream {
        if !progress.head_sent {
            progress.head_sent = true;
            log.push(head, cx.clock.now());
        }
        return receive_events(cx, req, log, response.into_body(), progress, deadline)
            .await
            .map(|()| None);
    }
    if progress.head_sent {
        let problem = problem::Problem::new(
            problem::ProblemKind::AnswerCut,
            "the endpoint did not continue its stream",
        );
        return Err(ReadError::Final(problem));
    }
    let body = receive_body(cx, req, response.into_body(), deadline).await?;
    progress.head_sent = true;
    log.push(head, cx.clock.now());
    log.push(frame::FrameBody::Data(body.clone()), cx.clock.now());
    Ok(Some(claim::StoredResponse {
        status,
        content_type,
        body,
    }))
}

async fn receive_body(
    cx: &context::AgentContext,
    req: &attempt_request::AttemptRequest,
    mut body: Incoming,
    deadline: Time,
) -> Result<Vec<u8>, ReadError> {
    let mut whole = Vec::new();
    loop {
        let left = deadline.since(cx.clock.now());
        let timeout = if req.idempotent {
            left.min(SILENCE_TIMEOUT)
        } else {
            left
        };
        let frame = match time::timeout(timeout, body.frame()).await {
            Ok(None) => return Ok(whole),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) | Err(_) => return Err(ReadError::Connection),
        };
        if let Some(data) = frame.data_ref() {
            whole.extend_from_slice(data);
        }
        if whole.len() > MAX_RESPONSE_BYTES {
            let detail = "the endpoint's answer is too large to be checked as a whole";
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
                "an event is too long",
            ))
        };
        for event in splitter.push(data).map_err(too_long)? {
            let end = event_splitter::is_end_event(&event);
            log.push(frame::FrameBody::Data(event), cx.clock.now());
            if end {
                return Ok(());
            }
            record_event(cx, progress, started);
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

/// Ends a harmless call that nobody reads any more, or whose deadline has passed.
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
            "the answer was not whole in time",
        );
        return Err(ReadError::Final(problem));
    }
    let unread = log
        .unread_since()
        .is_some_and(|since| now.since(since) > ABANDONED_TIMEOUT);
    if req.idempotent && unread {
        return Err(ReadError::Final(problem::Problem::new(
            problem::ProblemKind::AnswerLost,
            "nobody reads the answer",
        )));
    }
    Ok(())
}
