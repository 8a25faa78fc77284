//! The state of one request across its attempts, and the response and log line that end it.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use slog::info;
use sycamorestile_core::direct::{attempts, endpoint, peer_rows, retry_share};
use sycamorestile_core::problem;
use sycamorestile_core::time;
use sycamorestile_table::boot_clock;

use crate::call;
use crate::context;
use crate::crash_watch;
use crate::refuse;
use crate::response_account;
use crate::response_body;
use crate::waiting;

/// The `Retry-After` of a refusal while a whole service is unavailable. Groups take seconds to recover, and a request
/// that was refused once has missed its latency objective anyway. Callers shorten the wait to what their deadline
/// allows.
pub(crate) const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(2_200);
/// The `Retry-After` of a refusal when endpoints are unreachable or full.
pub(crate) const ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The status in logs and metrics of a request whose caller disconnected before the response. It is never sent.
const CALLER_DISCONNECTED: u16 = 499;

/// The state of one request across its attempts.
pub(crate) struct RequestContext {
    pub(crate) call: Rc<call::Call>,
    pub(crate) attempts: attempts::RequestAttempts,
    /// The endpoints of all attempts so far, including those that could not be reached.
    pub(crate) tried: Vec<Arc<str>>,
    /// Why the last attempt failed.
    pub(crate) last_failure: &'static str,
    /// Whether a connection broke in a way that doesn't tell whether its endpoint crashed under the request.
    pub(crate) needs_fresh_connection: bool,
    /// Whether an endpoint crashed when it had just begun the request.
    pub(crate) endpoint_crashed: bool,
    /// Present if the request tests a quarantine.
    pub(crate) test: Option<crash_watch::Test>,
    /// What is set aside for a large response, until it is read.
    pub(crate) response_share: Option<response_account::Share>,
    /// The reason for a refusal before the first attempt.
    pub(crate) detail: String,
    /// The time from the start of the request to the head of a streamed response.
    pub(crate) first_byte_after: Option<Duration>,
    /// The longest pause between two events of a streamed response.
    pub(crate) longest_pause: Duration,
    /// Whether the end of the request was logged.
    pub(crate) is_logged: Cell<bool>,
    pub(crate) cx: Rc<context::GatewayContext>,
}

impl Drop for RequestContext {
    /// Logs the end of a request whose caller disconnected before the response. The task of such a request is dropped
    /// together with the caller's connection.
    fn drop(&mut self) {
        if !self.is_logged.get() {
            let took = boot_clock::now().since(self.call.started);
            self.cx.metrics.record_outcome(CALLER_DISCONNECTED, "caller left");
            log_finished(&self.cx, self, CALLER_DISCONNECTED, "caller left", took);
        }
    }
}

impl RequestContext {
    /// Records why an attempt failed and logs it together with the next step.
    pub(crate) fn attempt_failed(
        &mut self,
        cx: &context::GatewayContext,
        why: &'static str,
        next: attempts::NextAttempt,
    ) {
        self.last_failure = why;
        let endpoint = self.tried.last().map(AsRef::as_ref);
        let now = boot_clock::now();
        info!(cx.log, "attempt failed";
            "request" => self.call.id(), "endpoint" => endpoint, "why" => why, "next" => format!("{next:?}"),
            "sent" => self.attempts.sent_count(), "segments" => self.call.segments_for_log(),
            "content" => self.call.content.as_ref(),
            "under_way" => endpoint.map(|id| cx.placement.borrow().in_flight(id, now)),
            "ms" => now.since(self.call.started).as_millis() as u64);
        self.end_test(cx);
    }

    /// Records the end of `endpoint` if the response broke off because it crashed. See
    /// [`crash_watch::examine_broken_response`].
    pub(crate) async fn examine_broken_response(
        &mut self,
        cx: &context::GatewayContext,
        endpoint: &Arc<endpoint::Endpoint>,
        progress: crash_watch::Progress,
    ) {
        self.endpoint_crashed |= crash_watch::examine_broken_response(cx, &self.call, endpoint, progress).await;
    }

    /// Records what attempts tell of their endpoints that waited and have ended without a response.
    pub(crate) async fn examine_lost(&mut self, cx: &context::GatewayContext, lost: Vec<waiting::Lost>) {
        for attempt in lost {
            info!(cx.log, "silent attempt ended"; "request" => self.call.id(),
                "endpoint" => attempt.endpoint.id.as_ref(), "why" => attempt.why);
            cx.placement
                .borrow_mut()
                .record_failure(&attempt.endpoint.id, boot_clock::now());
            if let Some(progress) = attempt.broken {
                self.examine_broken_response(cx, &attempt.endpoint, progress).await;
            }
        }
    }

    /// Makes the endpoint `id`, which was tried before, the one of the current attempt.
    pub(crate) fn set_current(&mut self, id: &Arc<str>) {
        self.tried.retain(|tried| tried != id);
        self.tried.push(Arc::clone(id));
    }

