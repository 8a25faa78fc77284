//! Detects crashes of endpoints from broken responses, and refuses requests that are quarantined for them.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use sycamorestile_core::direct::{broken_responses, crash_evidence, crash_record, endpoint, quarantine};
use sycamorestile_core::{problem, time};
use sycamorestile_table::boot_clock;

use crate::call;
use crate::context;
use crate::pool;
use crate::refuse;

/// Checks whether the response of `endpoint` to `call` broke off because the endpoint crashed, and records the crash.
/// Returns whether it did, as far as can be told now.
///
/// `written_for` is the time for which the endpoint had been writing the response.
pub(crate) async fn examine_broken_response(
    cx: &context::GatewayContext,
    call: &call::Call,
    endpoint: &Arc<endpoint::Endpoint>,
    written_for: Duration,
) -> bool {
    if crash_evidence::is_proof(written_for, false) {
        return false;
    }
    match pool::Pool::probe(endpoint).await {
        pool::Reachability::Refuses => {}
        pool::Reachability::Accepts => {
            cx.broken_responses
                .borrow_mut()
                .record(broken_responses::BrokenResponse {
                    endpoint: Arc::clone(endpoint),
                    suspects: call.suspects().to_owned(),
                    at: boot_clock::now(),
                });
            return false;
        }
        pool::Reachability::Unreachable => return false,
    }
    let is_news = record_crash(cx, endpoint, &call.suspects(), boot_clock::now());
    info!(cx.log, "endpoint crashed at the beginning of a response";
        "request" => call.id(), "endpoint" => endpoint.id.as_ref(), "segments" => call.head.shared_segments.join(","),
        "content" => call.content.as_ref(),
        "written_ms" => written_for.as_millis() as u64, "news" => is_news);
    true
}

/// Records the crashes of endpoints which accepted connections after they broke a response, but whose processes have been
/// replaced since.
pub(crate) fn examine_replacements(cx: &context::GatewayContext, now: time::Time) {
    let crashed = cx
        .broken_responses
        .borrow_mut()
        .take_crashed(&cx.snapshot().endpoints, now);
    for response in crashed {
        let is_news = record_crash(cx, &response.endpoint, &response.suspects.as_ref(), response.at);
        info!(cx.log, "endpoint that broke a response was replaced by a later process";
            "endpoint" => response.endpoint.id.as_ref(), "ago_ms" => now.since(response.at).as_millis() as u64,
            "news" => is_news);
    }
}

/// Records a crash of `endpoint` at the time `at`. Returns whether that is news.
fn record_crash(
    cx: &context::GatewayContext,
    endpoint: &endpoint::Endpoint,
    suspects: &crash_record::Suspects<'_>,
    at: time::Time,
) -> bool {
    let is_news = update(cx, |crashes| crashes.record_crash(&endpoint.id, suspects, at));
    if is_news {
        cx.metrics.record_crash();
        cx.fact_news.notify_one();
    }
    is_news
}

/// Records that a response, or the part of it that was written so far, proves `call` and its segments sound.
pub(crate) fn record_proof(cx: &context::GatewayContext, call: &call::Call) {
    update(cx, |crashes| crashes.record_proof(&call.suspects(), boot_clock::now()));
}

/// Returns what `call` is quarantined for.
fn find_quarantine(
    cx: &context::GatewayContext,
    call: &call::Call,
) -> Option<(crash_record::Suspect, quarantine::Quarantine)> {
    let crashes = cx.crashes.borrow();
    let (suspect, quarantine) = crashes.quarantined(&call.suspects())?;
    Some((suspect, quarantine.clone()))
}

/// Returns how long the request is quarantined, or `None` if it isn't.
pub(crate) fn quarantine_remaining(cx: &context::GatewayContext, call: &call::Call) -> Option<Duration> {
    let (_, quarantine) = find_quarantine(cx, call)?;
    Some(crash_evidence::CrashEvidence::remaining(&quarantine, boot_clock::now()))
}

