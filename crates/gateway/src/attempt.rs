//! One attempt of a request: chooses an endpoint, sends the request to it and decides what its response means for the next one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use sycamorestile_core::direct::{access, attempts, crash_evidence, endpoint, event_buffer, route};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::call;
use crate::context;
use crate::crash_watch;
use crate::endpoint_slot;
use crate::header_adapter;
use crate::hop_by_hop;
use crate::pool;
use crate::receive;
use crate::request;
use crate::response_body;
use crate::waiting;
use crate::withdrawal;

/// The time by which the longest wait for the head of a resumable stream exceeds the time that a group stalls after the
/// loss of a rank.
const STREAM_HEAD_MARGIN: Duration = Duration::from_millis(250);

/// The interval at which a request without a response is checked for a stalled endpoint.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The least remaining time with which a request is sent, which is the response time of the fastest services. With
/// less, the caller's deadline passes before an endpoint reads the request.
const MIN_REMAINING: Duration = Duration::from_millis(15);

/// The result of one attempt.
pub(crate) enum AttemptResult {
    /// The endpoint started a streamed response.
    Stream(Box<receive::OpenStream>),
    /// The endpoint sent a complete response.
    Response(Box<Response<response_body::ResponseBody>>),
    /// The endpoint started a response that there is no room to read completely.
    OpenResponse(Box<receive::OpenResponse>),
    /// The endpoint has gone silent, and another one can be asked meanwhile.
    Silent {
        waiting: waiting::WaitingAttempt,
        /// The step that follows.
        next: attempts::NextAttempt,
    },
    /// The attempt gave no response to forward.
    Failed {
        /// The step that follows the failure.
        next: attempts::NextAttempt,
        /// The reason, for logs and metrics.
        why: &'static str,
        /// The endpoint's error response, which is forwarded if there is no further attempt.
        failure: Option<Box<Response<response_body::ResponseBody>>>,
    },
}

/// Sends the request to one endpoint that was not tried before.
///
/// Responses that are not streams are read completely if there is room for that. A stream is to go on after `position`.
///
/// # Errors
///
/// Returns the problem to report when no attempt can be made: the deadline is too close, there is no endpoint, or the
/// caller is no longer authorized.
pub(crate) async fn run(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    position: &event_buffer::EventBuffer,
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
    let endpoints = snapshot.endpoints_of(&target.service);
    let candidates = cx.restrictions.borrow().allowed(endpoints, now);
    let domain = &cx.settings.failure_domain;
    let chosen = cx
        .placement
        .borrow()
        .choose(&candidates, &req_cx.tried, domain, cx.random_fraction(), now)
        .cloned();
    let Some(endpoint) = chosen else {
        let Some(unavailability) = withdrawal::unavailability(cx, endpoints, now) else {
            return Err(problem::ProblemKind::NoEndpoint);
        };
        if req_cx.attempts.sent_count() == 0 {
            req_cx.last_failure = withdrawal::detail(unavailability.cause);
        }
        return Err(withdrawal::problem_kind(unavailability.cause));
    };
    // Before a connection is opened, which would be for nothing if the budget allows no repeat.
    request::count_attempt(cx, req_cx, &endpoint.service)?;
    cx.restrictions.borrow_mut().rate_limits.spend(&endpoint.id, now);
    let slot = endpoint_slot::EndpointSlot::new(cx, &endpoint);
    req_cx.tried.push(Arc::clone(&endpoint.id));
    let is_unsafe = req_cx.call.grant.route.kind == route::RouteKind::Unsafe;
    let need = pool::LeaseNeed {
        attempt: req_cx.call.head.attempt.as_ref(),
        require_recent: is_unsafe || req_cx.needs_fresh_connection,
    };
    let lease = match cx.pool.lease(&endpoint, need).await {
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
                cx.outages
                    .with(&endpoint.service, |o| o.record_failure(&endpoint.id, boot_clock::now()));
            }
            return Ok(failed(req_cx.attempts.not_sent(), why));
        }
    };
    if lease.idle_time == pool::IdleTime::None {
        cx.metrics.record_connect();
    }
    // The key may have been revoked or the route may have changed while the connection was being established.
    let grant = req_cx.call.authorize(cx)?;
    if !grant.route.targets.iter().any(|t| t.service == endpoint.service) {
        return Ok(failed(req_cx.attempts.not_sent(), "route moved to another service"));
    }
    if req_cx.test.is_none()
        && let Some(kind) = crash_watch::quarantine_problem_kind(cx, &req_cx.call)
    {
        return Err(kind);
    }
    send_request(cx, req_cx, lease, slot, &grant, position).await
}

