//! Sends a request to one endpoint and tells what came of it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use sycamorestile_core::direct::{access, attempts, endpoint, response_class, route};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::context;
use crate::handle;
use crate::header_adapter;
use crate::pool;
use crate::request;
use crate::response_body;

/// Largest answer that is held until it is whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Longest wait for the head of a stream at one endpoint, beyond the time that a group stalls for a lost rank.
const STREAM_HEAD_MARGIN: Duration = Duration::from_millis(250);

/// Time that a request must have left to be sent: what the quickest services take to answer. With less, its caller has
/// gone before an endpoint reads it.
const MIN_REMAINING: Duration = Duration::from_millis(15);

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// What came of one send.
pub(crate) enum AttemptResult {
    /// An answer head to a stream, with more to come.
    Stream(Box<OpenStream>),
    /// A whole answer.
    Response(Box<Response<response_body::ResponseBody>>),
    /// Nothing that can be handed on.
    Failed {
        next: attempts::NextAttempt,
        why: &'static str,
        /// The endpoint's own failure, for when nothing else is tried.
        failure: Option<Box<Response<response_body::ResponseBody>>>,
    },
}

/// An answer head to a stream, with its body to come.
pub(crate) struct OpenStream {
    pub(crate) parts: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) head: header_adapter::ResponseHead,
    pub(crate) lease: pool::Lease,
    pub(crate) slot: request::EndpointSlot,
}

/// Sends the request to one more endpoint.
pub(crate) async fn run(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    last_event_id: Option<&str>,
) -> Result<AttemptResult, problem::ProblemKind> {
    let now = boot_clock::now();
    if req_cx.call.deadline.since(now) < MIN_REMAINING {
        return Err(problem::ProblemKind::DeadlineBeforeStart);
    }
    let snapshot = cx.snapshot();
    let usable = |service: &str| !snapshot.endpoints_of(service).is_empty();
    let random = cx.random_fraction();
    let target = req_cx
        .call
        .grant
        .route
        .target(random, usable)
        .ok_or(problem::ProblemKind::NoEndpoint)?;
    let candidates = snapshot.endpoints_of(&target.service);
    let domain = &cx.settings.failure_domain;
    let chosen = cx
        .placement
        .borrow()
        .choose(candidates, &req_cx.tried, domain, cx.random_fraction(), now)
        .cloned();
    let endpoint = chosen.ok_or(problem::ProblemKind::NoEndpoint)?;
    cx.placement.borrow_mut().attempt_started(&endpoint.id);
    let slot = request::EndpointSlot {
        cx: Rc::clone(cx),
        endpoint: Arc::clone(&endpoint),
    };
    req_cx.tried.push(Arc::clone(&endpoint.id));
    let is_unsafe = req_cx.call.grant.route.kind == route::RouteKind::Unsafe;
    let lease = match cx.pool.lease(&endpoint, is_unsafe).await {
        Ok(lease) => lease,
        Err(e) => {
            cx.placement
                .borrow_mut()
                .record_failure(&endpoint.id, boot_clock::now());
            let why = match e {
                pool::ConnectError::Refused => "connection refused",
                pool::ConnectError::TimedOut => "connection timed out",
            };
            if e == pool::ConnectError::TimedOut {
                cx.with_outage_detector(&endpoint.service, |o| o.record_failure(&endpoint.id, boot_clock::now()));
            }
            return Ok(failed(req_cx.attempts.not_sent(), why));
        }
    };
    if lease.is_new {
        cx.metrics.record_connect();
    }
    // The wait for a connection may have outlasted the key, the route or the caller.
    let grant = req_cx.call.authorize(cx)?;
    if !grant.route.targets.iter().any(|t| t.service == endpoint.service) {
        return Ok(failed(req_cx.attempts.not_sent(), "route moved to another service"));
    }
    if req_cx.attempts.sent_count() == 0 {
        cx.with_retry_share(&endpoint.service, |share| share.record_request(now));
    }
    send_request(cx, req_cx, lease, slot, &grant, last_event_id).await
}

fn failed(next: attempts::NextAttempt, why: &'static str) -> AttemptResult {
    AttemptResult::Failed {
        next,
        why,
        failure: None,
    }
}

async fn send_request(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    mut lease: pool::Lease,
    slot: request::EndpointSlot,
    grant: &access::Grant,
    last_event_id: Option<&str>,
) -> Result<AttemptResult, problem::ProblemKind> {
    let now = boot_clock::now();
    let remaining = req_cx.call.deadline.since(now);
    if remaining.is_zero() {
        return Err(problem::ProblemKind::DeadlineBeforeStart);
    }
    let req = endpoint_request(cx, &req_cx.call, &slot.endpoint, grant, remaining, last_event_id)?;
    req_cx.attempts.start();
    let sending = lease.sender().try_send_request(req);
    let response = match time::timeout(head_timeout(cx, req_cx, remaining), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut e)) => {
            cx.placement
                .borrow_mut()
                .record_failure(&slot.endpoint.id, boot_clock::now());
            // The library gives the message back only when none of it was written.
            return Ok(if e.take_message().is_some() {
                failed(req_cx.attempts.not_sent(), "connection closed before the request")
            } else {
                failed(req_cx.attempts.lost(), "connection broke before the answer")
            });
        }
        Err(_) => {
            let now = boot_clock::now();
            cx.placement.borrow_mut().record_failure(&slot.endpoint.id, now);
            cx.with_outage_detector(&slot.endpoint.service, |o| o.record_failure(&slot.endpoint.id, now));
            return Ok(failed(req_cx.attempts.lost(), "no answer in time"));
        }
    };
    handle_response(cx, req_cx, lease, slot, response).await
}

