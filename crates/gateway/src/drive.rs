//! Sends one request to endpoints until it has its answer.
//!
//! [`attempts::RequestAttempts`] decides what happens after each send; [`exchange`] does the sending, [`pump`] hands
//! streams on.

use std::cell::Cell;
use std::rc::Rc;

use http::Response;
use sycamorestile_core::direct::{admission, attempts, outage};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;

use crate::cx;
use crate::exchange;
use crate::handle;
use crate::pump;
use crate::refuse;
use crate::stream;
use crate::way;

/// Sends `call` and gives back the caller's answer.
pub(crate) async fn drive(cx: &Rc<cx::Cx>, call: handle::Call) -> Response<stream::AnswerBody> {
    let route = &call.grant.route;
    let mut way = way::Way {
        relay: attempts::RequestAttempts::new(route.kind, route.max_attempts),
        tried: Vec::new(),
        why: "none",
        detail: String::new(),
        ended: Cell::new(false),
        cx: Rc::clone(cx),
        call,
    };
    if let Some(problem) = admit(cx, &way.call) {
        way.detail.clone_from(&problem.detail);
        return way::conclude(cx, &way, refuse::response(cx, &problem), problem.kind.slug());
    }
    let mut last_event_id = way.call.head.last_event_id.clone();
    loop {
        let sent = exchange::send(cx, &mut way, last_event_id.as_deref()).await;
        match sent {
            Ok(exchange::Sent::Whole(response)) => return way::conclude(cx, &way, *response, "answered"),
            Ok(exchange::Sent::Stream(open)) => {
                let response = pump::stream_answer(cx, way, *open, last_event_id.take());
                return response;
            }
            Ok(exchange::Sent::Nothing { next, why, failure }) => {
                way.came_to_nothing(cx, why, next);
                if let Some(reason) = way::stopped(cx, &way, next) {
                    let response = failure.map_or_else(|| way::give_up(cx, &way, reason), |failure| *failure);
                    return way::conclude(cx, &way, response, why);
                }
            }
            Err(kind) => {
                let response = way::give_up(cx, &way, kind);
                return way::conclude(cx, &way, response, kind.slug());
            }
        }
    }
}

/// Whether the service has room for a stream.
fn admit(cx: &cx::Cx, call: &handle::Call) -> Option<problem::Problem> {
    if !call.grant.route.kind.is_stream() {
        return None;
    }
    let snapshot = cx.snapshot();
    let target = call.grant.route.targets.first()?;
    let now = boot_clock::now();
    if cx.with_outage(&target.service, |o| o.next_action(now)) == outage::OutageAction::Reject {
        let detail = "the service is out of order";
        return Some(refuse::later(
            cx,
            problem::ProblemKind::NoEndpoint,
            detail,
            way::OUTAGE_WAIT,
        ));
    }
    let load = cx
        .placement
        .borrow()
        .service_load(snapshot.endpoints_of(&target.service), now);
    match admission::admit_stream(&load) {
        admission::Admission::Admit => None,
        admission::Admission::Refuse(wait) => {
            let detail = format!("{} of {} places taken", load.in_flight, load.slots);
            Some(refuse::later(cx, problem::ProblemKind::Overloaded, detail, wait))
        }
    }
}
