//! Reads a caller's request, checks that it may proceed and responds to it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::info;
use sycamorestile_connection::watch;
use sycamorestile_core::direct::request_content;
use sycamorestile_core::problem;
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::call;
use crate::context;
use crate::monitoring;
use crate::proxy;
use crate::refuse;
use crate::reservation;
use crate::response_body;

/// The time for which the rest of a refused body is read. If the connection were closed with unread data, the caller
/// would see a reset instead of the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest part of a refused body that is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// The value of the `Connection` header of the last response on a connection.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// The size up to which every request body is buffered, in bytes. Larger ones share [`MAX_BODY_BYTES`].
const SMALL_BODY_BYTES: usize = 16 << 10;
/// The largest number of bytes that all larger request bodies together may take.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Responds to a caller's request.
pub(crate) async fn handle(
    cx: Rc<context::GatewayContext>,
    connection: watch::ConnectionWatch,
    req: Request<Incoming>,
) -> Response<response_body::ResponseBody> {
    let guard = connection.request_started();
    if req.version() < Version::HTTP_11 {
        connection.response_ends_with_connection();
    }
    let mut response = respond(&cx, req).await;
    if cx.is_draining() {
        // The connection closes after this response, since the next request is better sent elsewhere.
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    response.map(|body| body.with_guard(guard))
}

/// Responds to a request to the monitoring address.
pub(crate) async fn handle_monitoring(
    cx: Rc<context::GatewayContext>,
    connection: watch::ConnectionWatch,
    req: Request<Incoming>,
) -> Response<response_body::ResponseBody> {
    let _busy = connection.request_started();
    monitoring::respond(&cx, &req)
}

/// Forwards the request, or refuses and logs it if it can't be forwarded.
async fn respond(cx: &Rc<context::GatewayContext>, req: Request<Incoming>) -> Response<response_body::ResponseBody> {
    let started = boot_clock::now();
    match read_call(cx, req, started).await {
        Ok(call) => proxy::forward(cx, call).await,
        Err(refusal) => {
            let problem = refusal.problem;
            let status = problem.kind.status();
            cx.metrics.record_outcome(status, problem.kind.slug());
            let snapshot = cx.snapshot();
            info!(cx.log, "request refused";
                "request" => refusal.id.as_deref(), "reason" => problem.kind.slug(), "detail" => &problem.detail,
                "status" => status, "path" => refusal.path,
                "version" => snapshot.declared.as_ref().map(|d| d.version),
                "age_ms" => snapshot.freshness.age(started).map(|a| a.as_millis() as u64));
            refuse::response(cx, &problem)
        }
    }
}

/// The reason why a request is refused before it is forwarded.
struct Refusal {
    /// The caller's identifier for the attempt, if the headers could be read.
    id: Option<Arc<str>>,
    path: String,
    problem: problem::Problem,
}

/// Reads the request, and authorizes it before its body is read.
async fn read_call(cx: &context::GatewayContext, req: Request<Incoming>, started: Time) -> Result<call::Call, Refusal> {
    let (parts, body) = req.into_parts();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
        .to_owned();
    let path = parts.uri.path().to_owned();
    let host_header = parts.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host_header.or(parts.uri.host()).unwrap_or_default().to_owned();
    let head = match (cx.header_adapter.read_call)(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            discard_body(body);
            return Err(Refusal {
                id: None,
                path,
                problem: problem::Problem::new(problem::ProblemKind::BadHeader, error.to_string()),
            });
        }
    };
    let refusal = |kind: problem::ProblemKind| Refusal {
        id: head.attempt.clone(),
        path: path.clone(),
        problem: refuse::problem(cx, kind),
    };
    let grant = match call::authorize(cx, &host, &path, head.key.as_deref()) {
        Ok(grant) => grant,
        Err(kind) => {
            discard_body(body);
            return Err(refusal(kind));
        }
    };
    let timeout = head
        .deadline
        .map_or(grant.route.timeout, |d| d.min(grant.route.timeout));
    let deadline = started + timeout;
    if !cx.accepts_request(timeout) {
        discard_body(body);
        return Err(refusal(problem::ProblemKind::Leaving));
    }
    let limit = cx
        .snapshot()
        .declared
        .as_ref()
        .map(|d| d.limits.body_bytes)
        .unwrap_or_default();
    let declared_length = parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    if declared_length
        .and_then(|l| l.parse::<usize>().ok())
        .is_some_and(|length| length > limit)
    {
        discard_body(body);
        return Err(refusal(problem::ProblemKind::BodyTooLarge));
    }
    let mut body_room = reservation::Reservation::new(&cx.request_body_bytes);
    let body = tokio::select! {
        read = read_body(body, limit, timeout, &mut body_room) => read,
        () = cx.ending() => Err(problem::ProblemKind::Leaving),
    };
    let body = body.map_err(refusal)?;
    let content = request_content::RequestContent {
        organisation: grant.organisation.as_ref().map(|o| o.name.as_ref()),
        method: parts.method.as_str(),
        host: &host,
        target: &target,
        prompt: head.prompt.as_deref(),
        body: &body,
    };
    Ok(call::Call {
        content: content.identifier(),
        head,
        grant,
        method: parts.method,
        target,
        host,
        headers: parts.headers,
        body,
        _body_room: body_room,
        started,
        deadline,
    })
}

/// Reads a body of up to `limit` bytes, as long as `room` can be extended for it.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
    room: &mut reservation::Reservation,
) -> Result<Bytes, problem::ProblemKind> {
    let mut bytes = BytesMut::new();
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| problem::ProblemKind::BadBody)?;
            bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d.as_ref()));
            if bytes.len() > limit {
                return Err(problem::ProblemKind::BodyTooLarge);
            }
            if !room.grow_to(bytes.len().saturating_sub(SMALL_BODY_BYTES), MAX_BODY_BYTES) {
                return Err(problem::ProblemKind::BodiesFull);
            }
        }
        Ok(())
    };
    let read = time::timeout(timeout, reading).await;
    match read {
        Ok(Ok(())) => Ok(bytes.freeze()),
        Ok(Err(kind)) => {
            discard_body(body);
            Err(kind)
        }
        Err(_) => Err(problem::ProblemKind::DeadlineBeforeStart),
    }
}

/// Reads and discards the rest of a body in a background task.
fn discard_body(body: Incoming) {
    if hyper::body::Body::is_end_stream(&body) {
        return;
    }
    tokio::task::spawn_local(async move {
        let mut rest = Limited::new(body, MAX_DISCARDED_BYTES);
        let dropped = async { while let Some(Ok(_)) = rest.frame().await {} };
        // After the timeout, the caller has had enough time to read the response.
        let _read = time::timeout(DISCARD_TIMEOUT, dropped).await;
    });
}
