//! Responses to requests for readiness, health and metrics.

use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sycamorestile_table::boot_clock;

use crate::context;
use crate::response_body;

/// Responds to a request to the monitoring address.
pub(crate) fn respond(
    cx: &Rc<context::GatewayContext>,
    req: &Request<Incoming>,
) -> Response<response_body::ResponseBody> {
    let (status, text) = match req.uri().path() {
        "/readyz" if is_ready(cx) => (StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/healthz" => (StatusCode::OK, "alive\n".to_owned()),
        "/metrics" => {
            if let Some(at) = cx.snapshot().endpoints_confirmed_at {
                cx.metrics.set_endpoint_list_age(boot_clock::now().since(at));
            }
            cx.metrics.set_held_response_bytes(cx.response_account.held(None).total);
            (StatusCode::OK, cx.metrics.text())
        }
        _ => (StatusCode::NOT_FOUND, "see /readyz, /healthz, /metrics\n".to_owned()),
    };
    let mut response = Response::new(response_body::ResponseBody::whole(text));
    *response.status_mut() = status;
    response
}

/// Returns whether the gateway can serve new callers: declarations and endpoints are known, keys are confirmed, and the
/// process is not draining.
pub(crate) fn is_ready(cx: &context::GatewayContext) -> bool {
    let snapshot = cx.snapshot();
    let fresh = snapshot.freshness.allows_keys(boot_clock::now(), max_key_age(cx));
    snapshot.declared.is_some() && snapshot.endpoints_known && fresh && !cx.is_draining()
}

/// Returns the longest time since the last confirmation for which keys are accepted.
pub(crate) fn max_key_age(cx: &context::GatewayContext) -> Duration {
    cx.settings.revocation_limit
}
