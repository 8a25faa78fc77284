//! Forwards one request to endpoints until there is a response for the caller.
//!
//! [`attempts::RequestAttempts`] decides what follows a failed attempt, [`attempt`] sends the request to one endpoint,
//! [`waiting`] keeps attempts that have gone silent, and [`stream_forwarder`] forwards a streamed response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::Response;
use sycamorestile_core::direct::{admission, attempts, event_buffer, outage, response_room};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::attempt;
use crate::call;
use crate::context;
use crate::crash_watch;
use crate::endpoint_stream;
use crate::refuse;
use crate::request;
use crate::response_account;
use crate::response_body;
use crate::response_forwarder;
use crate::stream_forwarder;
use crate::waiting;
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
        call: Rc::new(call),
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
    send(cx, req_cx).await
}

/// What a request comes to in one round.
enum Step {
    /// An endpoint that had gone silent went on.
    Begun(waiting::Begun),
    Attempt(Result<attempt::AttemptResult, problem::ProblemKind>),
}

/// Sends the request to one endpoint after the other until one answers.
async fn send(
    cx: &Rc<context::GatewayContext>,
    mut req_cx: request::RequestContext,
) -> Response<response_body::ResponseBody> {
    let position = event_buffer::EventBuffer::after(req_cx.call.head.last_event_id.clone());
    let mut waiting = waiting::Waiting::default();
    // An error response of an endpoint tells the caller more than one of the gateway.
    let mut endpoint_failure = None;
    let (kind, reason) = loop {
        let step = tokio::select! {
            biased;
            begun = waiting.next() => Step::Begun(begun),
            result = attempt::run(cx, &mut req_cx, &position) => Step::Attempt(result),
            // The attempt is withdrawn, and its caller told whether an endpoint may have run it.
            () = cx.ending() => Step::Attempt(Err(problem::ProblemKind::Leaving)),
        };
        req_cx.examine_lost(cx, waiting.take_lost()).await;
        let (next, why) = match step {
            Step::Begun(begun) => return respond_late(cx, req_cx, begun),
            Step::Attempt(Ok(attempt::AttemptResult::Response(response))) => {
                if !waiting.is_empty() {
                    cx.metrics.record_taken_over();
                }
                return request::finish(cx, &req_cx, *response, "answered");
            }
            Step::Attempt(Ok(attempt::AttemptResult::OpenResponse(open))) => {
                return response_forwarder::start(cx, req_cx, *open);
            }
            Step::Attempt(Ok(attempt::AttemptResult::Stream(open))) => {
                let stream = endpoint_stream::EndpointStream::new(*open);
                if waiting.is_empty() {
                    return stream_forwarder::start(cx, req_cx, waiting::BegunStream { stream, position });
                }
                let race = tokio::select! {
                    biased;
                    race = stream_forwarder::race(cx, &req_cx, &mut waiting, stream, &position) => Some(race),
                    () = cx.ending() => None,
                };
                match race {
                    Some(waiting::Race::Begun(begun)) => {
                        cx.metrics.record_taken_over();
                        return stream_forwarder::start(cx, req_cx, *begun);
                    }
                    Some(waiting::Race::Other(begun)) => return respond_late(cx, req_cx, begun),
                    Some(waiting::Race::Lost(lost)) => {
                        let (next, why) = (req_cx.attempts.lost(), lost.why);
                        req_cx.examine_lost(cx, vec![lost]).await;
                        (next, why)
                    }
                    Some(waiting::Race::Silent) => (req_cx.attempts.lost(), "no event in time"),
                    None => break (problem::ProblemKind::Leaving, problem::ProblemKind::Leaving.slug()),
                }
            }
            Step::Attempt(Ok(attempt::AttemptResult::Silent { waiting: attempt, next })) => {
                waiting.push(attempt);
                (next, "no answer in time")
            }
            Step::Attempt(Ok(attempt::AttemptResult::Failed { next, why, failure })) => {
                endpoint_failure = failure.or(endpoint_failure);
                (next, why)
            }
            Step::Attempt(Err(kind)) => break (kind, kind.slug()),
        };
        req_cx.attempt_failed(cx, why, next);
        if let Some(kind) = request::stop_reason(cx, &req_cx, next) {
            break (kind, why);
        }
    };
    // No other endpoint is asked, but those that went silent may still answer.
    let last = tokio::select! {
        last = waiting.last() => last,
        () = cx.ending() => None,
    };
    req_cx.examine_lost(cx, waiting.take_lost()).await;
    if let Some(begun) = last {
        return respond_late(cx, req_cx, begun);
    }
    let response = endpoint_failure.map_or_else(|| request::failure_response(cx, &req_cx, kind), |f| *f);
    request::finish(cx, &req_cx, response, reason)
}

/// Returns the response of an endpoint that had gone silent.
fn respond_late(
    cx: &Rc<context::GatewayContext>,
    mut req_cx: request::RequestContext,
    begun: waiting::Begun,
) -> Response<response_body::ResponseBody> {
    req_cx.attempt_went_on(cx);
    match begun {
        waiting::Begun::Stream(begun) => stream_forwarder::start(cx, req_cx, *begun),
        waiting::Begun::Response(response) => request::finish(cx, &req_cx, *response, "answered"),
        waiting::Begun::OpenResponse(open) => response_forwarder::start(cx, req_cx, *open),
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
