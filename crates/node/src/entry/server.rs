//! The entry's server for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Response, header};
use http_body_util::{BodyExt, StreamBody};
use rand::RngExt;
use serde::Deserialize;
use sycamorestile_core::call_head;
use sycamorestile_core::config::service;
use sycamorestile_core::outcome;
use sycamorestile_core::prefix_memory;
use sycamorestile_core::problem;
use tokio::sync::oneshot;
use tokio_stream::wrappers::ReceiverStream;

use crate::entry::call_driver;
use crate::entry::caller_response;
use crate::entry::context;
use crate::error;
use crate::http_server;
use crate::request_body;

/// Content type of problem responses.
const PROBLEM_JSON: &str = "application/problem+json";
/// Response header with the identifier of the call, by which operators can look up decisions about it.
const CALL_ID_HEADER: &str = "sycamorestile-call";

/// Starts the server.
///
/// # Errors
///
/// Returns [`error::StartError::Bind`] if the address cannot be bound.
pub(crate) async fn start(
    addr: SocketAddr,
    cx: Arc<context::EntryContext>,
) -> Result<http_server::Server, error::StartError> {
    http_server::Server::start("callers", addr, move |req| handle(Arc::clone(&cx), req)).await
}

/// Counts a call as in flight until its response is complete.
struct InFlightGuard {
    cx: Arc<context::EntryContext>,
}

impl InFlightGuard {
    fn new(cx: &Arc<context::EntryContext>) -> Self {
        cx.in_flight.fetch_add(1, Ordering::AcqRel);
        cx.metrics.in_flight.inc();
        Self { cx: Arc::clone(cx) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.cx.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.cx.metrics.in_flight.dec();
    }
}

async fn handle(
    cx: Arc<context::EntryContext>,
    req: http::Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    let id = format!("{:016x}", cx.rng().random::<u64>());
    let received = cx.clock.now();
    let (parts, body) = req.into_parts();
    let head = match admit(&cx, &parts) {
        Ok(head) => head,
        Err(problem) => return reject(&cx, &parts, &id, &problem),
    };
    let in_flight = InFlightGuard::new(&cx);
    let body = match read_body(body, &head).await {
        Ok(body) => body,
        Err(problem) => return reject(&cx, &parts, &id, &problem),
    };
    let hint = match check_body(&head, &body) {
        Ok(hint) => hint,
        Err(problem) => return reject(&cx, &parts, &id, &problem),
    };
    let request = call_driver::CallRequest {
        id: id.as_str().into(),
        head,
        content_type: header_text(&parts.headers, &header::CONTENT_TYPE).map(Into::into),
        body,
        hint,
        received,
    };
    let (tx, rx) = oneshot::channel();
    tokio::spawn(call_driver::run(Arc::clone(&cx), request, tx));
    let response = rx.await.unwrap_or_else(|_| {
        let detail = "the task of the call ended without a response";
        caller_response::CallerResponse::Problem(problem::Problem::new(problem::ProblemKind::AnswerLost, detail))
    });
    respond(&cx, response, &id, in_flight)
}

fn admit(cx: &context::EntryContext, parts: &http::request::Parts) -> Result<call_head::CallHead, problem::Problem> {
    let snapshot = cx.snapshot();
    if snapshot.draining {
        return Err(problem::Problem::new(
            problem::ProblemKind::Leaving,
            "this instance is draining; send the call to another one",
        ));
    }
    if !snapshot.ready {
        return Err(problem::Problem::new(
            problem::ProblemKind::NotReady,
            "no configuration has been read yet",
        ));
    }
    let head = call_head::CallHead::check(&request_head(parts), &snapshot.config)?;
    if cx.in_flight.load(Ordering::Acquire) >= cx.max_calls {
        return Err(problem::Problem::new(
            problem::ProblemKind::Overloaded,
            "this instance has reached its maximum number of calls in flight",
        ));
    }
    cx.dispatcher()
        .admit(&head.organisation, &snapshot.config, cx.clock.now())?;
    Ok(head)
}

fn request_head(parts: &http::request::Parts) -> call_head::RequestHead<'_> {
    let headers = &parts.headers;
    let target = parts.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    call_head::RequestHead {
        method: parts.method.as_str(),
        target,
        organisation: header_value(headers, call_head::ORGANISATION),
        class: header_value(headers, call_head::CLASS),
        deadline_ms: header_value(headers, call_head::DEADLINE_MS),
        key: header_value(headers, call_head::IDEMPOTENCY_KEY),
        content_length: header_text(headers, &header::CONTENT_LENGTH).and_then(|v| v.parse().ok()),
    }
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<call_head::HeaderValue<'a>> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        return Some(call_head::HeaderValue::Unreadable);
    }
    Some(
        first
            .to_str()
            .map_or(call_head::HeaderValue::Unreadable, call_head::HeaderValue::Text),
    )
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn read_body(body: request_body::RequestBody, head: &call_head::CallHead) -> Result<Bytes, problem::Problem> {
    let limit = usize::try_from(head.max_body_bytes).unwrap_or(usize::MAX);
    let read = http_server::read_body(body, limit).await;
    read.map_err(|error| match error {
        http_server::BodyError::TooLarge => call_head::body_too_large(head.max_body_bytes),
        http_server::BodyError::Incomplete => {
            problem::Problem::new(problem::ProblemKind::BadBody, "the body was not received completely")
        }
    })
}