    /// Records that a silent attempt goes on, and that the one beside it was withdrawn.
    pub(crate) fn attempt_went_on(&mut self, cx: &context::GatewayContext) {
        self.attempts.set_aside();
        cx.metrics.record_kept_attempt();
        info!(cx.log, "silent attempt went on"; "request" => self.call.id(), "sent" => self.attempts.sent_count(),
            "ms" => boot_clock::now().since(self.call.started).as_millis() as u64);
    }

    /// Ends the test of a quarantine if its response was lost.
    fn end_test(&mut self, cx: &context::GatewayContext) {
        let is_lost = self.attempts.failure_outcome() == attempts::FailureOutcome::Unknown;
        let Some(endpoint) = self.tried.last().filter(|_| is_lost) else {
            return;
        };
        let is_quarantined = crash_watch::quarantine_problem_kind(cx, &self.call).is_some();
        if self.test.take().is_some() && is_quarantined && !self.endpoint_crashed {
            crash_watch::record_lost_test(cx, &self.call, endpoint);
        }
    }
}

/// Returns the problem to report if no further attempt may be made, or `None` if the attempt that `next` allows may be
/// made.
pub(crate) fn stop_reason(
    cx: &context::GatewayContext,
    req_cx: &RequestContext,
    next: attempts::NextAttempt,
) -> Option<problem::ProblemKind> {
    let is_stream = req_cx.call.grant.route.kind.is_stream();
    let service = &req_cx.call.grant.route.targets.first()?.service;
    let now = boot_clock::now();
    match next {
        attempts::NextAttempt::End(outcome) => Some(problem_kind(outcome)),
        // All endpoints of the service would refuse the request too, and only after a stall.
        attempts::NextAttempt::Send { .. } if is_stream && cx.outages.with(service, |o| o.is_unavailable(now)) => {
            Some(problem_kind(req_cx.attempts.failure_outcome()))
        }
        // The request itself may have crashed the endpoint, and would crash the next one too.
        attempts::NextAttempt::Send { .. }
            if req_cx.endpoint_crashed && !cx.crashes.borrow().allows_repeat(&req_cx.call.suspects().as_ref()) =>
        {
            Some(problem_kind(req_cx.attempts.failure_outcome()))
        }
        attempts::NextAttempt::Send { .. } => None,
    }
}

fn problem_kind(outcome: attempts::FailureOutcome) -> problem::ProblemKind {
    match outcome {
        attempts::FailureOutcome::NotRun => problem::ProblemKind::NoEndpoint,
        attempts::FailureOutcome::Unknown => problem::ProblemKind::AnswerLost,
    }
}

/// Counts an attempt at an endpoint of `service` towards its retry budget: the first one as a request, and one after a
/// request was sent as a repeat.
///
/// # Errors
///
/// Returns the problem to report if the budget allows no repeat.
pub(crate) fn count_attempt(
    cx: &context::GatewayContext,
    req_cx: &mut RequestContext,
    service: &Arc<str>,
) -> Result<(), problem::ProblemKind> {
    let now = boot_clock::now();
    if req_cx.attempts.count_request() {
        cx.retry_shares.with(service, |share| share.record_request(now));
    }
    if req_cx.attempts.sent_count() == 0 || spend_retry(cx, &req_cx.call, service, now) {
        Ok(())
    } else {
        Err(problem_kind(req_cx.attempts.failure_outcome()))
    }
}

/// Charges a repeated attempt of `call` to this instance's share of the retry budget of `service`. Returns `false` if
/// the share is used up.
fn spend_retry(cx: &context::GatewayContext, call: &call::Call, service: &Arc<str>, now: time::Time) -> bool {
    let sharers = sharers(cx, now);
    cx.retry_shares.with(service, |share| {
        let is_spent = share.try_spend(now, sharers);
        if is_spent {
            cx.metrics.record_repeated_send();
        } else {
            cx.metrics.record_withheld_repeat();
            info!(cx.log, "retry budget is used up";
                "request" => call.id(), "service" => service.as_ref(), "spent" => share.spent(),
                "share" => share.share(now, sharers), "instances" => sharers.instances,
                "is_system_start" => sharers.is_system_start, "is_draining" => sharers.is_draining);
        }
        is_spent
    })
}

/// Returns whether the request could be sent to another endpoint if the current attempt were abandoned.
pub(crate) fn can_move(cx: &context::GatewayContext, req_cx: &RequestContext, service: &Arc<str>) -> bool {
    let now = boot_clock::now();
    let snapshot = cx.snapshot();
    let allowed = cx.restrictions.borrow().allowed(snapshot.endpoints_of(service), now);
    let has_other = cx.placement.borrow().has_usable(&allowed, &req_cx.tried, now);
    let sharers = sharers(cx, now);
    has_other && req_cx.attempts.may_abandon() && cx.retry_shares.with(service, |share| share.can_spend(now, sharers))
}

