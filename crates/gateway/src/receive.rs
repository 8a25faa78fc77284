//! Receives the response of an endpoint: classifies it by its head, and reads it unless it is a stream.
//!
//! What a response means for further attempts of its request is decided elsewhere, since it may come while another attempt is
//! under way.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use slog::info;
use sycamorestile_core::direct::{coding, endpoint, response_class, response_room};
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::call;
use crate::context;
use crate::crash_watch;
use crate::endpoint_slot;
use crate::header_adapter;
use crate::hop_by_hop;
use crate::pool;
use crate::response_account;
use crate::response_body;
use crate::withdrawal;

/// The largest response that is no stream, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The largest body of a refusal that is read, in bytes. The connection of a larger one is closed.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// How long the body of a refusal is read.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// A streamed response whose head was received and whose body is still to be read.
pub(crate) struct OpenStream {
    pub(crate) parts: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) head: header_adapter::ResponseHead,
    pub(crate) lease: pool::Lease,
    pub(crate) slot: endpoint_slot::EndpointSlot,
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
    pub(crate) slot: endpoint_slot::EndpointSlot,
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

/// What an endpoint's response is to the request.
pub(crate) enum Received {
    /// The endpoint started a streamed response.
    Stream(Box<OpenStream>),
    /// The endpoint sent a complete response.
    Response(Box<Response<response_body::ResponseBody>>),
    /// The endpoint started a response that there is no room to read completely.
    OpenResponse(Box<OpenResponse>),
    /// The endpoint did not run the request.
    Refused,
    /// The endpoint ran the request and failed. Its error response, unless that would tell that the request did not run.
    Failed(Option<Box<Response<response_body::ResponseBody>>>),
    /// It is no response to this request.
    Untrusted,
    /// The response broke off, which may be a crash of the endpoint.
    Broken(&'static str),
}

/// Classifies the response to `call`, reads it unless it is a stream, and records what it tells of its endpoint.
///
/// `reserved` is what is set aside for a large response.
pub(crate) async fn receive(
    cx: &Rc<context::GatewayContext>,
    call: &call::Call,
    reserved: Option<response_account::Share>,
    lease: pool::Lease,
    slot: endpoint_slot::EndpointSlot,
    response: Response<Incoming>,
) -> Received {
    lease.renew_read_limit();
    let (parts, body) = response.into_parts();
    let head = (cx.header_adapter.read_response)(parts.status, &parts.headers);
    let facts = response_facts(call, &lease, &parts, &head);
    log_coding(cx, call, &slot.endpoint, &parts.headers, facts.is_encoded);
    let now = boot_clock::now();
    let id = Arc::clone(&slot.endpoint.id);
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        withdrawal::record(cx, call.id(), &slot.endpoint, head.notice, now);
    }
    record_rate_limit(cx, &id, &head);
    match response_class::classify(facts) {
        response_class::ResponseClass::Untrusted => {
            cx.placement.borrow_mut().record_failure(&id, now);
            Received::Untrusted
        }
        response_class::ResponseClass::Refused => {
            if head.failed_dependency.is_some() {
                cx.outages.with(&slot.endpoint.service, |o| o.record_failure(&id, now));
            } else if !head.notice.is_withdrawal() {
                cx.placement.borrow_mut().record_refusal(&id, now);
            }
            tokio::task::spawn_local(discard_refusal(lease, parts.headers, head, body));
            Received::Refused
        }
        response_class::ResponseClass::Response if call.grant.route.kind.is_stream() && parts.status.is_success() => {
            cx.placement.borrow_mut().record_success(&id, head.load, now);
            Received::Stream(Box::new(OpenStream {
                parts,
                body,
                head,
                lease,
                slot,
            }))
        }
        class => {
            let open = OpenStream {
                parts,
                body,
                head,
                lease,
                slot,
            };
            read_response(cx, call, reserved, open, class).await
        }
    }
}

