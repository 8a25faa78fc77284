//! Execution of one attempt at an agent, from admission to the attempt's last frame.

use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::claim;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::problem;
use sycamorestile_wire::attempt_request;
use sycamorestile_wire::frame;

use crate::agent::claims;
use crate::agent::context;
use crate::agent::endpoint_call;
use crate::agent::frame_log;
use crate::agent::message;

/// A claim that the attempt holds.
struct HeldClaim {
    claim: claims::Claim,
    /// Version of the claim row in the table.
    version: u64,
}

/// Runs an attempt and appends its response to `log`.
pub(crate) async fn run(
    cx: Arc<context::AgentContext>,
    req: attempt_request::AttemptRequest,
    log: Arc<frame_log::FrameLog>,
) {
    let Some(config) = cx.control.config().await else {
        let problem = problem::Problem::new(problem::ProblemKind::NotReady, "the agent has no configuration yet");
        log.push(frame::FrameBody::Refused(problem), cx.clock.now());
        return;
    };
    if config.endpoint.service != req.service {
        let problem = problem::Problem::new(
            problem::ProblemKind::NoEndpoint,
            "the endpoint belongs to another service",
        );
        log.push(
            frame::FrameBody::Refused(problem.with_retry_after(Duration::ZERO)),
            cx.clock.now(),
        );
        return;
    }
    let submitted = cx.clock.now();
    match cx.control.offer(offer_for(&cx, &req)).await {
        message::AttemptDecision::Begin => {
            let queue_wait = cx.clock.now().since(submitted);
            cx.metrics.observe_queue_wait(&req.organisation, req.class, queue_wait);
            cx.metrics.in_flight.inc();
            execute(&cx, &req, &config.endpoint, &log).await;
            cx.metrics.in_flight.dec();
        }
        message::AttemptDecision::Refuse(problem) => {
            debug!(cx.log, "attempt refused"; "attempt" => %req.attempt, "cause" => problem.kind.slug());
            log.push(frame::FrameBody::Refused(problem), cx.clock.now());
        }
        message::AttemptDecision::Duplicate => log.push(frame::FrameBody::Forgotten, cx.clock.now()),
    }
}

fn offer_for(cx: &context::AgentContext, req: &attempt_request::AttemptRequest) -> attempt_queue::AttemptOffer {
    attempt_queue::AttemptOffer {
        attempt: req.attempt,
        organisation: req.organisation.clone(),
        weight: req.weight,
        class: req.class,
        deadline: cx.clock.now() + Duration::from_millis(req.deadline_ms),
        tokens: req.tokens,
    }
}

async fn execute(
    cx: &Arc<context::AgentContext>,
    req: &attempt_request::AttemptRequest,
    endpoint: &endpoint::Endpoint,
    log: &Arc<frame_log::FrameLog>,
) {
    let Some(claim) = claim_for(cx, req) else {
        call_endpoint(cx, req, endpoint, log, None).await;
        return;
    };
    match cx.claims.claim(claim.clone()).await {
        claims::ClaimResult::Granted(version) => {
            call_endpoint(cx, req, endpoint, log, Some(HeldClaim { claim, version })).await;
        }
        claims::ClaimResult::Answered(response) => {
            cx.control.record_withdrawn(req.attempt);
            push_response(cx, log, response);
        }
        claims::ClaimResult::OwnedBy(owner) => {
            cx.control.record_withdrawn(req.attempt);
            log.push(frame::FrameBody::OwnedBy(owner), cx.clock.now());
        }
        claims::ClaimResult::KeyReused => {
            let detail = "this key was used with another method, path or body";
            refuse(
                cx,
                req,
                log,
                problem::Problem::new(problem::ProblemKind::KeyReused, detail),
            );
        }
        claims::ClaimResult::Unavailable => {
            let detail = "the platform's table did not accept the claim";
            refuse(
                cx,
                req,
                log,
                problem::Problem::new(problem::ProblemKind::ClaimsUnavailable, detail)
                    .with_retry_after(Duration::from_secs(2)),
            );
        }
    }
}

fn claim_for(cx: &context::AgentContext, req: &attempt_request::AttemptRequest) -> Option<claims::Claim> {
    let key = req.key.clone()?;
    Some(claims::Claim {
        key: claim::ClaimKey {
            service: req.service.clone(),
            organisation: req.organisation.clone(),
            key,
        },
        digest: crate::agent::claims::digest(req),
        owner: claim::Owner {
            attempt: req.attempt,
            endpoint: cx.endpoint.clone(),
            incarnation: cx.incarnation,
        },
        disproved: req.disproved,
    })
}

fn refuse(
    cx: &context::AgentContext,
    req: &attempt_request::AttemptRequest,
    log: &frame_log::FrameLog,
    problem: problem::Problem,
) {
    cx.control.record_withdrawn(req.attempt);
    log.push(frame::FrameBody::Refused(problem), cx.clock.now());
}

fn push_response(cx: &context::AgentContext, log: &frame_log::FrameLog, response: claim::StoredResponse) {
    let now = cx.clock.now();
    log.push(
        frame::FrameBody::Head {
            status: response.status,
            content_type: response.content_type,
        },
        now,
    );
    log.push(frame::FrameBody::Data(response.body), now);
    log.push(frame::FrameBody::End, now);
}

async fn call_endpoint(
    cx: &Arc<context::AgentContext>,
    req: &attempt_request::AttemptRequest,
    endpoint: &endpoint::Endpoint,
    log: &Arc<frame_log::FrameLog>,
    held_claim: Option<HeldClaim>,
) {
    let result = endpoint_call::run(cx, req, endpoint, log).await;
    let now = cx.clock.now();
    match result {
        endpoint_call::EndpointResult::Complete(response) => {
            cx.control.record_ended(req.attempt);
            if let (Some(held_claim), Some(response)) = (held_claim, response) {
                cx.claims.store_response(held_claim.claim, held_claim.version, response);
            }
            log.push(frame::FrameBody::End, now);
        }
        endpoint_call::EndpointResult::NotSent => {
            if let Some(held_claim) = held_claim {
                cx.claims.release(held_claim.claim, held_claim.version);
            }
            let problem = problem::Problem::new(
                problem::ProblemKind::NoEndpoint,
                "the endpoint does not accept connections",
            );
            refuse(cx, req, log, problem.with_retry_after(Duration::from_millis(500)));
        }
        endpoint_call::EndpointResult::Failed(problem) => {
            cx.control.record_ended(req.attempt);
            log.push(frame::FrameBody::Failed(problem), now);
        }
    }
}
