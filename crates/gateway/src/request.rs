//! The state of one request on its way through endpoints, and how it ends.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use slog::info;
use sycamorestile_core::direct::{attempts, endpoint};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;

use crate::context;
use crate::handle;
use crate::refuse;
use crate::response_body;

/// Wait that a refusal names while a whole service is out. Groups take seconds to come back, and a request that was
/// refused once has missed its objective anyway; callers cut longer waits to what their deadline allows.
pub(crate) const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(2_200);
/// Wait that a refusal names when endpoints are out of reach or full.
const ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Status in logs and metrics of a request that got no answer since its caller had left; never sent.
const CALLER_LEFT: u16 = 499;

/// A request's place at an endpoint. Gives the place up when dropped.
pub(crate) struct EndpointSlot {
    pub(crate) cx: Rc<context::GatewayContext>,
    pub(crate) endpoint: Arc<endpoint::Endpoint>,
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        self.cx.placement.borrow_mut().attempt_ended(&self.endpoint.id);
    }
}

/// The state of one request's way.
pub(crate) struct RequestContext {
    pub(crate) call: handle::Call,
    pub(crate) attempts: attempts::RequestAttempts,
    /// Endpoints that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<Arc<str>>,
    /// Why the last send came to nothing.
    pub(crate) last_failure: &'static str,
    /// What a refusal before any send was decided by.
    pub(crate) detail: String,
    /// Whether its end was logged.
    pub(crate) is_logged: Cell<bool>,
    pub(crate) cx: Rc<context::GatewayContext>,
}

impl Drop for RequestContext {
    /// Logs the end of a request whose caller left before there was an answer: its task is dropped with the caller's
    /// connection.
    fn drop(&mut self) {
        if !self.is_logged.get() {
            let took = boot_clock::now().since(self.call.started);
            self.cx.metrics.record_outcome(CALLER_LEFT, "caller left");
            log_finished(&self.cx, self, CALLER_LEFT, "caller left", took);
        }
    }
}

impl RequestContext {
    /// Logs a send that gave nothing to hand on, and what follows from it.
    pub(crate) fn attempt_failed(
        &mut self,
        cx: &context::GatewayContext,
        why: &'static str,
        next: attempts::NextAttempt,
    ) {
        self.last_failure = why;
        let endpoint = self.tried.last().map(AsRef::as_ref);
        let now = boot_clock::now();
        info!(cx.log, "send came to nothing";
            "request" => self.call.id(), "endpoint" => endpoint, "why" => why, "next" => format!("{next:?}"),
            "sent" => self.attempts.sent_count(),
            "under_way" => endpoint.map(|id| cx.placement.borrow().in_flight(id, now)),
            "ms" => now.since(self.call.started).as_millis() as u64);
    }
}

/// Why nothing more is sent, if so. Takes a further send from the retry budget.
pub(crate) fn stop_reason(
    cx: &context::GatewayContext,
    req_cx: &RequestContext,
    next: attempts::NextAttempt,
) -> Option<problem::ProblemKind> {
    let problem_kind = |outcome| match outcome {
        attempts::FailureOutcome::NotRun => problem::ProblemKind::NoEndpoint,
        attempts::FailureOutcome::Unknown => problem::ProblemKind::AnswerLost,
    };
    let is_stream = req_cx.call.grant.route.kind.is_stream();
    let service = &req_cx.call.grant.route.targets.first()?.service;
    let now = boot_clock::now();
    match next {
        attempts::NextAttempt::End(outcome) => Some(problem_kind(outcome)),
        // Every endpoint of the service would refuse as well, and only after a stall.
        attempts::NextAttempt::Send { .. }
            if is_stream && cx.with_outage_detector(service, |o| o.is_unavailable(now)) =>
        {
            Some(problem_kind(req_cx.attempts.failure_outcome()))
        }
        attempts::NextAttempt::Send { repeat: false } => None,
        attempts::NextAttempt::Send { repeat: true } => {
            let instances = cx.placement.borrow().live_peers(now) + 1;
            let instances = instances.max(cx.snapshot().gateways.len());
            if cx.with_retry_share(service, |share| share.try_spend(now, instances)) {
                cx.metrics.record_repeated_send();
                None
            } else {
                Some(problem_kind(req_cx.attempts.failure_outcome()))
            }
        }
    }
}

/// The problem that ends a request of which nothing can be handed on.
pub(crate) fn failure_response(
    cx: &context::GatewayContext,
    req_cx: &RequestContext,
    kind: problem::ProblemKind,
) -> Response<response_body::ResponseBody> {
    // Whatever the reason, only a request that no endpoint can have run is called not run.
    let kind = match req_cx.attempts.failure_outcome() {
        attempts::FailureOutcome::NotRun => kind,
        attempts::FailureOutcome::Unknown
            if kind == problem::ProblemKind::DeadlineBeforeStart || boot_clock::now() >= req_cx.call.deadline =>
        {
            problem::ProblemKind::DeadlineAfterStart
        }
        attempts::FailureOutcome::Unknown => problem::ProblemKind::AnswerLost,
    };
    let problem = if kind.is_transient() {
        refuse::with_wait(cx, kind, req_cx.last_failure, retry_wait(cx, req_cx))
    } else {
        problem::Problem::new(kind, req_cx.last_failure)
    };
    refuse::response(cx, &problem)
}

/// The wait that a refusal names.
pub(crate) fn retry_wait(cx: &context::GatewayContext, req_cx: &RequestContext) -> Duration {
    let target = req_cx.call.grant.route.targets.first();
    let now = boot_clock::now();
    let is_unavailable = target.is_some_and(|t| cx.with_outage_detector(&t.service, |o| o.is_unavailable(now)));
    if is_unavailable {
        OUTAGE_RETRY_AFTER
    } else {
        ENDPOINT_RETRY_AFTER
    }
}

/// Logs how a request ended.
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
        "left_ms" => req_cx.call.deadline.since(now).as_millis() as u64,
        "version" => snapshot.declared.as_ref().map(|d| d.version),
        "age_ms" => snapshot.freshness.age(now).map(|a| a.as_millis() as u64));
}