/// How long the head of an answer is waited for.
fn head_timeout(cx: &context::GatewayContext, req_cx: &request::RequestContext, remaining: Duration) -> Duration {
    let route = &req_cx.call.grant.route;
    let has_more_attempts = req_cx.attempts.sent_count() < route.max_attempts;
    match route.kind {
        route::RouteKind::Safe if has_more_attempts => remaining / 2,
        route::RouteKind::Stream { resumable: true } if has_more_attempts => {
            remaining.min(cx.settings.stall_time + STREAM_HEAD_MARGIN)
        }
        _ => remaining,
    }
}

async fn handle_response(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    lease: pool::Lease,
    slot: request::EndpointSlot,
    response: Response<Incoming>,
) -> Result<AttemptResult, problem::ProblemKind> {
    let (parts, body) = response.into_parts();
    let head = (cx.header_adapter.read_response)(parts.status, &parts.headers);
    let attempt_id = req_cx.call.head.attempt.as_ref();
    let facts = response_class::ResponseFacts {
        status: parts.status.as_u16(),
        matches_attempt: match attempt_id {
            None => Some(true),
            Some(attempt_id) => head.attempt.as_ref().map(|id| id == attempt_id),
        },
        not_run: head.not_run,
        is_authentic: head.is_authentic,
    };
    let now = boot_clock::now();
    let id = Arc::clone(&slot.endpoint.id);
    match response_class::classify(facts) {
        response_class::ResponseClass::Untrusted => {
            cx.placement.borrow_mut().record_failure(&id, now);
            Ok(failed(req_cx.attempts.lost(), "answer to another request"))
        }
        response_class::ResponseClass::Refused => {
            if head.failed_dependency.is_some() {
                cx.with_outage_detector(&slot.endpoint.service, |o| o.record_failure(&id, now));
            } else {
                cx.placement.borrow_mut().record_refusal(&id, now);
            }
            if read_body(req_cx, body).await.is_some() {
                release_connection(lease, &parts.headers, &head);
            }
            Ok(failed(req_cx.attempts.refused(), "refused by the endpoint"))
        }
        response_class::ResponseClass::Response
            if req_cx.call.grant.route.kind.is_stream() && parts.status.is_success() =>
        {
            cx.placement.borrow_mut().record_success(&id, head.load, now);
            let open = OpenStream {
                parts,
                body,
                head,
                lease,
                slot,
            };
            Ok(AttemptResult::Stream(Box::new(open)))
        }
        class => {
            let Some(whole) = read_body(req_cx, body).await else {
                cx.placement.borrow_mut().record_failure(&id, boot_clock::now());
                return Ok(failed(req_cx.attempts.lost(), "answer broke off"));
            };
            release_connection(lease, &parts.headers, &head);
            if class == response_class::ResponseClass::Response {
                cx.placement.borrow_mut().record_success(&id, head.load, now);
                return Ok(AttemptResult::Response(Box::new(caller_response(
                    parts,
                    response_body::ResponseBody::whole(whole),
                ))));
            }
            let next = req_cx.attempts.failed();
            let failure = (class == response_class::ResponseClass::Failed)
                .then(|| Box::new(caller_response(parts, response_body::ResponseBody::whole(whole))));
            Ok(AttemptResult::Failed {
                next,
                why: "failed at the endpoint",
                failure,
            })
        }
    }
}

async fn read_body(req_cx: &request::RequestContext, mut body: Incoming) -> Option<Bytes> {
    let remaining = req_cx.call.deadline.since(boot_clock::now());
    let reading = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            whole.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d.as_ref()));
            if whole.len() > MAX_RESPONSE_BYTES {
                return None;
            }
        }
        Some(whole.freeze())
    };
    time::timeout(remaining, reading).await.ok().flatten()
}

pub(crate) fn release_connection(lease: pool::Lease, headers: &HeaderMap, head: &header_adapter::ResponseHead) {
    let tokens = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let closes = tokens
        .flat_map(|v| v.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case("close"));
    if !closes {
        lease.return_to_pool(head.keep_alive);
    }
}

/// The request as `endpoint` gets it.
fn endpoint_request(
    cx: &context::GatewayContext,
    call: &handle::Call,
    endpoint: &endpoint::Endpoint,
    grant: &access::Grant,
    remaining: Duration,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, problem::ProblemKind> {
    let mut headers = call.headers.clone();
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if call.headers.contains_key(header::CONTENT_LENGTH) || !call.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let organisation = grant.organisation.as_ref();
    let fields = header_adapter::ForwardedFields {
        endpoint: &endpoint.id,
        remaining,
        organisation: organisation.map(|o| o.name.as_ref()),
        last_event_id,
        priority: grant
            .route
            .kind
            .is_stream()
            .then(|| organisation.and_then(|o| o.priority).unwrap_or(grant.route.priority)),
    };
    (cx.header_adapter.forward_headers)(&mut headers, &fields);
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    // The target was parsed once already.
    *req.uri_mut() = call
        .target
        .parse()
        .map_err(|_invalid| problem::ProblemKind::BadHeader)?;
    *req.headers_mut() = headers;
    Ok(req)
}

fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(HOP_BY_HOP_HEADERS.iter()) {
        headers.remove(name);
    }
}

/// The endpoint's answer as the caller gets it.
pub(crate) fn caller_response(
    mut parts: http::response::Parts,
    body: response_body::ResponseBody,
) -> Response<response_body::ResponseBody> {
    strip_hop_by_hop_headers(&mut parts.headers);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}
