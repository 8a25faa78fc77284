//! One attempt of a request: chooses an endpoint, sends the request to it and classifies the response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use slog::info;
use sycamorestile_core::direct::{
    access, attempts, coding, crash_evidence, endpoint, response_class, response_room, route,
};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::call;
use crate::context;
use crate::crash_watch;
use crate::header_adapter;
use crate::pool;
use crate::request;
use crate::response_account;
use crate::response_body;
use crate::withdrawal;

/// The largest response that is no stream, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The largest body of a refusal that is read, in bytes. The connection of a larger one is closed.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// How long the body of a refusal is read.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// The time by which the longest wait for the head of a resumable stream exceeds the time that a group stalls after the
/// loss of a rank.
const STREAM_HEAD_MARGIN: Duration = Duration::from_millis(250);

/// The interval at which a request without a response is checked for a stalled endpoint.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The least remaining time with which a request is sent, which is the response time of the fastest services. With
/// less, the caller's deadline passes before an endpoint reads the request.
const MIN_REMAINING: Duration = Duration::from_millis(15);

/// Headers that apply to one connection only and are not forwarded.
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

/// The result of one attempt.
pub(crate) enum AttemptResult {
    /// The endpoint started a streamed response.
    Stream(Box<OpenStream>),
    /// The endpoint sent a complete response.
    Response(Box<Response<response_body::ResponseBody>>),
    /// The endpoint started a response that there is no room to read completely.
    OpenResponse(Box<OpenResponse>),
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

/// A streamed response whose head was received and whose body is still to be read.
pub(crate) struct OpenStream {
    pub(crate) parts: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) head: header_adapter::ResponseHead,
    pub(crate) lease: pool::Lease,
    pub(crate) slot: request::EndpointSlot,
}

/// A response that was read in part.
pub(crate) struct OpenResponse {
    pub(crate) parts: http::response::Parts,
    /// What was read.
    pub(crate) blocks: Vec<response_account::Block>,
    /// What is still to be read.
    pub(crate) body: Incoming,
    /// What reading and writing it takes.
    pub(crate) share: response_account::Share,
    pub(crate) head: header_adapter::ResponseHead,
    pub(crate) lease: pool::Lease,
    pub(crate) slot: request::EndpointSlot,
    pub(crate) ends_with_connection: bool,
}

/// How far the body of a response was read.
enum ReadBody {
    Whole(Vec<response_account::Block>),
    /// There is no room for the rest.
    Part(Vec<response_account::Block>, Incoming, response_account::Share),
    /// It broke off, is too large or was not complete by the deadline.
    Broken,
}

/// Sends the request to one endpoint that was not tried before.
///
/// Responses that are not streams are read completely if there is room for that.
///
/// # Errors
///
/// Returns the problem to report when no attempt can be made: the deadline is too close, there is no endpoint, or the
/// caller is no longer authorized.
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
    cx.placement.borrow_mut().attempt_started(&endpoint.id);
    let slot = request::EndpointSlot {
        cx: Rc::clone(cx),
        endpoint: Arc::clone(&endpoint),
    };
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
    send_request(cx, req_cx, lease, slot, &grant, last_event_id).await
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
    let response = match wait_for_head(cx, req_cx, &slot.endpoint, sending).await {
        Some(Ok(response)) => response,
        Some(Err(mut e)) => {
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
        None => {
            let now = boot_clock::now();
            cx.pool.close_idle(&slot.endpoint.id);
            cx.placement.borrow_mut().record_failure(&slot.endpoint.id, now);
            cx.outages
                .with(&slot.endpoint.service, |o| o.record_failure(&slot.endpoint.id, now));
            return Ok(failed(req_cx.attempts.lost(), "no answer in time"));
        }
    };
    if grant.route.kind.is_stream() {
        let answered = boot_clock::now();
        cx.outages.with(&slot.endpoint.service, |o| {
            o.record_response_start(&slot.endpoint.id, answered.since(now), answered);
        });
    }
    handle_response(cx, req_cx, lease, slot, response).await
}