/// Returns the result of an attempt that failed without an error response to forward.
fn failed(next: attempts::NextAttempt, why: &'static str) -> AttemptResult {
    AttemptResult::Failed {
        next,
        why,
        failure: None,
    }
}

/// Sends the request over `lease` and waits for the head of the response.
async fn send_request(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    mut lease: pool::Lease,
    slot: endpoint_slot::EndpointSlot,
    grant: &access::Grant,
    position: &event_buffer::EventBuffer,
) -> Result<AttemptResult, problem::ProblemKind> {
    let now = boot_clock::now();
    let remaining = req_cx.call.deadline.since(now);
    if remaining.is_zero() {
        return Err(problem::ProblemKind::DeadlineBeforeStart);
    }
    let req = endpoint_request(cx, &req_cx.call, &slot.endpoint, grant, remaining, position.last_id())?;
    req_cx.attempts.start();
    lease.renew_read_limit();
    let mut sending = Box::pin(lease.sender().try_send_request(req));
    let response = match wait_for_head(cx, req_cx, &slot.endpoint, sending.as_mut()).await {
        HeadResult::Response(Ok(response)) => response,
        HeadResult::Response(Err(mut e)) => {
            cx.placement
                .borrow_mut()
                .record_failure(&slot.endpoint.id, boot_clock::now());
            // hyper returns the message only if none of it was written.
            if e.take_message().is_some() {
                return Ok(failed(
                    req_cx.attempts.not_sent(),
                    "connection closed before the request",
                ));
            }
            let next = req_cx.attempts.lost();
            let is_fresh = lease.idle_time != pool::IdleTime::Long;
            if crash_evidence::is_decisive(is_fresh, boot_clock::now().since(now)) {
                req_cx
                    .examine_broken_response(cx, &slot.endpoint, crash_watch::Progress::default())
                    .await;
            } else {
                req_cx.needs_fresh_connection = true;
            }
            let why = if req_cx.endpoint_crashed {
                "endpoint crashed"
            } else {
                "connection broke before the answer"
            };
            return Ok(failed(next, why));
        }
        result @ (HeadResult::Silent | HeadResult::TimedOut) => {
            let now = boot_clock::now();
            cx.pool.close_idle(&slot.endpoint.id);
            cx.placement.borrow_mut().record_failure(&slot.endpoint.id, now);
            cx.outages
                .with(&slot.endpoint.service, |o| o.record_failure(&slot.endpoint.id, now));
            let next = req_cx.attempts.lost();
            if matches!(result, HeadResult::TimedOut) {
                return Ok(failed(next, "no answer in time"));
            }
            let sent = waiting::SentRequest {
                call: Rc::clone(&req_cx.call),
                lease,
                slot,
                position: position.clone(),
                sending,
            };
            let waiting = waiting::WaitingAttempt::head(cx, sent);
            return Ok(AttemptResult::Silent { waiting, next });
        }
    };
    if grant.route.kind.is_stream() {
        let answered = boot_clock::now();
        cx.outages.with(&slot.endpoint.service, |o| {
            o.record_response_start(&slot.endpoint.id, answered.since(now), answered);
        });
    }
    Ok(handle_response(cx, req_cx, lease, slot, response).await)
}

