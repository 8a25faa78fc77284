//! Detects crashes of endpoints from broken responses, and refuses requests with quarantined segments.

use std::time::Duration;

use slog::{info, warn};
use sycamorestile_core::direct::{crash_evidence, endpoint, quarantine};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;

use crate::context;
use crate::handle;
use crate::pool;
use crate::refuse;
use crate::request;

/// Checks whether a response of `endpoint` broke off because the endpoint crashed, and records the crash.
///
/// `written_for` is the time for which the endpoint had been writing the response.
pub(crate) async fn examine_broken_response(
    cx: &context::GatewayContext,
    req_cx: &mut request::RequestContext,
    endpoint: &endpoint::Endpoint,
    written_for: Duration,
) {
    let call = &req_cx.call;
    let segments = &call.head.shared_segments;
    if crash_evidence::is_proof(written_for, false) || !pool::Pool::refuses_connections(endpoint).await {
        return;
    }
    let now = boot_clock::now();
    let is_news = !segments.is_empty() && update(cx, |evidence| evidence.record_crash(&endpoint.id, segments, now));
    info!(cx.log, "endpoint crashed at the beginning of a response";
        "request" => call.id(), "endpoint" => endpoint.id.as_ref(), "segments" => segments.join(","),
        "content" => call.content.as_ref(),
        "written_ms" => written_for.as_millis() as u64, "news" => is_news);
    if is_news {
        cx.metrics.record_crash();
        cx.fact_news.notify_one();
    }
    req_cx.endpoint_crashed = !segments.is_empty();
}

/// Records that a response, or the part of it that was written so far, proves the segments of `call` sound.
pub(crate) fn record_proof(cx: &context::GatewayContext, call: &handle::Call) {
    let segments = &call.head.shared_segments;
    if !segments.is_empty() {
        update(cx, |evidence| evidence.record_proof(segments, boot_clock::now()));
    }
}

/// Returns how long a segment of the request is quarantined, or `None` if none is.
pub(crate) fn quarantine_remaining(cx: &context::GatewayContext, call: &handle::Call) -> Option<Duration> {
    let evidence = cx.crash_evidence.borrow();
    let quarantine = evidence.quarantined(&call.head.shared_segments)?;
    Some(crash_evidence::CrashEvidence::remaining(quarantine, boot_clock::now()))
}

/// Returns the problem to report if a segment of the request is quarantined.
pub(crate) fn quarantine_problem(cx: &context::GatewayContext, call: &handle::Call) -> Option<problem::Problem> {
    let remaining = quarantine_remaining(cx, call)?;
    let evidence = cx.crash_evidence.borrow();
    let quarantine = evidence.quarantined(&call.head.shared_segments)?;
    let detail = format!(
        "{} endpoints crashed on segment {}",
        quarantine.crashes, quarantine.segment
    );
    Some(refuse::with_wait(
        cx,
        problem::ProblemKind::SegmentQuarantined,
        detail,
        remaining,
    ))
}

/// Changes the evidence, and logs which segments are quarantined or released by that.
pub(crate) fn update<F, R>(cx: &context::GatewayContext, change: F) -> R
where
    F: FnOnce(&mut crash_evidence::CrashEvidence) -> R,
{
    let mut evidence = cx.crash_evidence.borrow_mut();
    let before = evidence.quarantines().to_vec();
    let result = change(&mut evidence);
    let after = evidence.quarantines();
    let is_in = |list: &[quarantine::Quarantine], q: &quarantine::Quarantine| {
        list.binary_search_by(|known| known.segment.cmp(&q.segment)).is_ok()
    };
    for quarantine in after.iter().filter(|q| !is_in(&before, q)) {
        warn!(cx.log, "segment quarantined"; "segment" => quarantine.segment.as_ref(), "crashes" => quarantine.crashes);
    }
    for quarantine in before.iter().filter(|q| !is_in(after, q)) {
        info!(cx.log, "segment released"; "segment" => quarantine.segment.as_ref());
    }
    cx.metrics.set_quarantined(after.len());
    result
}
