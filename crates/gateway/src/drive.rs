//! Sends one request to endpoints until it has its answer.
//!
//! [`relay::Relay`] decides what happens after each send; this module does the sending and reports what came of it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::info;
use sycamorestile_core::direct::{admission, answer_class, endpoint, event_cut, outage, relay, route};
use sycamorestile_core::problem;
use tokio::sync::mpsc;
use tokio::time;

use crate::cx;
use crate::dialect;
use crate::handle;
use crate::pool;
use crate::refuse;
use crate::stream;
use sycamorestile_table::boot_clock;

/// Largest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// Interval at which a silent stream is looked at.
const SILENCE_LOOK: Duration = Duration::from_millis(200);
/// Wait that a refusal names while a whole service is out. Groups take seconds to come back, and a request that was
/// refused once has missed its objective anyway; callers cut longer waits to what their deadline allows.
const OUTAGE_WAIT: Duration = Duration::from_millis(2_200);
/// Longest wait for the head of a stream at one endpoint, beyond the time that a group stalls for a lost rank.
const HEAD_MARGIN: Duration = Duration::from_millis(250);
/// Chunks of a stream that wait for a slow caller.
const STREAM_QUEUE: usize = 8;
/// Wait that a refusal names when endpoints are out of reach or full.
const ENDPOINT_WAIT: Duration = Duration::from_millis(500);

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
enum Sent {
    /// An answer head to a stream, with more to come.
    Stream(Box<OpenStream>),
    /// A whole answer.
    Whole(Box<Response<stream::AnswerBody>>),
    /// Nothing that can be handed on.
    Nothing {
        next: relay::Next,
        why: &'static str,
        /// The endpoint's own failure, for when nothing else is tried.
        failure: Option<Box<Response<stream::AnswerBody>>>,
    },
}

struct OpenStream {
    head: http::response::Parts,
    body: Incoming,
    answer: dialect::AnswerHead,
    lease: pool::Lease,
    place: Place,
}

/// A request's place at an endpoint. Gives the place up when dropped.
struct Place {
    cx: Rc<cx::Cx>,
    endpoint: Arc<endpoint::Endpoint>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.cx.placement.borrow_mut().end(&self.endpoint.id);
    }
}

/// The state of one request's way.
struct Way {
    call: handle::Call,
    relay: relay::Relay,
    /// Endpoints that it was sent to, or that could not be reached.
    tried: Vec<Arc<str>>,
    /// Why the last send came to nothing.
    why: &'static str,
    /// What a refusal before any send was decided by.
    detail: String,
}

impl Way {
    /// Logs a send that gave nothing to hand on, and what follows from it.
    fn came_to_nothing(&mut self, cx: &cx::Cx, why: &'static str, next: relay::Next) {
        self.why = why;
        let endpoint = self.tried.last().map(AsRef::as_ref);
        let now = boot_clock::now();
        info!(cx.log, "send came to nothing";
            "request" => self.call.id(), "endpoint" => endpoint, "why" => why, "next" => format!("{next:?}"),
            "sent" => self.relay.sent(), "under_way" => endpoint.map(|id| cx.placement.borrow().count(id, now)),
            "ms" => now.since(self.call.started).as_millis() as u64);
    }
}

/// Sends `call` and gives back the caller's answer.
pub(crate) async fn drive(cx: &Rc<cx::Cx>, call: handle::Call) -> Response<stream::AnswerBody> {
    let route = &call.grant.route;
    let mut way = Way {
        relay: relay::Relay::new(route.kind, route.max_attempts),
        tried: Vec::new(),
        why: "none",
        detail: String::new(),
        call,
    };
    if let Some(problem) = admit(cx, &way.call) {
        way.detail = problem.detail.clone();
        return conclude(cx, &way, refuse::response(cx, &problem), problem.kind.slug());
    }
    let mut last_event = way.call.head.last_event.clone();
    loop {
        let sent = send(cx, &mut way, last_event.as_deref()).await;
        match sent {
            Ok(Sent::Whole(response)) => return conclude(cx, &way, *response, "answered"),
            Ok(Sent::Stream(open)) => {
                let response = stream_answer(cx, way, *open, last_event.take());
                return response;
            }
            Ok(Sent::Nothing { next, why, failure }) => {
                way.came_to_nothing(cx, why, next);
                if let Some(reason) = stopped(cx, &way, next) {
                    let response = failure.map_or_else(|| give_up(cx, &way, reason), |failure| *failure);
                    return conclude(cx, &way, response, why);
                }
            }
            Err(kind) => {
                let response = give_up(cx, &way, kind);
                return conclude(cx, &way, response, kind.slug());
            }
        }
    }
}

