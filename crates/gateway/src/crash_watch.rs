//! Detects crashes of endpoints from broken responses, and refuses requests that are quarantined for them.
//!
//! A crash is blamed on the shared segments of prompts and, apart from them, on the content of single requests. Where a
//! quarantined segment explains a crash, it isn't held against the requests that were at the endpoint.

use std::cell::RefCell;
use std::sync::Arc;
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

/// What a crash is blamed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Suspect {
    /// A shared segment of prompts.
    Segment,
    /// The content of a request.
    Request,
}

impl Suspect {
    /// Returns the name for log messages and problems.
    fn name(self) -> &'static str {
        match self {
            Self::Segment => "segment",
            Self::Request => "request",
        }
    }

    /// Returns the name of the field with the identifier in log lines.
    fn log_key(self) -> &'static str {
        match self {
            Self::Segment => "segment",
            Self::Request => "content",
        }
    }

    fn evidence(self, cx: &context::GatewayContext) -> &RefCell<crash_evidence::CrashEvidence> {
        match self {
            Self::Segment => &cx.segment_crashes,
            Self::Request => &cx.request_crashes,
        }
    }

    /// Returns the identifiers of `call` that may be to blame.
    fn identifiers(self, call: &handle::Call) -> &[Arc<str>] {
        match self {
            Self::Segment => &call.head.shared_segments,
            Self::Request => std::slice::from_ref(&call.content),
        }
    }

    fn problem_kind(self) -> problem::ProblemKind {
        match self {
            Self::Segment => problem::ProblemKind::SegmentQuarantined,
            Self::Request => problem::ProblemKind::RequestQuarantined,
        }
    }
}

/// Checks whether a response of `endpoint` broke off because the endpoint crashed, and records the crash.
///
/// `written_for` is the time for which the endpoint had been writing the response.
pub(crate) async fn examine_broken_response(
    cx: &context::GatewayContext,
    req_cx: &mut request::RequestContext,
    endpoint: &endpoint::Endpoint,
    written_for: Duration,
) {
    if crash_evidence::is_proof(written_for, false) || !pool::Pool::refuses_connections(endpoint).await {
        return;
    }
    let call = &req_cx.call;
    let now = boot_clock::now();
    let record = |suspect: Suspect| {
        let identifiers = suspect.identifiers(call);
        !identifiers.is_empty()
            && update(cx, suspect, |e| {
                e.record_crash(&endpoint.id, identifiers, call.owner(), now)
            })
    };
    let is_news = record(Suspect::Segment) | record(Suspect::Request);
    info!(cx.log, "endpoint crashed at the beginning of a response";
        "request" => call.id(), "endpoint" => endpoint.id.as_ref(), "segments" => call.head.shared_segments.join(","),
        "content" => call.content.as_ref(),
        "written_ms" => written_for.as_millis() as u64, "news" => is_news);
    if is_news {
        cx.metrics.record_crash();
        cx.fact_news.notify_one();
    }
    req_cx.endpoint_crashed = true;
}

/// Records that a response, or the part of it that was written so far, proves `call` and its segments sound.
pub(crate) fn record_proof(cx: &context::GatewayContext, call: &handle::Call) {
    let now = boot_clock::now();
    for suspect in [Suspect::Segment, Suspect::Request] {
        let identifiers = suspect.identifiers(call);
        if !identifiers.is_empty() {
            update(cx, suspect, |evidence| evidence.record_proof(identifiers, now));
        }
    }
}

/// Returns whether `call`, whose endpoint has crashed, may be sent to another one. A request without suspected segments
/// is sent once more, which shows whether it is to blame, unless those of its organisation crash many endpoints.
pub(crate) fn allows_repeat(cx: &context::GatewayContext, call: &handle::Call) -> bool {
    let requests = cx.request_crashes.borrow();
    cx.segment_crashes.borrow().allows_repeat(&call.head.shared_segments)
        && requests.quarantined(Suspect::Request.identifiers(call)).is_none()
        && !requests.is_suspicious(call.owner())
}