/// Waits for the head of a response. Returns `None` if the attempt is to be abandoned, since the endpoint seems to have
/// stalled and another attempt can follow, or because the deadline has passed.
async fn wait_for_head<S, R>(
    cx: &context::GatewayContext,
    req_cx: &request::RequestContext,
    endpoint: &endpoint::Endpoint,
    sending: S,
) -> Option<R>
where
    S: Future<Output = R>,
{
    let mut sending = std::pin::pin!(sending);
    let sent_at = boot_clock::now();
    let remaining = req_cx.call.deadline.since(sent_at);
    let limit = head_timeout(cx, req_cx, remaining);
    let can_resume = req_cx.call.grant.route.kind == route::RouteKind::Stream { resumable: true };
    loop {
        let waited = boot_clock::now().since(sent_at);
        if waited >= remaining {
            return None;
        }
        let stalled = waited >= limit
            || (can_resume
                && cx.outages.with(&endpoint.service, |o| {
                    o.is_stalled_request(&endpoint.id, waited, boot_clock::now())
                }));
        if stalled && request::can_move(cx, req_cx, &endpoint.service) {
            return None;
        }
        // Without a stall, nothing can change before the limit unless another request's progress shows one.
        let next_check = if waited >= limit || can_resume {
            HEAD_CHECK_INTERVAL.min(remaining.saturating_sub(waited))
        } else {
            limit.saturating_sub(waited)
        };
        if let Ok(response) = time::timeout(next_check, sending.as_mut()).await {
            return Some(response);
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

/// Classifies the response and records its outcome for the placement of further requests.
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
            // A response that names an attempt belongs to a request that did.
            None => Some(head.attempt.is_none()),
            Some(attempt_id) => head.attempt.as_ref().map(|id| id == attempt_id),
        },
        is_first_response: lease.idle_time == pool::IdleTime::None,
        not_run: head.not_run,
        is_authentic: head.is_authentic,
        is_encoded: is_encoded(&parts.headers, &req_cx.call.headers),
    };
    log_coding(cx, &req_cx.call, &slot.endpoint, &parts.headers, facts.is_encoded);
    let now = boot_clock::now();
    let id = Arc::clone(&slot.endpoint.id);
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        withdrawal::record(cx, req_cx.call.id(), &slot.endpoint, head.notice, now);
    }
    record_rate_limit(cx, &id, &head);
    match response_class::classify(facts) {
        response_class::ResponseClass::Untrusted => {
            cx.placement.borrow_mut().record_failure(&id, now);
            Ok(failed(req_cx.attempts.lost(), "answer to another request"))
        }
        response_class::ResponseClass::Refused => {
            if head.failed_dependency.is_some() {
                cx.outages.with(&slot.endpoint.service, |o| o.record_failure(&id, now));
            } else if !head.notice.is_withdrawal() {
                cx.placement.borrow_mut().record_refusal(&id, now);
            }
            tokio::task::spawn_local(discard_refusal(lease, parts.headers, head, body));
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
            let ends_with_connection = ends_with_connection(&parts.headers, &body);
            let blocks = match read_body(cx, req_cx, body).await {
                ReadBody::Whole(blocks) => blocks,
                ReadBody::Part(blocks, body, share) if class == response_class::ResponseClass::Response => {
                    return Ok(AttemptResult::OpenResponse(Box::new(OpenResponse {
                        parts,
                        blocks,
                        body,
                        share,
                        head,
                        lease,
                        slot,
                        ends_with_connection,
                    })));
                }
                ReadBody::Part(..) | ReadBody::Broken => {
                    return Ok(broken_off(cx, req_cx, &slot.endpoint, "answer broke off").await);
                }
            };
            if ends_with_connection && pool::Pool::refuses_connections(&slot.endpoint).await {
                return Ok(broken_off(cx, req_cx, &slot.endpoint, "endpoint crashed").await);
            }
            release_connection(lease, &parts.headers, &head);
            if class == response_class::ResponseClass::Response {
                cx.placement.borrow_mut().record_success(&id, head.load, now);
                crash_watch::record_proof(cx, &req_cx.call);
                return Ok(AttemptResult::Response(Box::new(caller_response(
                    parts,
                    response_body::ResponseBody::blocks(blocks, None),
                ))));
            }
            let next = req_cx.attempts.failed();
            let failure = (class == response_class::ResponseClass::Failed).then(|| {
                Box::new(caller_response(
                    parts,
                    response_body::ResponseBody::blocks(blocks, None),
                ))
            });
            Ok(AttemptResult::Failed {
                next,
                why: "failed at the endpoint",
                failure,
            })
        }
    }
}

/// Logs the coding of a response, with what its caller accepts.
fn log_coding(
    cx: &context::GatewayContext,
    call: &call::Call,
    endpoint: &endpoint::Endpoint,
    headers: &HeaderMap,
    is_refused: bool,
) {
    if let Some(coding) = headers.get(header::CONTENT_ENCODING) {
        let accepted = call.headers.get(header::ACCEPT_ENCODING);
        info!(cx.log, "response has a coding";
            "request" => call.id(), "endpoint" => endpoint.id.as_ref(), "coding" => ?coding, "accepted" => ?accepted,
            "is_refused" => is_refused);
    }
}