/// Returns the kind of problem to report if the request is quarantined.
pub(crate) fn quarantine_problem_kind(cx: &context::GatewayContext, call: &call::Call) -> Option<problem::ProblemKind> {
    find_quarantine(cx, call).map(|(suspect, _)| problem_kind(suspect))
}

/// Returns the problem to report if the request is quarantined.
pub(crate) fn quarantine_problem(cx: &context::GatewayContext, call: &call::Call) -> Option<problem::Problem> {
    let (suspect, quarantine) = find_quarantine(cx, call)?;
    let remaining = crash_evidence::CrashEvidence::remaining(&quarantine, boot_clock::now());
    let detail = format!(
        "{} endpoints crashed on {} {}",
        quarantine.crashes,
        name(suspect),
        quarantine.suspect
    );
    Some(refuse::with_wait(cx, problem_kind(suspect), detail, remaining))
}

/// Returns the name of `suspect` for log messages and problems.
fn name(suspect: crash_record::Suspect) -> &'static str {
    match suspect {
        crash_record::Suspect::Segment => "segment",
        crash_record::Suspect::Request => "request",
    }
}

fn problem_kind(suspect: crash_record::Suspect) -> problem::ProblemKind {
    match suspect {
        crash_record::Suspect::Segment => problem::ProblemKind::SegmentQuarantined,
        crash_record::Suspect::Request => problem::ProblemKind::RequestQuarantined,
    }
}

/// Changes the evidence, and logs what is quarantined or released by that.
pub(crate) fn update<F, R>(cx: &context::GatewayContext, change: F) -> R
where
    F: FnOnce(&mut crash_record::CrashRecord) -> R,
{
    let mut crashes = cx.crashes.borrow_mut();
    let state_of = |crashes: &crash_record::CrashRecord, suspect| {
        let evidence = crashes.evidence(suspect);
        (evidence.quarantines().to_vec(), evidence.dropped_quarantines())
    };
    let before = crash_record::Suspect::ALL.map(|suspect| state_of(&crashes, suspect));
    let result = change(&mut crashes);
    for (suspect, (former, dropped_before)) in crash_record::Suspect::ALL.into_iter().zip(before) {
        let evidence = crashes.evidence(suspect);
        report_changes(cx, suspect, &former, evidence);
        let dropped = evidence.dropped_quarantines() - dropped_before;
        if dropped > 0 {
            warn!(cx.log, "no room for all quarantines of {}s", name(suspect); "dropped" => dropped);
            cx.metrics.record_dropped_quarantines(dropped);
        }
    }
    result
}

/// Logs and counts what was quarantined or released between two verdicts.
fn report_changes(
    cx: &context::GatewayContext,
    suspect: crash_record::Suspect,
    before: &[quarantine::Quarantine],
    evidence: &crash_evidence::CrashEvidence,
) {
    let (after, now) = (evidence.quarantines(), boot_clock::now());
    let proof_age = |q: &quarantine::Quarantine| evidence.proof_age(&q.suspect, now).map(|age| age.as_millis() as u64);
    let is_in = |list: &[quarantine::Quarantine], q: &quarantine::Quarantine| {
        list.binary_search_by(|known| known.suspect.cmp(&q.suspect)).is_ok()
    };
    let log_key = match suspect {
        crash_record::Suspect::Segment => "segment",
        crash_record::Suspect::Request => "content",
    };
    for quarantine in after.iter().filter(|q| !is_in(before, q)) {
        warn!(cx.log, "{} quarantined", name(suspect);
            log_key => quarantine.suspect.as_ref(), "crashes" => quarantine.crashes,
            "moments" => quarantine.moments, "partners" => quarantine.partners.join(","),
            "proved_ms_ago" => proof_age(quarantine));
    }
    for quarantine in before.iter().filter(|q| !is_in(after, q)) {
        info!(cx.log, "{} released", name(suspect);
            log_key => quarantine.suspect.as_ref(), "proved_ms_ago" => proof_age(quarantine));
    }
    match suspect {
        crash_record::Suspect::Request => cx.metrics.set_quarantined_requests(after.len()),
        crash_record::Suspect::Segment => cx.metrics.set_quarantined_segments(after.len()),
    }
}
