//! Error responses that the gateway itself creates.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use sycamorestile_core::problem;

use crate::context;
use crate::response_body;

/// The media type of a problem (RFC 9457).
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The `Retry-After` of a refusal whose cause is transient, such as unconfirmed keys or missing endpoints.
const TRANSIENT_RETRY_AFTER: Duration = Duration::from_millis(700);
/// The `Retry-After` of a refusal by a draining instance. Another instance accepts the request at once.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns the response that reports `problem` to a caller.
pub(crate) fn response(
    cx: &context::GatewayContext,
    problem: &problem::Problem,
) -> Response<response_body::ResponseBody> {
    // A problem consists of strings and numbers, so encoding it can't fail. An empty body would still have its status.
    let body = serde_json::to_vec(&problem.body()).unwrap_or_default();
    let mut response = Response::new(response_body::ResponseBody::whole(body));
    *response.status_mut() = StatusCode::from_u16(problem.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, PROBLEM_JSON);
    let wait = problem.retry_after.map(|wait| (cx.header_adapter.retry_after)(wait));
    if let Some(value) = wait.and_then(|text| HeaderValue::try_from(text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a problem whose `Retry-After` is `wait` with jitter, so that callers that are refused at the same time don't
/// retry at the same time.
pub(crate) fn with_wait(
    cx: &context::GatewayContext,
    kind: problem::ProblemKind,
    detail: impl Into<String>,
    wait: Duration,
) -> problem::Problem {
    problem::Problem::new(kind, detail)
        .with_retry_after(wait)
        .with_jitter(cx.random_fraction())
}

/// Returns the problem of `kind`, with a `Retry-After` if its cause is transient.
pub(crate) fn problem(cx: &context::GatewayContext, kind: problem::ProblemKind) -> problem::Problem {
    if kind == problem::ProblemKind::Leaving {
        with_wait(cx, kind, kind.title(), DRAINING_RETRY_AFTER)
    } else if kind.is_transient() {
        with_wait(cx, kind, kind.title(), TRANSIENT_RETRY_AFTER)
    } else {
        problem::Problem::new(kind, kind.title())
    }
}
