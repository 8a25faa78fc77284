//! Forwards one request to endpoints until there is a response for the caller.
//!
//! [`attempts::RequestAttempts`] decides what follows a failed attempt, [`attempt`] sends the request to one endpoint,
//! and [`stream_forwarder`] forwards a streamed response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::Response;
use sycamorestile_core::direct::{admission, attempts, outage, response_room};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::attempt;
use crate::call;
use crate::context;
use crate::crash_watch;
use crate::refuse;
use crate::request;
use crate::response_account;
use crate::response_body;
use crate::response_forwarder;
use crate::stream_forwarder;
use crate::withdrawal;

/// The interval at which a delayed stream checks whether passes are short again.
const PASS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Forwards `call` to endpoints and returns the response for the caller.
pub(crate) async fn forward(
    cx: &Rc<context::GatewayContext>,
    call: call::Call,
) -> Response<response_body::ResponseBody> {
    let route = &call.grant.route;
    let mut req_cx = request::RequestContext {
        attempts: attempts::RequestAttempts::new(route.kind, route.max_attempts),
        tried: Vec::new(),
        last_failure: "none",
        needs_fresh_connection: false,
        endpoint_crashed: false,
        test: None,
        response_share: None,
        detail: String::new(),
        first_byte_after: None,
        longest_pause: Duration::ZERO,
        is_logged: Cell::new(false),
        cx: Rc::clone(cx),
        call,
    };
    let admitted = set_room_aside(cx, &req_cx.call).and_then(|share| {
        if let Some(problem) = admit(cx, &req_cx.call) {
            return Err(problem);
        }
        Ok((crash_watch::admit(cx, &req_cx.call)?, share))
    });
    match admitted {
        Ok((test, share)) => {
            req_cx.test = test;
            req_cx.response_share = share;
        }
        Err(problem) => {
            req_cx.detail.clone_from(&problem.detail);
            return request::finish(cx, &req_cx, refuse::response(cx, &problem), problem.kind.slug());
        }
    }
    tokio::select! {
        () = wait_for_short_passes(cx, &req_cx.call) => {}
        () = cx.ending() => {}
    }
    let mut last_event_id = req_cx.call.head.last_event_id.clone();
    // An error response of an endpoint tells the caller more than one of the gateway.
    let mut endpoint_failure = None;
    loop {
        let result = tokio::select! {
            result = attempt::run(cx, &mut req_cx, last_event_id.as_deref()) => result,
            // The attempt is withdrawn, and its caller told whether an endpoint may have run it.
            () = cx.ending() => Err(problem::ProblemKind::Leaving),
        };
        match result {
            Ok(attempt::AttemptResult::Response(response)) => {
                return request::finish(cx, &req_cx, *response, "answered");
            }
            Ok(attempt::AttemptResult::Stream(open)) => {
                let response = stream_forwarder::start(cx, req_cx, *open, last_event_id.take());
                return response;
            }
            Ok(attempt::AttemptResult::OpenResponse(open)) => {
                return response_forwarder::start(cx, req_cx, *open);
            }
            Ok(attempt::AttemptResult::Failed { next, why, failure }) => {
                req_cx.attempt_failed(cx, why, next);
                endpoint_failure = failure.or(endpoint_failure);
                if let Some(reason) = request::stop_reason(cx, &req_cx, next) {
                    let response =
                        endpoint_failure.map_or_else(|| request::failure_response(cx, &req_cx, reason), |f| *f);
                    return request::finish(cx, &req_cx, response, why);
                }
            }
            Err(kind) => {
                let response = endpoint_failure.map_or_else(|| request::failure_response(cx, &req_cx, kind), |f| *f);
                return request::finish(cx, &req_cx, response, kind.slug());
            }
        }
    }
}

/// Delays a stream while the passes of its group are too long, as long as its first event can still be in time.
async fn wait_for_short_passes(cx: &context::GatewayContext, call: &call::Call) {
    let Some((objectives, target)) = call.grant.route.objectives.zip(call.grant.route.targets.first()) else {
        return;
    };
    if !call.grant.route.kind.is_stream() {
        return;
    }
    loop {
        let now = boot_clock::now();
        let response_time = cx.outages.with(&target.service, |o| o.mean_response_time());
        let waited = now.since(call.started);
        let pacing = cx.pacings.with(&target.service, |p| *p);
        if !pacing.should_wait(&objectives, waited, response_time, now) {
            return;
        }
        time::sleep(PASS_CHECK_INTERVAL).await;
    }
}

/// Sets room aside for the response if it is expected to be large. Returns the problem to report if there is no room for it.
fn set_room_aside(
    cx: &context::GatewayContext,
    call: &call::Call,
) -> Result<Option<response_account::Share>, problem::Problem> {
    let organisation = call.organisation();
    let is_large = cx
        .response_account
        .expects_large(&call.grant.route.name, boot_clock::now());
    if !response_room::has_room(cx.response_account.held(organisation), is_large) {
        return Err(refuse::problem(cx, problem::ProblemKind::BodiesFull));
    }
    Ok(is_large.then(|| {
        let len = response_room::OPEN_RESPONSE_BYTES;
        response_account::Share::new(&cx.response_account, organisation, len)
    }))
}

/// Checks whether the service has capacity for a stream, and returns the problem to report if it has none.
///
/// Requests to routes of other kinds are always admitted.
fn admit(cx: &context::GatewayContext, call: &call::Call) -> Option<problem::Problem> {
    if !call.grant.route.kind.is_stream() {
        return None;
    }
    let snapshot = cx.snapshot();
    let target = call.grant.route.targets.first()?;
    let now = boot_clock::now();
    if cx.outages.with(&target.service, |o| o.next_action(now)) == outage::OutageAction::Reject {
        let detail = "the service is unavailable";
        return Some(refuse::with_wait(
            cx,
            problem::ProblemKind::NoEndpoint,
            detail,
            request::OUTAGE_RETRY_AFTER,
        ));
    }
    let endpoints = snapshot.endpoints_of(&target.service);
    if let Some(unavailability) = withdrawal::unavailability(cx, endpoints, now) {
        let kind = withdrawal::problem_kind(unavailability.cause);
        let wait = unavailability.wait.unwrap_or(request::ENDPOINT_RETRY_AFTER);
        return Some(refuse::with_wait(
            cx,
            kind,
            withdrawal::detail(unavailability.cause),
            wait,
        ));
    }
    let allowed = cx.restrictions.borrow().allowed(endpoints, now);
    let load = cx.placement.borrow().service_load(&allowed, now);
    match admission::admit_stream(&load) {
        admission::Admission::Admit => None,
        admission::Admission::Refuse(wait) => {
            let detail = format!("{} of {} slots in use", load.in_flight, load.slots);
            Some(refuse::with_wait(cx, problem::ProblemKind::Overloaded, detail, wait))
        }
    }
}