/// Fields of a model call that affect routing. The body itself is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct ModelBody {
    prompt: Option<String>,
    messages: Option<Vec<serde_json::Value>>,
    #[serde(default)]
    max_tokens: Option<std::num::NonZeroU32>,
    #[serde(default)]
    #[expect(dead_code, reason = "read only to refuse a value of another type")]
    stream: Option<bool>,
    resume_from: Option<serde_json::Value>,
}

/// Validates a model call's body and extracts the properties that affect routing.
fn check_body(head: &call_head::CallHead, body: &[u8]) -> Result<call_driver::RoutingHint, problem::Problem> {
    if head.kind != service::ServiceKind::Model || matches!(&*head.method, "GET" | "HEAD" | "DELETE") {
        return Ok(call_driver::RoutingHint::default());
    }
    let bad_body = |detail: String| problem::Problem::new(problem::ProblemKind::BadBody, detail);
    let model: ModelBody = serde_json::from_slice(body).map_err(|e| bad_body(format!("send a JSON object: {e}")))?;
    if model.resume_from.is_some() {
        return Err(bad_body(
            "resume_from is reserved for the system; leave it out".to_owned(),
        ));
    }
    let prompt = match (model.prompt, model.messages) {
        (Some(prompt), _) => prefix_memory::PrefixHashes::of(prompt.as_bytes()),
        (None, Some(messages)) => prefix_memory::PrefixHashes::of(&serde_json::to_vec(&messages).unwrap_or_default()),
        (None, None) => return Err(bad_body("send a prompt or messages".to_owned())),
    };
    let tokens = model.max_tokens.map(std::num::NonZeroU32::get);
    Ok(call_driver::RoutingHint { prompt, tokens })
}

fn reject(
    cx: &context::EntryContext,
    parts: &http::request::Parts,
    id: &str,
    problem: &problem::Problem,
) -> Response<http_server::Body> {
    let service_segment = parts
        .uri
        .path()
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default();
    // Only declared services get their own metric series; callers could otherwise create any number of them.
    let snapshot = cx.snapshot();
    let declared = sycamorestile_core::name::Name::new(service_segment)
        .ok()
        .filter(|name| snapshot.config.service(name).is_some());
    let service = declared.as_ref().map_or("unknown", |name| name.as_str());
    cx.metrics
        .record_outcome(service, problem.kind.outcome().as_str(), problem.kind.slug());
    problem_response(cx, problem, id)
}

fn problem_response(cx: &context::EntryContext, problem: &problem::Problem, id: &str) -> Response<http_server::Body> {
    let problem = problem.clone().with_jitter(cx.rng().random());
    let body = serde_json::to_vec(&problem.body()).unwrap_or_default();
    let mut response = http_server::full_response(problem.kind.status(), PROBLEM_JSON, body);
    set_outcome_headers(&mut response, problem.kind.outcome(), id);
    if let Some(secs) = problem.retry_after_secs() {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
    response
}

fn set_outcome_headers(response: &mut Response<http_server::Body>, outcome: outcome::Outcome, id: &str) {
    let headers = response.headers_mut();
    headers.insert(call_head::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(CALL_ID_HEADER, id);
    }
}

fn respond(
    cx: &context::EntryContext,
    response: caller_response::CallerResponse,
    id: &str,
    in_flight: InFlightGuard,
) -> Response<http_server::Body> {
    match response {
        caller_response::CallerResponse::Problem(problem) => problem_response(cx, &problem, id),
        caller_response::CallerResponse::Complete {
            status,
            content_type,
            body,
        } => {
            let content_type = content_type.as_deref().unwrap_or("application/octet-stream");
            let mut response = http_server::full_response(status, content_type, body);
            set_outcome_headers(&mut response, outcome::Outcome::Done, id);
            response
        }
        caller_response::CallerResponse::Stream {
            status,
            content_type,
            events,
        } => {
            let frames = ReceiverStream::new(events).map(move |bytes| {
                let _counted_until_sent = &in_flight;
                Ok::<_, Infallible>(hyper::body::Frame::data(bytes))
            });
            let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
            *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
            if let Some(value) = content_type.as_deref().and_then(|t| HeaderValue::from_str(t).ok()) {
                response.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            response
                .headers_mut()
                .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
            // For a stream, this header is final only together with the end event: a stream that ends with an `error`
            // event carries its outcome there.
            set_outcome_headers(&mut response, outcome::Outcome::Done, id);
            response
        }
    }
}