/// What came of waiting for the head of a response.
enum HeadResult<R> {
    Response(R),
    /// The endpoint seems to have stalled, and another one can be asked.
    Silent,
    /// The deadline has passed.
    TimedOut,
}

/// Waits for the head of a response, as long as no other endpoint is to be asked.
async fn wait_for_head<S, R>(
    cx: &context::GatewayContext,
    req_cx: &request::RequestContext,
    endpoint: &endpoint::Endpoint,
    sending: S,
) -> HeadResult<R>
where
    S: Future<Output = R> + Unpin,
{
    let mut sending = sending;
    let sent_at = boot_clock::now();
    let remaining = req_cx.call.deadline.since(sent_at);
    let limit = head_timeout(cx, req_cx, remaining);
    let can_resume = req_cx.call.grant.route.kind == route::RouteKind::Stream { resumable: true };
    loop {
        let waited = boot_clock::now().since(sent_at);
        if waited >= remaining {
            return HeadResult::TimedOut;
        }
        let stalled = waited >= limit
            || (can_resume
                && cx.outages.with(&endpoint.service, |o| {
                    o.is_stalled_request(&endpoint.id, waited, boot_clock::now())
                }));
        if stalled && request::can_move(cx, req_cx, &endpoint.service) {
            return HeadResult::Silent;
        }
        // Without a stall, nothing can change before the limit unless another request's progress shows one.
        let next_check = if waited >= limit || can_resume {
            HEAD_CHECK_INTERVAL.min(remaining.saturating_sub(waited))
        } else {
            limit.saturating_sub(waited)
        };
        if let Ok(response) = time::timeout(next_check, &mut sending).await {
            return HeadResult::Response(response);
        }
    }
}

/// Returns how long to wait for the head of a response while another attempt can follow, so that there is time left for
/// it.
fn head_timeout(cx: &context::GatewayContext, req_cx: &request::RequestContext, remaining: Duration) -> Duration {
    match req_cx.call.grant.route.kind {
        route::RouteKind::Safe => remaining / 2,
        route::RouteKind::Stream { resumable: true } => remaining.min(cx.settings.stall_time + STREAM_HEAD_MARGIN),
        _ => remaining,
    }
}

/// Receives the response, and decides what follows.
async fn handle_response(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    lease: pool::Lease,
    slot: endpoint_slot::EndpointSlot,
    response: Response<Incoming>,
) -> AttemptResult {
    let endpoint = Arc::clone(&slot.endpoint);
    let reserved = req_cx.response_share.take();
    match receive::receive(cx, &req_cx.call, reserved, lease, slot, response).await {
        receive::Received::Stream(open) => AttemptResult::Stream(open),
        receive::Received::Response(response) => AttemptResult::Response(response),
        receive::Received::OpenResponse(open) => AttemptResult::OpenResponse(open),
        receive::Received::Refused => failed(req_cx.attempts.refused(), "refused by the endpoint"),
        receive::Received::Untrusted => failed(req_cx.attempts.lost(), "answer to another request"),
        receive::Received::Failed(failure) => AttemptResult::Failed {
            next: req_cx.attempts.failed(),
            why: "failed at the endpoint",
            failure,
        },
        receive::Received::Broken(why) => {
            let next = req_cx.attempts.lost();
            let progress = crash_watch::Progress::default();
            req_cx.examine_broken_response(cx, &endpoint, progress).await;
            failed(next, why)
        }
    }
}

/// Builds the request for `endpoint` from the caller's request.
fn endpoint_request(
    cx: &context::GatewayContext,
    call: &call::Call,
    endpoint: &endpoint::Endpoint,
    grant: &access::Grant,
    remaining: Duration,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, problem::ProblemKind> {
    let mut headers = call.headers.clone();
    hop_by_hop::strip(&mut headers);
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
    // The target was valid when the caller's request was parsed, so this should not fail.
    *req.uri_mut() = call
        .target
        .parse()
        .map_err(|_invalid| problem::ProblemKind::BadHeader)?;
    *req.headers_mut() = headers;
    Ok(req)
}