/// Returns what is known of the instances that share the retry budget.
fn sharers(cx: &context::GatewayContext, now: time::Time) -> retry_share::Sharers {
    let snapshot = cx.snapshot();
    let listed = snapshot
        .gateway_count
        .largest_within(cx.settings.retry_limit.memory(), now);
    let instances = listed.max(cx.placement.borrow().live_peers(now) + 1);
    let is_counted = peer_rows::counts_for_others(*cx.own_row_written.borrow(), now);
    retry_share::Sharers {
        instances: (snapshot.gateways_known && is_counted).then_some(instances),
        is_system_start: cx.settings.is_system_start,
        is_draining: cx.is_draining(),
    }
}

/// Returns the response to a request whose attempts gave no response to forward.
pub(crate) fn failure_response(
    cx: &context::GatewayContext,
    req_cx: &RequestContext,
    kind: problem::ProblemKind,
) -> Response<response_body::ResponseBody> {
    // A request is reported as not run only if no endpoint can have run it, whatever the reason for the failure.
    let kind = match req_cx.attempts.failure_outcome() {
        attempts::FailureOutcome::NotRun => kind,
        attempts::FailureOutcome::Unknown
            if kind == problem::ProblemKind::DeadlineBeforeStart || boot_clock::now() >= req_cx.call.deadline =>
        {
            problem::ProblemKind::DeadlineAfterStart
        }
        attempts::FailureOutcome::Unknown => problem::ProblemKind::AnswerLost,
    };
    let problem = if kind == problem::ProblemKind::Leaving {
        refuse::problem(cx, kind)
    } else if kind.is_transient() {
        refuse::with_wait(cx, kind, req_cx.last_failure, retry_wait(cx, req_cx))
    } else {
        problem::Problem::new(kind, req_cx.last_failure)
    };
    refuse::response(cx, &problem)
}

/// Returns the wait for the `Retry-After` of a refusal.
pub(crate) fn retry_wait(cx: &context::GatewayContext, req_cx: &RequestContext) -> Duration {
    if let Some(remaining) = crash_watch::quarantine_remaining(cx, &req_cx.call) {
        return remaining;
    }
    let target = req_cx.call.grant.route.targets.first();
    let now = boot_clock::now();
    let is_unavailable = target.is_some_and(|t| cx.outages.with(&t.service, |o| o.is_unavailable(now)));
    if is_unavailable {
        return OUTAGE_RETRY_AFTER;
    }
    let snapshot = cx.snapshot();
    let endpoints = target.map_or(&[][..], |t| snapshot.endpoints_of(&t.service));
    let unavailability = cx.restrictions.borrow().unavailability(endpoints, now);
    unavailability.and_then(|u| u.wait).unwrap_or(ENDPOINT_RETRY_AFTER)
}

/// Records the end of a request in metrics and the log, and returns its `response`.
pub(crate) fn finish(
    cx: &context::GatewayContext,
    req_cx: &RequestContext,
    response: Response<response_body::ResponseBody>,
    reason: &str,
) -> Response<response_body::ResponseBody> {
    let took = boot_clock::now().since(req_cx.call.started);
    let status = response.status().as_u16();
    cx.metrics.record_outcome(status, reason);
    cx.metrics
        .observe_whole(req_cx.call.organisation(), req_cx.call.kind(), took);
    log_finished(cx, req_cx, status, reason, took);
    response
}

/// Logs the end of a request. `reason` says how it ended.
pub(crate) fn log_finished(
    cx: &context::GatewayContext,
    req_cx: &RequestContext,
    status: u16,
    reason: &str,
    took: Duration,
) {
    req_cx.is_logged.set(true);
    let snapshot = cx.snapshot();
    let now = boot_clock::now();
    info!(cx.log, "request ended";
        "request" => req_cx.call.id(), "route" => req_cx.call.grant.route.name.as_ref(), "kind" => req_cx.call.kind(),
        "organisation" => req_cx.call.organisation().map(AsRef::as_ref), "status" => status, "reason" => reason,
        "last" => req_cx.last_failure, "detail" => &req_cx.detail, "endpoints" => req_cx.tried.join(","),
        "sent" => req_cx.attempts.sent_count(), "ms" => took.as_millis() as u64,
        "first_ms" => req_cx.first_byte_after.map(|t| t.as_millis() as u64),
        "longest_pause_ms" => req_cx.longest_pause.as_millis() as u64,
        "left_ms" => req_cx.call.deadline.since(now).as_millis() as u64,
        "version" => snapshot.declared.as_ref().map(|d| d.version),
        "age_ms" => snapshot.freshness.age(now).map(|a| a.as_millis() as u64));
}