/// Whether the service has room for a stream.
fn admit(cx: &cx::Cx, call: &handle::Call) -> Option<problem::Problem> {
    if !call.grant.route.kind.is_stream() {
        return None;
    }
    let snapshot = cx.snapshot();
    let target = call.grant.route.targets.first()?;
    let now = boot_clock::now();
    if cx.with_outage(&target.service, |o| o.passage(now)) == outage::Passage::Closed {
        let detail = "the service is out of order";
        return Some(refuse::later(cx, problem::ProblemKind::NoEndpoint, detail, OUTAGE_WAIT));
    }
    let load = cx
        .placement
        .borrow()
        .service_load(snapshot.endpoints_of(&target.service), now);
    match admission::stream(&load) {
        admission::Admission::Begin => None,
        admission::Admission::Refuse(wait) => {
            let detail = format!("{} of {} places taken", load.under_way, load.slots);
            Some(refuse::later(cx, problem::ProblemKind::Overloaded, detail, wait))
        }
    }
}

/// Why nothing more is sent, if so. Takes a further send from the retry budget.
fn stopped(cx: &cx::Cx, way: &Way, next: relay::Next) -> Option<problem::ProblemKind> {
    let ended = |verdict| match verdict {
        relay::Verdict::NotRun => problem::ProblemKind::NoEndpoint,
        relay::Verdict::Unknown => problem::ProblemKind::AnswerLost,
    };
    let is_stream = way.call.grant.route.kind.is_stream();
    let service = &way.call.grant.route.targets.first()?.service;
    let now = boot_clock::now();
    match next {
        relay::Next::End(verdict) => Some(ended(verdict)),
        // Every endpoint of the service would refuse as well, and only after a stall.
        relay::Next::Send { .. } if is_stream && cx.with_outage(service, |o| o.is_out(now)) => {
            Some(ended(way.relay.verdict()))
        }
        relay::Next::Send { repeat: false } => None,
        relay::Next::Send { repeat: true } => {
            let instances = cx.placement.borrow().live_peers(now) + 1;
            let instances = instances.max(cx.snapshot().gateways.len());
            if cx.with_retries(service, |share| share.spend(now, instances)) {
                cx.metrics.repeat();
                None
            } else {
                Some(ended(way.relay.verdict()))
            }
        }
    }
}

/// The problem that ends a request of which nothing can be handed on.
fn give_up(cx: &cx::Cx, way: &Way, kind: problem::ProblemKind) -> Response<stream::AnswerBody> {
    // Whatever the reason, only a request that no endpoint can have run is called not run.
    let kind = match way.relay.verdict() {
        relay::Verdict::NotRun => kind,
        relay::Verdict::Unknown if boot_clock::now() >= way.call.deadline => problem::ProblemKind::DeadlineAfterStart,
        relay::Verdict::Unknown => problem::ProblemKind::AnswerLost,
    };
    let problem = if kind.passes_with_time() {
        refuse::later(cx, kind, way.why, wait_of(cx, way))
    } else {
        problem::Problem::new(kind, way.why)
    };
    refuse::response(cx, &problem)
}

/// The wait that a refusal names.
fn wait_of(cx: &cx::Cx, way: &Way) -> Duration {
    let target = way.call.grant.route.targets.first();
    let now = boot_clock::now();
    let is_out = target.is_some_and(|t| cx.with_outage(&t.service, |o| o.is_out(now)));
    if is_out { OUTAGE_WAIT } else { ENDPOINT_WAIT }
}

