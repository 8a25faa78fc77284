//! Detects crashes of endpoints from broken responses, and refuses requests that are quarantined for them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use sycamorestile_core::direct::{broken_responses, crash_evidence, crash_record, endpoint, quarantine, trials};
use sycamorestile_core::{problem, time};
use sycamorestile_table::boot_clock;

use crate::call;
use crate::context;
use crate::pool;
use crate::refuse;

/// Number of suspects that are logged one by one when a verdict changes, and number of partners in each line. All segments of a
/// prompt may be quarantined at once.
const MAX_LOGGED_CHANGES: usize = 16;

/// How much of a response had arrived when it broke off.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// The number of events.
    pub(crate) events: usize,
    /// The time from the first to the last event.
    pub(crate) written_for: Duration,
    /// The time from the first event until the connection was closed. It is measured by a clock that stops while the instance
    /// is suspended, since a connection that broke in that time would seem to have lasted.
    pub(crate) held_for: Duration,
}

/// Checks whether the response of `endpoint` to `call` broke off because the endpoint crashed, and records the crash.
/// Returns whether it did, as far as can be told now.
pub(crate) async fn examine_broken_response(
    cx: &context::GatewayContext,
    call: &call::Call,
    endpoint: &Arc<endpoint::Endpoint>,
    progress: Progress,
) -> bool {
    if crash_evidence::is_proof(progress.written_for, false) {
        return false;
    }
    match pool::Pool::probe(endpoint).await {
        pool::Reachability::Refuses => {}
        pool::Reachability::Accepts if crash_evidence::has_survived(progress.events, progress.held_for) => {
            record_survival(cx, call, endpoint, progress);
            return false;
        }
        pool::Reachability::Accepts => {
            cx.broken_responses
                .borrow_mut()
                .record(broken_responses::BrokenResponse {
                    endpoint: Arc::clone(endpoint),
                    suspects: call.suspects(),
                    at: boot_clock::now(),
                });
            return false;
        }
        pool::Reachability::Unreachable => return false,
    }
    let is_news = record_crash(cx, &endpoint.id, &call.suspects().as_ref(), boot_clock::now());
    info!(cx.log, "endpoint crashed at the beginning of a response";
        "request" => call.id(), "endpoint" => endpoint.id.as_ref(), "segments" => call.segments_for_log(),
        "content" => call.content.as_ref(),
        "written_ms" => progress.written_for.as_millis() as u64, "news" => is_news);
    true
}

/// Checks whether `endpoint` lives although its response to `call` went silent, which proves the segments of `call` sound.
/// Nothing is asked of an endpoint that can prove nothing new, and the request doesn't wait for the answer.
pub(crate) fn examine_silent_response(
    cx: &Rc<context::GatewayContext>,
    call: &Rc<call::Call>,
    endpoint: &Arc<endpoint::Endpoint>,
    progress: Progress,
) {
    let has_unproved = |crashes: &crash_record::CrashRecord| {
        let evidence = crashes.evidence(crash_record::Suspect::Segment);
        evidence.has_unproved(call.suspects().as_ref().segments)
    };
    if !crash_evidence::has_survived(progress.events, progress.held_for) || !has_unproved(&cx.crashes.borrow()) {
        return;
    }
    let (cx, call, endpoint) = (Rc::clone(cx), Rc::clone(call), Arc::clone(endpoint));
    tokio::task::spawn_local(async move {
        if pool::Pool::probe(&endpoint).await == pool::Reachability::Accepts {
            record_survival(&cx, &call, &endpoint, progress);
        }
    });
}

/// Records that `endpoint` lives after it had begun to answer `call`.
fn record_survival(cx: &context::GatewayContext, call: &call::Call, endpoint: &endpoint::Endpoint, progress: Progress) {
    info!(cx.log, "endpoint lives after a response that was not completed"; "endpoint" => endpoint.id.as_ref(),
        "segments" => call.segments_for_log(), "events" => progress.events,
        "held_ms" => progress.held_for.as_millis() as u64);
    record_proof(cx, call);
}

