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

use crate::cx;
use crate::handle;
use crate::header_adapter;
use crate::pool;
use crate::stream;
use crate::way;

/// Largest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// Longest wait for the head of a stream at one endpoint, beyond the time that a group stalls for a lost rank.
const HEAD_MARGIN: Duration = Duration::from_millis(250);

/// Time that a request must have left to be sent: what the quickest services take to answer. With less, its caller has
/// gone before an endpoint reads it.
const LEAST_LEFT: Duration = Duration::from_millis(15);

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
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
pub(crate) enum Sent {
    /// An answer head to a stream, with more to come.
    Stream(Box<OpenStream>),
    /// A whole answer.
    Whole(Box<Response<stream::AnswerBody>>),
    /// Nothing that can be handed on.
    Nothing {
        next: attempts::NextAttempt,
        why: &'static str,
        /// The endpoint's own failure, for when nothing else is tried.
        failure: Option<Box<Response<stream::AnswerBody>>>,
    },
}

/// An answer head to a stream, with its body to come.
pub(crate) struct OpenStream {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) answer: header_adapter::ResponseHead,
    pub(crate) lease: pool::Lease,
    pub(crate) place: way::Place,
}

/// Sends the request to one more endpoint.
pub(crate) async fn send(
    cx: &Rc<cx::Cx>,
    way: &mut way::Way,
    last_event_id: Option<&str>,
) -> Result<Sent, problem::ProblemKind> {
    let now = boot_clock::now();
    if way.call.deadline.since(now) < LEAST_LEFT {
        return Err(problem::ProblemKind::DeadlineBeforeStart);
    }
    let snapshot = cx.snapshot();
    let usable = |service: &str| !snapshot.endpoints_of(service).is_empty();
    let chance = cx.chance();
    let target = way
        .call
        .grant
        .route
        .target(chance, usable)
        .ok_or(problem::ProblemKind::NoEndpoint)?;
    let candidates = snapshot.endpoints_of(&target.service);
    let domain = &cx.settings.failure_domain;
    let chosen = cx
        .placement
        .borrow()
        .choose(candidates, &way.tried, domain, cx.chance(), now)
        .cloned();
    let endpoint = chosen.ok_or(problem::ProblemKind::NoEndpoint)?;
    cx.placement.borrow_mut().attempt_started(&endpoint.id);
    let place = way::Place {
        cx: Rc::clone(cx),
        endpoint: Arc::clone(&endpoint),
    };
    way.tried.push(Arc::clone(&endpoint.id));
    let once = way.call.grant.route.kind == route::RouteKind::Unsafe;
    let lease = match cx.pool.lease(&endpoint, once).await {
        Ok(lease) => lease,
        Err(e) => {
            cx.placement
                .borrow_mut()
                .record_failure(&endpoint.id, boot_clock::now());
            let why = match e {
                pool::ConnectError::Refused => "connection refused",
                pool::ConnectError::Silent => "connection timed out",
            };
            if e == pool::ConnectError::Silent {
                cx.with_outage(&endpoint.service, |o| o.record_failure(&endpoint.id, boot_clock::now()));
            }
            return Ok(nothing(way.relay.not_sent(), why));
        }
    };
    if lease.is_new {
        cx.metrics.connect();
    }
    // The wait for a connection may have outlasted the key, the route or the caller.
    let grant = way.call.ask(cx)?;
    if !grant.route.targets.iter().any(|t| t.service == endpoint.service) {
        return Ok(nothing(way.relay.not_sent(), "route moved to another service"));
    }
    if way.relay.sent_count() == 0 {
        cx.with_retries(&endpoint.service, |share| share.record_request(now));
    }
    exchange(cx, way, lease, place, &grant, last_event_id).await
}

fn nothing(next: attempts::NextAttempt, why: &'static str) -> Sent {
    Sent::Nothing {
        next,
        why,
        failure: None,
    }
}

async fn exchange(
    cx: &Rc<cx::Cx>,
    way: &mut way::Way,
    mut lease: pool::Lease,
    place: way::Place,
    grant: &access::Grant,
    last_event_id: Option<&str>,
) -> Result<Sent, problem::ProblemKind> {
    let now = boot_clock::now();
    let remaining = way.call.deadline.since(now);
    if remaining.is_zero() {
        return Err(problem::ProblemKind::DeadlineBeforeStart);
    }
    let req = onward(cx, &way.call, &place.endpoint, grant, remaining, last_event_id)?;
    way.relay.start();
    let sending = lease.sender().try_send_request(req);
    let answered = match time::timeout(patience(cx, way, remaining), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut e)) => {
            cx.placement
                .borrow_mut()
                .record_failure(&place.endpoint.id, boot_clock::now());
            // The library gives the message back only when none of it was written.
            return Ok(if e.take_message().is_some() {
                nothing(way.relay.not_sent(), "connection closed before the request")
            } else {
                nothing(way.relay.lost(), "connection broke before the answer")
            });
        }
        Err(_) => {
            let now = boot_clock::now();
            cx.placement.borrow_mut().record_failure(&place.endpoint.id, now);
            cx.with_outage(&place.endpoint.service, |o| o.record_failure(&place.endpoint.id, now));
            return Ok(nothing(way.relay.lost(), "no answer in time"));
        }
    };
    classify(cx, way, lease, place, answered).await
}

