//! Endpoints that withdraw from this instance: what is logged, counted and reported to callers.

use std::sync::Arc;

use slog::{info, warn};
use sycamorestile_core::direct::{endpoint, restrictions, withdrawals};
use sycamorestile_core::problem;
use sycamorestile_core::time;

use crate::context;

/// Records what a response of `endpoint` to `request` says about further requests.
pub(crate) fn record(
    cx: &context::GatewayContext,
    request: &str,
    endpoint: &endpoint::Endpoint,
    notice: withdrawals::Notice,
    now: time::Time,
) {
    let withdrawals = &mut cx.restrictions.borrow_mut().withdrawals;
    if !withdrawals.record(endpoint, notice, now) {
        return;
    }
    if notice.is_leaving {
        info!(cx.log, "endpoint leaves"; "request" => request, "endpoint" => endpoint.id.as_ref());
    } else {
        cx.metrics.record_pause();
        info!(cx.log, "endpoint paused"; "request" => request, "endpoint" => endpoint.id.as_ref(),
            "ms" => notice.pause.map(|pause| pause.min(withdrawals::MAX_PAUSE).as_millis() as u64));
    }
}

/// Forgets what no longer matters, and updates the metrics.
pub(crate) fn refresh(cx: &context::GatewayContext, now: time::Time) {
    let snapshot = cx.snapshot();
    let withdrawals = &mut cx.restrictions.borrow_mut().withdrawals;
    let forgotten = withdrawals.refresh(|id| snapshot.lists_endpoint(id), now);
    if forgotten > 0 {
        warn!(cx.log, "no room for the withdrawals of all former endpoints"; "forgotten" => forgotten);
        cx.metrics.record_forgotten_withdrawals(forgotten);
    }
    let (paused, leaving) = withdrawals.counts(now);
    cx.metrics.set_withdrawn(paused, leaving);
}

/// Returns why none of `endpoints` may get a request, and counts the request that is refused for it.
pub(crate) fn unavailability(
    cx: &context::GatewayContext,
    endpoints: &[Arc<endpoint::Endpoint>],
    now: time::Time,
) -> Option<restrictions::Unavailability> {
    let unavailability = cx.restrictions.borrow().unavailability(endpoints, now);
    if let Some(unavailability) = unavailability {
        cx.metrics.record_withheld_request(cause_name(unavailability.cause));
    }
    unavailability
}

/// Returns the kind of problem to report for `cause`.
pub(crate) fn problem_kind(cause: restrictions::Cause) -> problem::ProblemKind {
    match cause {
        restrictions::Cause::Leaving => problem::ProblemKind::NoEndpoint,
        restrictions::Cause::Paused | restrictions::Cause::RateLimited => problem::ProblemKind::Overloaded,
    }
}

/// Returns the detail to report for `cause`.
pub(crate) fn detail(cause: restrictions::Cause) -> &'static str {
    match cause {
        restrictions::Cause::Leaving => "all endpoints are leaving",
        restrictions::Cause::Paused => "all endpoints have asked for a pause",
        restrictions::Cause::RateLimited => "all endpoints have as many requests as their rate limits allow",
    }
}

fn cause_name(cause: restrictions::Cause) -> &'static str {
    match cause {
        restrictions::Cause::Leaving => "leaving",
        restrictions::Cause::Paused => "paused",
        restrictions::Cause::RateLimited => "rate-limited",
    }
}
