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

use crate::cx;
use crate::handle;
use crate::refuse;
use crate::stream;

/// Wait that a refusal names while a whole service is out. Groups take seconds to come back, and a request that was
/// refused once has missed its objective anyway; callers cut longer waits to what their deadline allows.
pub(crate) const OUTAGE_WAIT: Duration = Duration::from_millis(2_200);
/// Wait that a refusal names when endpoints are out of reach or full.
const ENDPOINT_WAIT: Duration = Duration::from_millis(500);

/// Status in logs and metrics of a request that got no answer since its caller had left; never sent.
const CALLER_LEFT: u16 = 499;

/// A request's place at an endpoint. Gives the place up when dropped.
pub(crate) struct Place {
    pub(crate) cx: Rc<cx::Cx>,
    pub(crate) endpoint: Arc<endpoint::Endpoint>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.cx.placement.borrow_mut().attempt_ended(&self.endpoint.id);
    }
}

/// The state of one request's way.
pub(crate) struct Way {
    pub(crate) call: handle::Call,
    pub(crate) relay: attempts::RequestAttempts,
    /// Endpoints that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<Arc<str>>,
    /// Why the last send came to nothing.
    pub(crate) why: &'static str,
    /// What a refusal before any send was decided by.
    pub(crate) detail: String,
    /// Whether its end was logged.
    pub(crate) ended: Cell<bool>,
    pub(crate) cx: Rc<cx::Cx>,
}

impl Drop for Way {
    /// Logs the end of a request whose caller left before there was an answer: its task is dropped with the caller's
    /// connection.
    fn drop(&mut self) {
        if !self.ended.get() {
            let took = boot_clock::now().since(self.call.started);
            self.cx.metrics.outcome(CALLER_LEFT, "caller left");
            log_end(&self.cx, self, CALLER_LEFT, "caller left", took);
        }
    }
}

impl Way {
    /// Logs a send that gave nothing to hand on, and what follows from it.
    pub(crate) fn came_to_nothing(&mut self, cx: &cx::Cx, why: &'static str, next: attempts::NextAttempt) {
        self.why = why;
        let endpoint = self.tried.last().map(AsRef::as_ref);
        let now = boot_clock::now();
        info!(cx.log, "send came to nothing";
            "request" => self.call.id(), "endpoint" => endpoint, "why" => why, "next" => format!("{next:?}"),
            "sent" => self.relay.sent_count(),
            "under_way" => endpoint.map(|id| cx.placement.borrow().in_flight(id, now)),
            "ms" => now.since(self.call.started).as_millis() as u64);
    }
}

/// Why nothing more is sent, if so. Takes a further send from the retry budget.
pub(crate) fn stopped(cx: &cx::Cx, way: &Way, next: attempts::NextAttempt) -> Option<problem::ProblemKind> {
    let ended = |verdict| match verdict {
        attempts::FailureOutcome::NotRun => problem::ProblemKind::NoEndpoint,
        attempts::FailureOutcome::Unknown => problem::ProblemKind::AnswerLost,
    };
    let is_stream = way.call.grant.route.kind.is_stream();
    let service = &way.call.grant.route.targets.first()?.service;
    let now = boot_clock::now();
    match next {
        attempts::NextAttempt::End(verdict) => Some(ended(verdict)),
        // Every endpoint of the service would refuse as well, and only after a stall.
        attempts::NextAttempt::Send { .. } if is_stream && cx.with_outage(service, |o| o.is_unavailable(now)) => {
            Some(ended(way.relay.failure_outcome()))
        }
        attempts::NextAttempt::Send { repeat: false } => None,
        attempts::NextAttempt::Send { repeat: true } => {
            let instances = cx.placement.borrow().live_peers(now) + 1;
            let instances = instances.max(cx.snapshot().gateways.len());
            if cx.with_retries(service, |share| share.try_spend(now, instances)) {
                cx.metrics.repeat();
                None
            } else {
                Some(ended(way.relay.failure_outcome()))
            }
        }
    }
}

/// The problem that ends a request of which nothing can be handed on.
pub(crate) fn give_up(cx: &cx::Cx, way: &Way, kind: problem::ProblemKind) -> Response<stream::AnswerBody> {
    // Whatever the reason, only a request that no endpoint can have run is called not run.
    let kind = match way.relay.failure_outcome() {
        attempts::FailureOutcome::NotRun => kind,
        attempts::FailureOutcome::Unknown
            if kind == problem::ProblemKind::DeadlineBeforeStart || boot_clock::now() >= way.call.deadline =>
        {
            problem::ProblemKind::DeadlineAfterStart
        }
        attempts::FailureOutcome::Unknown => problem::ProblemKind::AnswerLost,
    };
    let problem = if kind.is_transient() {
        refuse::later(cx, kind, way.why, wait_of(cx, way))
    } else {
        problem::Problem::new(kind, way.why)
    };
    refuse::response(cx, &problem)
}

/// The wait that a refusal names.
pub(crate) fn wait_of(cx: &cx::Cx, way: &Way) -> Duration {
    let target = way.call.grant.route.targets.first();
    let now = boot_clock::now();
    let is_out = target.is_some_and(|t| cx.with_outage(&t.service, |o| o.is_unavailable(now)));
    if is_out { OUTAGE_WAIT } else { ENDPOINT_WAIT }
}

/// Logs how a request ended.
pub(crate) fn conclude(
    cx: &cx::Cx,
    way: &Way,
    response: Response<stream::AnswerBody>,
    reason: &str,
) -> Response<stream::AnswerBody> {
    let took = boot_clock::now().since(way.call.started);
    let status = response.status().as_u16();
    cx.metrics.outcome(status, reason);
    cx.metrics.whole(way.call.organisation(), way.call.kind(), took);
    log_end(cx, way, status, reason, took);
    response
}

pub(crate) fn log_end(cx: &cx::Cx, way: &Way, status: u16, reason: &str, took: Duration) {
    way.ended.set(true);
    let snapshot = cx.snapshot();
    let now = boot_clock::now();
    info!(cx.log, "request ended";
        "request" => way.call.id(), "route" => way.call.grant.route.name.as_ref(), "kind" => way.call.kind(),
        "organisation" => way.call.organisation().map(AsRef::as_ref), "status" => status, "reason" => reason,
        "last" => way.why, "detail" => &way.detail, "endpoints" => way.tried.join(","),
        "sent" => way.relay.sent_count(), "ms" => took.as_millis() as u64,
        "left_ms" => way.call.deadline.since(now).as_millis() as u64,
        "version" => snapshot.declared.as_ref().map(|d| d.version),
        "age_ms" => snapshot.freshness.age(now).map(|a| a.as_millis() as u64));
}