/// How long the head of an answer is waited for.
fn patience(cx: &cx::Cx, way: &way::Way, remaining: Duration) -> Duration {
    let route = &way.call.grant.route;
    let more = way.relay.sent_count() < route.max_attempts;
    match route.kind {
        route::RouteKind::Safe if more => remaining / 2,
        route::RouteKind::Stream { resumable: true } if more => remaining.min(cx.settings.stall_time + HEAD_MARGIN),
        _ => remaining,
    }
}

async fn classify(
    cx: &Rc<cx::Cx>,
    way: &mut way::Way,
    lease: pool::Lease,
    place: way::Place,
    response: Response<Incoming>,
) -> Result<Sent, problem::ProblemKind> {
    let (head, body) = response.into_parts();
    let answer = (cx.header_adapter.read_response)(head.status, &head.headers);
    let ours = way.call.head.attempt.as_ref();
    let facts = response_class::ResponseFacts {
        status: head.status.as_u16(),
        matches_attempt: match ours {
            None => Some(true),
            Some(attempt) => answer.attempt.as_ref().map(|named| named == attempt),
        },
        not_run: answer.not_run,
        is_authentic: answer.is_authentic,
    };
    let now = boot_clock::now();
    let id = Arc::clone(&place.endpoint.id);
    match response_class::classify(facts) {
        response_class::ResponseClass::Untrusted => {
            cx.placement.borrow_mut().record_failure(&id, now);
            Ok(nothing(way.relay.lost(), "answer to another request"))
        }
        response_class::ResponseClass::Refused => {
            if answer.failed_dependency.is_some() {
                cx.with_outage(&place.endpoint.service, |o| o.record_failure(&id, now));
            } else {
                cx.placement.borrow_mut().record_refusal(&id, now);
            }
            if read_whole(way, body).await.is_some() {
                give_back(lease, &head.headers, &answer);
            }
            Ok(nothing(way.relay.refused(), "refused by the endpoint"))
        }
        response_class::ResponseClass::Response
            if way.call.grant.route.kind.is_stream() && head.status.is_success() =>
        {
            cx.placement.borrow_mut().record_success(&id, answer.load, now);
            let open = OpenStream {
                head,
                body,
                answer,
                lease,
                place,
            };
            Ok(Sent::Stream(Box::new(open)))
        }
        class => {
            let Some(whole) = read_whole(way, body).await else {
                cx.placement.borrow_mut().record_failure(&id, boot_clock::now());
                return Ok(nothing(way.relay.lost(), "answer broke off"));
            };
            give_back(lease, &head.headers, &answer);
            if class == response_class::ResponseClass::Response {
                cx.placement.borrow_mut().record_success(&id, answer.load, now);
                return Ok(Sent::Whole(Box::new(hand_on(head, stream::AnswerBody::whole(whole)))));
            }
            let next = way.relay.failed();
            let failure = (class == response_class::ResponseClass::Failed)
                .then(|| Box::new(hand_on(head, stream::AnswerBody::whole(whole))));
            Ok(Sent::Nothing {
                next,
                why: "failed at the endpoint",
                failure,
            })
        }
    }
}

async fn read_whole(way: &way::Way, mut body: Incoming) -> Option<Bytes> {
    let remaining = way.call.deadline.since(boot_clock::now());
    let reading = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            whole.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d.as_ref()));
            if whole.len() > MAX_WHOLE_BYTES {
                return None;
            }
        }
        Some(whole.freeze())
    };
    time::timeout(remaining, reading).await.ok().flatten()
}

pub(crate) fn give_back(lease: pool::Lease, headers: &HeaderMap, answer: &header_adapter::ResponseHead) {
    let tokens = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let closes = tokens
        .flat_map(|v| v.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case("close"));
    if !closes {
        lease.give_back(answer.keep_alive);
    }
}

/// The request as `endpoint` gets it.
fn onward(
    cx: &cx::Cx,
    call: &handle::Call,
    endpoint: &endpoint::Endpoint,
    grant: &access::Grant,
    remaining: Duration,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, problem::ProblemKind> {
    let mut headers = call.headers.clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if call.headers.contains_key(header::CONTENT_LENGTH) || !call.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let organisation = grant.organisation.as_ref();
    let told = header_adapter::ForwardedFields {
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
    (cx.header_adapter.forward_headers)(&mut headers, &told);
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

fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(HOP_HEADERS.iter()) {
        headers.remove(name);
    }
}

/// The endpoint's answer as the caller gets it.
pub(crate) fn hand_on(mut head: http::response::Parts, body: stream::AnswerBody) -> Response<stream::AnswerBody> {
    strip_hop_headers(&mut head.headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