/// Returns what `call` is quarantined for.
fn find_quarantine(cx: &context::GatewayContext, call: &handle::Call) -> Option<(Suspect, quarantine::Quarantine)> {
    [Suspect::Segment, Suspect::Request].into_iter().find_map(|suspect| {
        let evidence = suspect.evidence(cx).borrow();
        let quarantine = evidence.quarantined(suspect.identifiers(call))?;
        Some((suspect, quarantine.clone()))
    })
}

/// Returns how long the request is quarantined, or `None` if it isn't.
pub(crate) fn quarantine_remaining(cx: &context::GatewayContext, call: &handle::Call) -> Option<Duration> {
    let (_, quarantine) = find_quarantine(cx, call)?;
    Some(crash_evidence::CrashEvidence::remaining(&quarantine, boot_clock::now()))
}

/// Returns the kind of problem to report if the request is quarantined.
pub(crate) fn quarantine_problem_kind(
    cx: &context::GatewayContext,
    call: &handle::Call,
) -> Option<problem::ProblemKind> {
    find_quarantine(cx, call).map(|(suspect, _)| suspect.problem_kind())
}

/// Returns the problem to report if the request is quarantined.
pub(crate) fn quarantine_problem(cx: &context::GatewayContext, call: &handle::Call) -> Option<problem::Problem> {
    let (suspect, quarantine) = find_quarantine(cx, call)?;
    let remaining = crash_evidence::CrashEvidence::remaining(&quarantine, boot_clock::now());
    let detail = format!(
        "{} endpoints crashed on {} {}",
        quarantine.crashes,
        suspect.name(),
        quarantine.suspect
    );
    Some(refuse::with_wait(cx, suspect.problem_kind(), detail, remaining))
}

/// Changes the evidence, and logs what is quarantined or released by that.
pub(crate) fn update<F, R>(cx: &context::GatewayContext, suspect: Suspect, change: F) -> R
where
    F: FnOnce(&mut crash_evidence::CrashEvidence) -> R,
{
    let result = change_evidence(cx, suspect, change);
    if suspect == Suspect::Segment {
        let explained = cx.segment_crashes.borrow().explained_endpoints();
        change_evidence(cx, Suspect::Request, |requests| {
            requests.set_explained(explained, boot_clock::now());
        });
    }
    result
}

fn change_evidence<F, R>(cx: &context::GatewayContext, suspect: Suspect, change: F) -> R
where
    F: FnOnce(&mut crash_evidence::CrashEvidence) -> R,
{
    let mut evidence = suspect.evidence(cx).borrow_mut();
    let before = evidence.quarantines().to_vec();
    let dropped_before = evidence.dropped_quarantines();
    let result = change(&mut evidence);
    let after = evidence.quarantines();
    let is_in = |list: &[quarantine::Quarantine], q: &quarantine::Quarantine| {
        list.binary_search_by(|known| known.suspect.cmp(&q.suspect)).is_ok()
    };
    for quarantine in after.iter().filter(|q| !is_in(&before, q)) {
        warn!(cx.log, "{} quarantined", suspect.name();
            suspect.log_key() => quarantine.suspect.as_ref(), "crashes" => quarantine.crashes);
    }
    for quarantine in before.iter().filter(|q| !is_in(after, q)) {
        info!(cx.log, "{} released", suspect.name(); suspect.log_key() => quarantine.suspect.as_ref());
    }
    let dropped = evidence.dropped_quarantines() - dropped_before;
    if dropped > 0 {
        warn!(cx.log, "no room for all quarantines of {}s", suspect.name(); "dropped" => dropped);
        cx.metrics.record_dropped_quarantines(dropped);
    }
    match suspect {
        Suspect::Request => cx.metrics.set_quarantined_requests(after.len()),
        Suspect::Segment => cx.metrics.set_quarantined_segments(after.len()),
    }
    result
}
