//! Refusals and failures of the gateway's own.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use sycamorestile_core::problem;

use crate::context;
use crate::response_body;

/// Media type of a problem.
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The response that tells a caller `problem`.
pub(crate) fn response(
    cx: &context::GatewayContext,
    problem: &problem::Problem,
) -> Response<response_body::ResponseBody> {
    // A problem consists of strings and numbers, which always can be written; an empty body would still have its status.
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

/// A problem that names `wait`, spread so that callers refused together don't come back together.
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