/// Records the rate limit that a response of the endpoint `id` names.
fn record_rate_limit(cx: &context::GatewayContext, id: &Arc<str>, head: &header_adapter::ResponseHead) {
    let is_new = cx
        .restrictions
        .borrow_mut()
        .rate_limits
        .record(id, head.rate_limit, boot_clock::now());
    if is_new {
        info!(cx.log, "endpoint changed its rate limit"; "endpoint" => id.as_ref(), "per_second" => head.rate_limit);
        cx.fact_news.notify_one();
    }
}

/// Returns the result of an attempt whose response `endpoint` broke off, after it was asked whether it crashed.
async fn broken_off(
    cx: &Rc<context::GatewayContext>,
    req_cx: &mut request::RequestContext,
    endpoint: &Arc<endpoint::Endpoint>,
    why: &'static str,
) -> AttemptResult {
    cx.placement
        .borrow_mut()
        .record_failure(&endpoint.id, boot_clock::now());
    let next = req_cx.attempts.lost();
    req_cx
        .examine_broken_response(cx, endpoint, crash_watch::Progress::default())
        .await;
    failed(next, why)
}

/// Reads the body of a refusal, so that its connection can be used again. The request does not wait for that, since the
/// body may never end.
async fn discard_refusal(lease: pool::Lease, headers: HeaderMap, head: header_adapter::ResponseHead, body: Incoming) {
    let reading = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    if let Ok(Ok(_)) = time::timeout(REFUSAL_TIMEOUT, reading).await {
        release_connection(lease, &headers, &head);
    }
}

/// Reads the body, as far as there is room for it.
async fn read_body(cx: &context::GatewayContext, req_cx: &mut request::RequestContext, mut body: Incoming) -> ReadBody {
    let remaining = req_cx.call.deadline.since(boot_clock::now());
    let reserved = req_cx.response_share.take();
    let organisation = req_cx.call.organisation();
    let mut blocks = response_account::Blocks::new(&cx.response_account, organisation);
    let reading = async {
        let known_len = body.size_hint().exact().map(|len| len as usize);
        let share = match reserved {
            Some(share) => share,
            None => cx.response_account.wait_for_room(organisation, known_len).await,
        };
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return None };
            let data = frame.data_ref().map_or(&[][..], |d| d.as_ref());
            blocks.push(data);
            len += data.len();
            if len > MAX_RESPONSE_BYTES {
                return None;
            }
            if !response_room::is_small(Some(len)) {
                cx.response_account
                    .record_large(&req_cx.call.grant.route.name, boot_clock::now());
            }
            if !response_room::reads_whole(len, cx.response_account.held(None).total) {
                return Some(Some(share));
            }
        }
        Some(None)
    };
    match time::timeout(remaining, reading).await.ok().flatten() {
        Some(None) => ReadBody::Whole(blocks.into_blocks()),
        Some(Some(share)) => ReadBody::Part(blocks.into_blocks(), body, share),
        None => ReadBody::Broken,
    }
}

/// Returns whether the end of a body is only known by the end of its connection, so that a crash of the endpoint looks
/// like a complete response.
pub(crate) fn ends_with_connection(headers: &HeaderMap, body: &Incoming) -> bool {
    let is_framed = if headers.contains_key(header::TRANSFER_ENCODING) {
        coding::is_chunked(&field_values(headers, &header::TRANSFER_ENCODING))
    } else {
        headers.contains_key(header::CONTENT_LENGTH)
    };
    !is_framed && !body.is_end_stream()
}

/// Returns whether the body of a response has a coding that a caller with the headers `accepting` doesn't accept.
fn is_encoded(headers: &HeaderMap, accepting: &HeaderMap) -> bool {
    let codings = field_values(headers, &header::CONTENT_ENCODING);
    let accepted = field_values(accepting, &header::ACCEPT_ENCODING);
    !coding::is_accepted(&codings, &accepted)
        || coding::is_transfer_coded(&field_values(headers, &header::TRANSFER_ENCODING))
}

/// Returns the values of all fields `name`. One that is no text names nothing that is known.
fn field_values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Vec<&'a str> {
    let fields = headers.get_all(name).iter();
    fields.map(|value| value.to_str().unwrap_or_default()).collect()
}

/// Returns the connection to the pool unless the response asks to close it.
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
    // The target was valid when the caller's request was parsed, so this should not fail.
    *req.uri_mut() = call
        .target
        .parse()
        .map_err(|_invalid| problem::ProblemKind::BadHeader)?;
    *req.headers_mut() = headers;
    Ok(req)
}

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
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

/// Builds the caller's response from the head of an endpoint's response.
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