/// Sends the request to one more endpoint.
async fn send(cx: &Rc<cx::Cx>, way: &mut Way, last_event: Option<&str>) -> Result<Sent, problem::ProblemKind> {
    let now = boot_clock::now();
    if now >= way.call.deadline {
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
    cx.placement.borrow_mut().begin(&endpoint.id);
    let place = Place {
        cx: Rc::clone(cx),
        endpoint: Arc::clone(&endpoint),
    };
    way.tried.push(Arc::clone(&endpoint.id));
    let once = way.call.grant.route.kind == route::RouteKind::Unsafe;
    let lease = match cx.pool.lease(&endpoint, once).await {
        Ok(lease) => lease,
        Err(e) => {
            cx.placement.borrow_mut().failed(&endpoint.id, boot_clock::now());
            let why = match e {
                pool::ConnectError::Refused => "connection refused",
                pool::ConnectError::Silent => "connection timed out",
            };
            if e == pool::ConnectError::Silent {
                cx.with_outage(&endpoint.service, |o| o.trouble(&endpoint.id, boot_clock::now()));
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
    if way.relay.sent() == 0 {
        cx.with_retries(&endpoint.service, |share| share.request(now));
    }
    exchange(cx, way, lease, place, &grant, last_event).await
}

fn nothing(next: relay::Next, why: &'static str) -> Sent {
    Sent::Nothing {
        next,
        why,
        failure: None,
    }
}

async fn exchange(
    cx: &Rc<cx::Cx>,
    way: &mut Way,
    mut lease: pool::Lease,
    place: Place,
    grant: &sycamorestile_core::direct::access::Grant,
    last_event: Option<&str>,
) -> Result<Sent, problem::ProblemKind> {
    let now = boot_clock::now();
    let remaining = way.call.deadline.since(now);
    if remaining.is_zero() {
        return Err(problem::ProblemKind::DeadlineBeforeStart);
    }
    let req = onward(cx, &way.call, &place.endpoint, grant, remaining, last_event)?;
    way.relay.sending();
    let sending = lease.sender().try_send_request(req);
    let answered = match time::timeout(patience(cx, way, remaining), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut e)) => {
            cx.placement.borrow_mut().failed(&place.endpoint.id, boot_clock::now());
            // The library gives the message back only when none of it was written.
            return Ok(if e.take_message().is_some() {
                nothing(way.relay.not_sent(), "connection closed before the request")
            } else {
                nothing(way.relay.lost(), "connection broke before the answer")
            });
        }
        Err(_) => {
            let now = boot_clock::now();
            cx.placement.borrow_mut().failed(&place.endpoint.id, now);
            cx.with_outage(&place.endpoint.service, |o| o.trouble(&place.endpoint.id, now));
            return Ok(nothing(way.relay.lost(), "no answer in time"));
        }
    };
    classify(cx, way, lease, place, answered).await
}

/// How long the head of an answer is waited for.
fn patience(cx: &cx::Cx, way: &Way, remaining: Duration) -> Duration {
    let route = &way.call.grant.route;
    let more = way.relay.sent() < route.max_attempts;
    match route.kind {
        route::RouteKind::Safe if more => remaining / 2,
        route::RouteKind::Stream { resumable: true } if more => remaining.min(cx.settings.stall + HEAD_MARGIN),
        _ => remaining,
    }
}

async fn classify(
    cx: &Rc<cx::Cx>,
    way: &mut Way,
    lease: pool::Lease,
    place: Place,
    response: Response<Incoming>,
) -> Result<Sent, problem::ProblemKind> {
    let (head, body) = response.into_parts();
    let answer = (cx.dialect.read_answer)(head.status, &head.headers);
    let ours = way.call.head.attempt.as_ref();
    let facts = answer_class::AnswerFacts {
        status: head.status.as_u16(),
        is_ours: match ours {
            None => Some(true),
            Some(attempt) => answer.attempt.as_ref().map(|named| named == attempt),
        },
        not_run: answer.not_run,
        is_marked: answer.is_marked,
    };
    let now = boot_clock::now();
    let id = Arc::clone(&place.endpoint.id);
    match answer_class::classify(facts) {
        answer_class::AnswerClass::Foreign => {
            cx.placement.borrow_mut().failed(&id, now);
            Ok(nothing(way.relay.lost(), "answer to another request"))
        }
        answer_class::AnswerClass::Refused => {
            if answer.culprit.is_some() {
                cx.with_outage(&place.endpoint.service, |o| o.trouble(&id, now));
            } else {
                cx.placement.borrow_mut().refused(&id, now);
            }
            if read_whole(way, body).await.is_some() {
                give_back(lease, &head.headers, &answer);
            }
            Ok(nothing(way.relay.refused(), "refused by the endpoint"))
        }
        answer_class::AnswerClass::Answer if way.call.grant.route.kind.is_stream() && head.status.is_success() => {
            cx.placement.borrow_mut().answered(&id, answer.load, now);
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
                cx.placement.borrow_mut().failed(&id, boot_clock::now());
                return Ok(nothing(way.relay.lost(), "answer broke off"));
            };
            give_back(lease, &head.headers, &answer);
            if class == answer_class::AnswerClass::Answer {
                cx.placement.borrow_mut().answered(&id, answer.load, now);
                return Ok(Sent::Whole(Box::new(hand_on(head, stream::AnswerBody::whole(whole)))));
            }
            let next = way.relay.failed();
            let failure = (class == answer_class::AnswerClass::Failed)
                .then(|| Box::new(hand_on(head, stream::AnswerBody::whole(whole))));
            Ok(Sent::Nothing {
                next,
                why: "failed at the endpoint",
                failure,
            })
        }
    }
}

async fn read_whole(way: &Way, mut body: Incoming) -> Option<Bytes> {
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

fn give_back(lease: pool::Lease, headers: &HeaderMap, answer: &dialect::AnswerHead) {
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
    grant: &sycamorestile_core::direct::access::Grant,
    remaining: Duration,
    last_event: Option<&str>,
) -> Result<Request<Full<Bytes>>, problem::ProblemKind> {
    let mut headers = call.headers.clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if call.headers.contains_key(header::CONTENT_LENGTH) || !call.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let organisation = grant.organisation.as_ref();
    let told = dialect::Onward {
        endpoint: &endpoint.id,
        remaining,
        organisation: organisation.map(|o| o.name.as_ref()),
        last_event,
        priority: grant
            .route
            .kind
            .is_stream()
            .then(|| organisation.and_then(|o| o.priority).unwrap_or(grant.route.priority)),
    };
    (cx.dialect.onward)(&mut headers, &told);
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
fn hand_on(mut head: http::response::Parts, body: stream::AnswerBody) -> Response<stream::AnswerBody> {
    strip_hop_headers(&mut head.headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Logs how a request ended.
fn conclude(
    cx: &cx::Cx,
    way: &Way,
    response: Response<stream::AnswerBody>,
    reason: &str,
) -> Response<stream::AnswerBody> {
    let took = boot_clock::now().since(way.call.started);
    let status = response.status().as_u16();
    cx.metrics.outcome(status, reason);
    cx.metrics.whole(way.call.organisation(), way.call.kind(), took);
    log_end(cx, way, status, reason, took);
    response
}

fn log_end(cx: &cx::Cx, way: &Way, status: u16, reason: &str, took: Duration) {
    let snapshot = cx.snapshot();
    let now = boot_clock::now();
    info!(cx.log, "request ended";
        "request" => way.call.id(), "route" => way.call.grant.route.name.as_ref(), "kind" => way.call.kind(),
        "organisation" => way.call.organisation().map(AsRef::as_ref), "status" => status, "reason" => reason,
        "last" => way.why, "detail" => &way.detail, "endpoints" => way.tried.join(","), "sent" => way.relay.sent(),
        "ms" => took.as_millis() as u64, "left_ms" => way.call.deadline.since(now).as_millis() as u64,
        "version" => snapshot.declared.as_ref().map(|d| d.version),
        "age_ms" => snapshot.freshness.age(now).map(|a| a.as_millis() as u64));
}

/// Begins to hand on a stream.
fn stream_answer(
    cx: &Rc<cx::Cx>,
    way: Way,
    open: OpenStream,
    last_event: Option<String>,
) -> Response<stream::AnswerBody> {
    let took = boot_clock::now().since(way.call.started);
    cx.metrics.first_byte(way.call.organisation(), way.call.kind(), took);
    let (tx, rx) = mpsc::channel(STREAM_QUEUE);
    let OpenStream {
        mut head,
        body,
        answer,
        lease,
        place,
    } = open;
    // A continued stream can have another length.
    head.headers.remove(header::CONTENT_LENGTH);
    let headers = head.headers.clone();
    let response = hand_on(head, stream::AnswerBody::stream(rx));
    let pump = Pump {
        cx: Rc::clone(cx),
        way,
        cut: event_cut::EventCut::after(last_event),
        tx,
    };
    tokio::task::spawn_local(pump.run(Leg {
        headers,
        body,
        answer,
        lease,
        place,
    }));
    response
}

/// One endpoint's part of a stream.
struct Leg {
    headers: HeaderMap,
    body: Incoming,
    answer: dialect::AnswerHead,
    lease: pool::Lease,
    place: Place,
}

/// Why a leg ended.
enum LegEnd {
    /// The endpoint ended the stream.
    Whole,
    /// The endpoint broke off or went silent.
    Broken(&'static str),
    /// The caller left.
    CallerLeft,
    /// The caller's or the route's time is up.
    TimeUp,
}

/// Hands a stream on, through further endpoints where one breaks off.
struct Pump {
    cx: Rc<cx::Cx>,
    way: Way,
    cut: event_cut::EventCut,
    tx: mpsc::Sender<Result<Bytes, stream::BrokenOff>>,
}

impl Pump {
    async fn run(mut self, first: Leg) {
        let mut leg = first;
        let reason = loop {
            let end = self.hand_on(&mut leg.body, &leg.place.endpoint.service).await;
            let id = Arc::clone(&leg.place.endpoint.id);
            match end {
                LegEnd::Whole => {
                    give_back(leg.lease, &leg.headers, &leg.answer);
                    break "answered";
                }
                LegEnd::CallerLeft => break "caller left",
                LegEnd::TimeUp => {
                    self.break_off().await;
                    break "time is up";
                }
                LegEnd::Broken(why) => {
                    drop(leg);
                    self.cx.placement.borrow_mut().failed(&id, boot_clock::now());
                    let next = self.way.relay.lost();
                    self.way.came_to_nothing(&self.cx, why, next);
                    if let Some(next) = self.resume(next).await {
                        leg = next;
                    } else {
                        self.break_off().await;
                        break "broke off";
                    }
                }
            }
        };
        let took = boot_clock::now().since(self.way.call.started);
        self.cx.metrics.outcome(200, reason);
        self.cx
            .metrics
            .whole(self.way.call.organisation(), self.way.call.kind(), took);
        log_end(&self.cx, &self.way, 200, reason, took);
    }

    async fn break_off(&self) {
        // A caller that has left needs no sign.
        let _sent = self.tx.send(Err(stream::BrokenOff)).await;
    }

    /// Hands on whole events until the leg ends.
    async fn hand_on(&mut self, body: &mut Incoming, service: &Arc<str>) -> LegEnd {
        let mut heard = boot_clock::now();
        loop {
            let left = self.way.call.deadline.since(boot_clock::now());
            if left.is_zero() {
                return LegEnd::TimeUp;
            }
            let next = tokio::select! {
                next = time::timeout(SILENCE_LOOK.min(left), body.frame()) => next,
                () = self.tx.closed() => return LegEnd::CallerLeft,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return LegEnd::Broken("stream broke"),
                Ok(None) if self.cut.is_mid_event() => return LegEnd::Broken("stream ended within an event"),
                Ok(None) => return LegEnd::Whole,
                Err(_) => {
                    let now = boot_clock::now();
                    if self.cx.with_outage(service, |o| o.is_lone(now.since(heard), now)) {
                        return LegEnd::Broken("stream went silent");
                    }
                    continue;
                }
            };
            heard = boot_clock::now();
            self.cx.with_outage(service, |o| o.progress(heard));
            let Some(data) = frame.data_ref() else { continue };
            let Ok(whole) = self.cut.feed(data) else {
                return LegEnd::Broken("event too long");
            };
            if !whole.is_empty() && self.tx.send(Ok(whole)).await.is_err() {
                return LegEnd::CallerLeft;
            }
        }
    }

    /// Continues the stream at another endpoint after the last event that was handed on.
    async fn resume(&mut self, mut next: relay::Next) -> Option<Leg> {
        self.cut.drop_partial();
        loop {
            if stopped(&self.cx, &self.way, next).is_some() {
                return None;
            }
            let last_event = self.cut.last_id().map(str::to_owned);
            let cx = Rc::clone(&self.cx);
            let sent = tokio::select! {
                sent = send(&cx, &mut self.way, last_event.as_deref()) => sent,
                () = self.tx.closed() => return None,
            };
            match sent.ok()? {
                Sent::Stream(open) => {
                    let OpenStream {
                        head,
                        body,
                        answer,
                        lease,
                        place,
                    } = *open;
                    return Some(Leg {
                        headers: head.headers,
                        body,
                        answer,
                        lease,
                        place,
                    });
                }
                Sent::Whole(_) => return None,
                Sent::Nothing { next: after, why, .. } => {
                    self.way.came_to_nothing(&self.cx, why, after);
                    next = after;
                }
            }
        }
    }
}