/// Records that a test of a quarantined suspect showed no result, since the response of `endpoint` to `call` was lost. That
/// counts as a crash, so that tests come to an end.
pub(crate) fn record_lost_test(cx: &context::GatewayContext, call: &call::Call, endpoint: &Arc<str>) {
    let is_news = record_crash(cx, endpoint, &call.suspects().as_ref(), boot_clock::now());
    info!(cx.log, "test of a quarantine showed no result"; "request" => call.id(),
        "endpoint" => endpoint.as_ref(), "news" => is_news);
}

/// Records the crashes of endpoints which accepted connections after they broke a response, but whose processes have been
/// replaced since.
pub(crate) fn examine_replacements(cx: &context::GatewayContext, now: time::Time) {
    let crashed = cx
        .broken_responses
        .borrow_mut()
        .take_crashed(&cx.snapshot().endpoints, now);
    for response in crashed {
        let is_news = record_crash(cx, &response.endpoint.id, &response.suspects.as_ref(), response.at);
        info!(cx.log, "endpoint that broke a response was replaced by a later process";
            "endpoint" => response.endpoint.id.as_ref(), "ago_ms" => now.since(response.at).as_millis() as u64,
            "news" => is_news);
    }
}

/// Records a crash of `endpoint` at the time `at`. Returns whether that is news.
fn record_crash(
    cx: &context::GatewayContext,
    endpoint: &Arc<str>,
    suspects: &crash_record::Suspects<'_>,
    at: time::Time,
) -> bool {
    let is_news = update(cx, |crashes| crashes.record_crash(endpoint, suspects, at));
    if is_news {
        cx.metrics.crashes.record_crash();
        cx.fact_news.notify_one();
    }
    is_news
}

/// Records that a response, or the part of it that was written so far, proves `call` and its segments sound.
pub(crate) fn record_proof(cx: &context::GatewayContext, call: &call::Call) {
    let suspects = call.suspects();
    let quarantine_count = || {
        let crashes = cx.crashes.borrow();
        let counts = crash_record::Suspect::ALL.map(|suspect| crashes.evidence(suspect).quarantines().len());
        counts.iter().sum::<usize>()
    };
    let before = quarantine_count();
    update(cx, |crashes| {
        crashes.record_proof(&suspects.as_ref(), boot_clock::now());
    });
    // Other gateways refuse what is released here until they learn of the proof.
    if quarantine_count() < before {
        cx.fact_news.notify_one();
    }
}

/// Decides whether `call` is sent, and whether that is a test of a quarantine.
///
/// # Errors
///
/// Returns the problem to report if it is refused.
pub(crate) fn admit(cx: &Rc<context::GatewayContext>, call: &call::Call) -> Result<Option<Test>, problem::Problem> {
    let now = boot_clock::now();
    let peers = cx.placement.borrow().live_peer_ids(now);
    let instances = trials::Instances {
        own: &cx.settings.instance,
        peers: &peers,
        started: cx.started,
    };
    let suspects = call.suspects();
    if cx.crashes.borrow().may_unfold(&suspects.as_ref()) {
        update(cx, |crashes| crashes.unfold(&suspects.as_ref(), now));
    }
    let admission = cx.crashes.borrow_mut().admit(&suspects.as_ref(), &instances, now);
    match admission {
        crash_record::Admission::Admitted => Ok(None),
        crash_record::Admission::Trial(tested) => {
            warn!(cx.log, "testing a quarantine"; "request" => call.id(), "suspect" => tested.as_ref());
            cx.metrics.crashes.record_test();
            Ok(Some(Test {
                cx: Rc::clone(cx),
                tested,
            }))
        }
        crash_record::Admission::Refused {
            suspect,
            quarantine,
            wait,
        } => {
            let detail = format!(
                "{} endpoints crashed on {} {}",
                quarantine.crashes,
                name(suspect),
                quarantine.suspect
            );
            Err(refuse::with_wait(cx, problem_kind(suspect), detail, wait))
        }
    }
}