/// Reads a response that is no stream, as far as there is room for it.
async fn read_response(
    cx: &Rc<context::GatewayContext>,
    call: &call::Call,
    reserved: Option<response_account::Share>,
    open: OpenStream,
    class: response_class::ResponseClass,
) -> Received {
    let OpenStream {
        parts,
        body,
        head,
        lease,
        slot,
    } = open;
    let ends_with_connection = ends_with_connection(&parts.headers, &body);
    let is_too_long = body.size_hint().lower() > MAX_RESPONSE_BYTES as u64;
    let broken = |why| {
        let now = boot_clock::now();
        cx.placement.borrow_mut().record_failure(&slot.endpoint.id, now);
        Received::Broken(why)
    };
    if is_too_long {
        return broken("answer too long");
    }
    let blocks = match read_body(cx, call, reserved, &lease, body).await {
        ReadBody::Whole(blocks) => blocks,
        ReadBody::Part(blocks, body, share) if class == response_class::ResponseClass::Response => {
            return Received::OpenResponse(Box::new(OpenResponse {
                parts,
                blocks,
                body,
                share,
                head,
                lease,
                slot,
                ends_with_connection,
            }));
        }
        ReadBody::Part(..) | ReadBody::Broken => return broken("answer broke off"),
    };
    if ends_with_connection && pool::Pool::refuses_connections(&slot.endpoint).await {
        return broken("endpoint crashed");
    }
    release_connection(lease, &parts.headers, &head);
    let whole = || {
        let body = response_body::ResponseBody::blocks(blocks, None);
        Box::new(caller_response(parts, body))
    };
    match class {
        response_class::ResponseClass::Response => {
            let now = boot_clock::now();
            cx.placement
                .borrow_mut()
                .record_success(&slot.endpoint.id, head.load, now);
            crash_watch::record_proof(cx, call);
            Received::Response(whole())
        }
        response_class::ResponseClass::Failed => Received::Failed(Some(whole())),
        _ => Received::Failed(None),
    }
}

/// Reads the facts by which a response is classified.
fn response_facts(
    call: &call::Call,
    lease: &pool::Lease,
    parts: &http::response::Parts,
    head: &header_adapter::ResponseHead,
) -> response_class::ResponseFacts {
    response_class::ResponseFacts {
        status: parts.status.as_u16(),
        matches_attempt: match call.head.attempt.as_ref() {
            // A response that names an attempt belongs to a request that did.
            None => Some(head.attempt.is_none()),
            Some(attempt_id) => head.attempt.as_ref().map(|id| id == attempt_id),
        },
        is_first_response: lease.idle_time == pool::IdleTime::None,
        not_run: head.not_run,
        is_authentic: head.is_authentic,
        is_encoded: is_encoded(&parts.headers, &call.headers),
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

/// Reads the body of a refusal, so that its connection can be used again. The request does not wait for that, since the
/// body may never end.
async fn discard_refusal(lease: pool::Lease, headers: HeaderMap, head: header_adapter::ResponseHead, body: Incoming) {
    let reading = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    if let Ok(Ok(_)) = time::timeout(REFUSAL_TIMEOUT, reading).await {
        release_connection(lease, &headers, &head);
    }
}

/// Reads the body, as far as there is room for it.
async fn read_body(
    cx: &context::GatewayContext,
    call: &call::Call,
    reserved: Option<response_account::Share>,
    lease: &pool::Lease,
    mut body: Incoming,
) -> ReadBody {
    let remaining = call.deadline.since(boot_clock::now());
    let organisation = call.organisation();
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
            lease.renew_read_limit();
            let data = frame.data_ref().map_or(&[][..], |d| d.as_ref());
            blocks.push(data);
            len += data.len();
            if len > MAX_RESPONSE_BYTES {
                return None;
            }
            if !response_room::is_small(Some(len)) {
                cx.response_account
                    .record_large(&call.grant.route.name, boot_clock::now());
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

/// Builds the caller's response from the head of an endpoint's response.
pub(crate) fn caller_response(
    mut parts: http::response::Parts,
    body: response_body::ResponseBody,
) -> Response<response_body::ResponseBody> {
    hop_by_hop::strip(&mut parts.headers);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}