/// A request that tests a quarantined suspect, until it ends.
pub(crate) struct Test {
    cx: Rc<context::GatewayContext>,
    tested: Arc<str>,
}

impl Drop for Test {
    fn drop(&mut self) {
        self.cx.crashes.borrow_mut().end_trial(&self.tested);
    }
}

/// Returns what `call` is quarantined for.
fn find_quarantine(
    cx: &context::GatewayContext,
    call: &call::Call,
) -> Option<(crash_record::Suspect, quarantine::Quarantine)> {
    let crashes = cx.crashes.borrow();
    let suspects = call.suspects();
    let (suspect, quarantine) = crashes.quarantined(&suspects.as_ref())?;
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
        let counts = (evidence.dropped_quarantines(), evidence.left_out_suspects());
        (evidence.quarantines().to_vec(), counts)
    };
    let before = crash_record::Suspect::ALL.map(|suspect| state_of(&crashes, suspect));
    let result = change(&mut crashes);
    for (suspect, (former, (dropped_before, left_out_before))) in crash_record::Suspect::ALL.into_iter().zip(before) {
        let evidence = crashes.evidence(suspect);
        report_changes(cx, suspect, &former, evidence);
        let dropped = evidence.dropped_quarantines() - dropped_before;
        if dropped > 0 {
            warn!(cx.log, "no room for all quarantines of {}s", name(suspect); "dropped" => dropped);
            cx.metrics.crashes.record_dropped_quarantines(dropped);
        }
        let left_out = evidence.left_out_suspects() - left_out_before;
        if left_out > 0 {
            cx.metrics.crashes.record_left_out_suspects(left_out);
        }
    }
    result
}

/// Returns the suspects that explain the same crashes as well as the one of `quarantine` does.
fn partners_for_log(quarantine: &quarantine::Quarantine) -> String {
    let mut others = quarantine.partners.iter().filter(|p| **p != quarantine.suspect);
    let mut text: Vec<&str> = others.by_ref().take(MAX_LOGGED_CHANGES).map(AsRef::as_ref).collect();
    if others.next().is_some() {
        text.push("and others");
    }
    text.join(",")
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
    let (added, removed) = (
        after.iter().filter(|q| !is_in(before, q)),
        before.iter().filter(|q| !is_in(after, q)),
    );
    for quarantine in added.clone().take(MAX_LOGGED_CHANGES) {
        warn!(cx.log, "{} quarantined", name(suspect);
            log_key => quarantine.suspect.as_ref(), "crashes" => quarantine.crashes,
            "moments" => quarantine.moments, "partners" => partners_for_log(quarantine),
            "proved_ms_ago" => proof_age(quarantine));
    }
    for quarantine in removed.clone().take(MAX_LOGGED_CHANGES) {
        info!(cx.log, "{} released", name(suspect);
            log_key => quarantine.suspect.as_ref(), "proved_ms_ago" => proof_age(quarantine));
    }
    let (added, removed) = (
        added.skip(MAX_LOGGED_CHANGES).count(),
        removed.skip(MAX_LOGGED_CHANGES).count(),
    );
    if added + removed > 0 {
        let mut names: Vec<&str> = after
            .iter()
            .take(MAX_LOGGED_CHANGES)
            .map(|q| q.suspect.as_ref())
            .collect();
        if after.len() > names.len() {
            names.push("and others");
        }
        warn!(cx.log, "further {}s were quarantined or released", name(suspect);
            "quarantined" => added, "released" => removed, "now" => names.join(","));
    }
    match suspect {
        crash_record::Suspect::Request => cx.metrics.crashes.set_quarantined_requests(after.len()),
        crash_record::Suspect::Segment => cx.metrics.crashes.set_quarantined_segments(after.len()),
    }
}
