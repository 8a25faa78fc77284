//! Drives one call: performs the actions that its [`call::Call`] state machine requests and reports the events.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::warn;
use sycamorestile_core::attempt_id;
use sycamorestile_core::call;
use sycamorestile_core::call_head;
use sycamorestile_core::claim;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::decision_log;
use sycamorestile_core::direct::{owner, request_content};
use sycamorestile_core::dispatcher;
use sycamorestile_core::frame_order;
use sycamorestile_core::name;
use sycamorestile_core::outcome;
use sycamorestile_core::prefix_memory;
use sycamorestile_core::problem;
use sycamorestile_core::time::Time;
use sycamorestile_wire::agent_control;
use sycamorestile_wire::attempt_request;
use sycamorestile_wire::frame;
use tokio::sync::oneshot;
use tokio::time;

use crate::entry::agent_client;
use crate::entry::caller_response;
use crate::entry::context;
use crate::entry::control;
use crate::entry::sink;
use crate::http_client;

/// Properties of a model call that affect routing.
#[derive(Debug, Default)]
pub(crate) struct RoutingHint {
    pub(crate) prompt: prefix_memory::PrefixHashes,
    /// Maximum number of tokens of the response, if the caller specified one.
    pub(crate) tokens: Option<u32>,
}

/// A validated call with its body.
#[derive(Debug)]
pub(crate) struct CallRequest {
    pub(crate) id: Box<str>,
    pub(crate) head: call_head::CallHead,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Bytes,
    pub(crate) hint: RoutingHint,
    pub(crate) received: Time,
}

/// The attempt whose frames are being followed.
struct ActiveAttempt {
    endpoint: name::Name,
    agent: agent_client::AgentClient,
    attempt: attempt_id::AttemptId,
    order: frame_order::FrameOrder,
    stream: Option<agent_client::FrameStream>,
    /// Received frames that have not been handled.
    frames: VecDeque<frame::Frame>,
    sent: Time,
    /// Whether the attempt belongs to another call and is followed because it holds this call's claim.
    is_attached: bool,
}

/// Runs a call and sends its response to `reply`.
pub(crate) async fn run(
    cx: Arc<context::EntryContext>,
    request: CallRequest,
    reply: oneshot::Sender<caller_response::CallerResponse>,
) {
    let repeatability = match (request.head.idempotent, &request.head.key) {
        (true, _) => call::Repeatability::Idempotent,
        (false, Some(_)) => call::Repeatability::Claimed,
        (false, None) => call::Repeatability::NonIdempotent,
    };
    let deadline = request.received + request.head.deadline;
    let content = request_content::RequestContent {
        organisation: Some(request.head.organisation.as_str()),
        method: &request.head.method,
        host: request.head.service.as_str(),
        target: &request.head.target,
        prompt: None,
        body: &request.body,
    };
    let mut driver = CallDriver {
        content: content.identifier(),
        sink: sink::Sink::new(reply),
        call: call::Call::new(repeatability),
        active: None,
        tried_endpoints: Vec::new(),
        disproved: None,
        deadline,
        cx,
        request,
    };
    let result = driver.run().await;
    driver.finish(result).await;
}

struct CallDriver {
    cx: Arc<context::EntryContext>,
    request: CallRequest,
    /// Identifies the call by its content.
    content: Arc<str>,
    call: call::Call,
    active: Option<ActiveAttempt>,
    tried_endpoints: Vec<name::Name>,
    /// An attempt with the same key that, according to its agent, never began and never will.
    disproved: Option<attempt_id::AttemptId>,
    deadline: Time,
    sink: sink::Sink,
}

impl CallDriver {
    async fn run(&mut self) -> Option<call::CallResult> {
        self.cx.dispatcher().budget.record_first_attempt();
        let mut action = call::CallAction::Dispatch { continued: false };
        loop {
            let event = match action {
                call::CallAction::Dispatch { continued } => self.dispatch(continued).await,
                call::CallAction::Resume { after } => self.resume(after).await,
                call::CallAction::Cancel => self.cancel().await,
                call::CallAction::Follow => self.follow().await,
                call::CallAction::Finish(result) => return Some(result),
            };
            if self.sink.is_closed() {
                return None;
            }
            action = self.decide(event);
        }
    }

    fn decide(&mut self, event: call::AttemptEvent) -> call::CallAction {
        let cause = describe(&event);
        let now = self.cx.clock.now();
        let action = self.call.on_event(event, now, &mut self.cx.dispatcher().budget);
        let logged_action = match &action {
            call::CallAction::Dispatch { .. } => decision_log::Action::Retried,
            call::CallAction::Resume { .. } => decision_log::Action::Resumed,
            call::CallAction::Cancel | call::CallAction::Follow | call::CallAction::Finish(_) => return action,
        };
        let endpoint = self.active.as_ref().map(|active| active.endpoint.clone());
        let decision = control::call_decision(now, logged_action, &self.request.id, endpoint, cause);
        self.cx.control.record_decision(decision);
        action
    }

    /// Starts an attempt and returns the first event of its response.
    async fn dispatch(&mut self, continued: bool) -> call::AttemptEvent {
        self.release_attempt();
        let now = self.cx.clock.now();
        if now >= self.deadline {
            return call::AttemptEvent::DeadlinePassed;
        }
        if let Err(problem) = self.cx.dispatcher().check_quarantine(&self.content, now) {
            return call::AttemptEvent::NoCandidate(problem);
        }
        let (endpoint, agent) = match self.route(continued) {
            Ok(chosen) => chosen,
            Err(problem) => return call::AttemptEvent::NoCandidate(problem),
        };
        let attempt = self.cx.new_attempt();
        let request = self.attempt_request(attempt, agent, continued);
        self.cx
            .dispatcher()
            .record_sent(&endpoint, &self.request.hint.prompt, now);
        self.tried_endpoints.push(endpoint.clone());
        self.active = Some(ActiveAttempt {
            endpoint,
            agent,
            attempt,
            order: frame_order::FrameOrder::new(attempt),
            stream: None,
            frames: VecDeque::new(),
            sent: now,
            is_attached: false,
        });
        self.call.record_attempt();
        match agent.start(&request).await {
            Ok(stream) => self.follow_stream(stream).await,
            Err(http_client::ExchangeError::NotSent { .. }) => call::AttemptEvent::NotSent,
            Err(http_client::ExchangeError::Broken { .. } | http_client::ExchangeError::TimedOut { .. }) => {
                call::AttemptEvent::Lost
            }
        }
    }

    fn route(&self, continued: bool) -> Result<(name::Name, agent_client::AgentClient), problem::Problem> {
        let snapshot = self.cx.snapshot();
        let head = &self.request.head;
        let route_request = dispatcher::RouteRequest {
            service: Some(head.service.clone()),
            excluded: self.tried_endpoints.clone(),
            feature: continued.then_some(endpoint::Feature::Resume),
            prompt: self.request.hint.prompt.clone(),
            claim: head.key.clone().map(|key| claim::ClaimKey {
                service: head.service.clone(),
                organisation: head.organisation.clone(),
                key,
            }),
        };
        let now = self.cx.clock.now();
        let mut rng = self.cx.rng();
        let endpoint =
            self.cx
                .dispatcher()
                .route(&route_request, &snapshot.config, &snapshot.members, now, &mut *rng)?;
        let no_endpoint = || problem::Problem::new(problem::ProblemKind::NoEndpoint, "the endpoint is no longer known");
        let member = snapshot.members.get(&endpoint).ok_or_else(no_endpoint)?;
        Ok((endpoint, agent_client::AgentClient::for_member(member)))
    }

    fn attempt_request(
        &self,
        attempt: attempt_id::AttemptId,
        agent: agent_client::AgentClient,
        continued: bool,
    ) -> attempt_request::AttemptRequest {
        let head = &self.request.head;
        let snapshot = self.cx.snapshot();
        let weight = snapshot.config.organisation(&head.organisation).map_or(1, |o| o.weight);
        attempt_request::AttemptRequest {
            attempt,
            incarnation: agent.incarnation,
            service: head.service.clone(),
            organisation: head.organisation.clone(),
            weight,
            class: head.class,
            deadline_ms: self.deadline.since(self.cx.clock.now()).as_millis() as u64,
            tokens: self.request.hint.tokens,
            key: head.key.clone(),
            disproved: self.disproved,
            idempotent: head.idempotent,
            method: head.method.clone(),
            target: head.target.clone(),
            content_type: self.request.content_type.clone(),
            resume_from: continued.then(|| self.sink.event_count()),
            body: self.request.body.to_vec(),
        }
    }

    async fn resume(&mut self, after: Duration) -> call::AttemptEvent {
        let remaining = self.deadline.since(self.cx.clock.now());
        if remaining <= after {
            time::sleep(remaining).await;
            return call::AttemptEvent::DeadlinePassed;
        }
        time::sleep(after).await;
        let Some(active) = &mut self.active else {
            return call::AttemptEvent::Unreachable;
        };
        active.stream = None;
        active.frames.clear();
        match active.agent.resume(active.attempt, active.order.next_seq()).await {
            Ok(stream) => self.follow_stream(stream).await,
            Err(_) => call::AttemptEvent::Unreachable,
        }
    }

    async fn follow_stream(&mut self, stream: agent_client::FrameStream) -> call::AttemptEvent {
        if let Some(active) = &mut self.active {
            active.stream = Some(stream);
        }
        self.follow().await
    }

    /// Reads frames until one of them results in an event for the state machine.
    async fn follow(&mut self) -> call::AttemptEvent {
        loop {
            while let Some(frame) = self.active.as_mut().and_then(|active| active.frames.pop_front()) {
                if let Some(event) = self.handle_frame(frame).await {
                    return event;
                }
            }
            if self.sink.is_closed() {
                return call::AttemptEvent::Lost;
            }
            let remaining = self.deadline.since(self.cx.clock.now());
            if remaining.is_zero() {
                return call::AttemptEvent::DeadlinePassed;
            }
            let Some(active) = &mut self.active else {
                return call::AttemptEvent::Lost;
            };
            let Some(stream) = &mut active.stream else {
                return call::AttemptEvent::Lost;
            };
            match stream.receive(remaining.min(agent_client::SILENCE_TIMEOUT)).await {
                agent_client::Received::Frames(frames) => active.frames.extend(frames),
                agent_client::Received::TimedOut if self.cx.clock.now() >= self.deadline => {
                    return call::AttemptEvent::DeadlinePassed;
                }
                agent_client::Received::TimedOut | agent_client::Received::Broken => return call::AttemptEvent::Lost,
            }
        }
    }

    async fn handle_frame(&mut self, frame: frame::Frame) -> Option<call::AttemptEvent> {
        let active = self.active.as_mut()?;
        self.cx
            .dispatcher()
            .record_load(&active.endpoint, frame.load, self.cx.clock.now());
        match frame.body {
            frame::FrameBody::Heartbeat => return None,
            // These frames concern the attempt as a whole and are not part of its frame sequence.
            frame::FrameBody::Forgotten => return Some(call::AttemptEvent::Forgotten),
            frame::FrameBody::Refused(problem) => return Some(self.refused(problem)),
            frame::FrameBody::Head { .. }
            | frame::FrameBody::Data(_)
            | frame::FrameBody::End
            | frame::FrameBody::Failed(_)
            | frame::FrameBody::OwnedBy(_) => {}
        }
        match active.order.check(frame.attempt, frame.seq) {
            frame_order::FrameDisposition::Accept => {}
            frame_order::FrameDisposition::Duplicate | frame_order::FrameDisposition::OtherAttempt => return None,
            frame_order::FrameDisposition::Gap => return Some(call::AttemptEvent::Lost),
        }
        match frame.body {
            frame::FrameBody::Head { status, content_type } => self.handle_head(status, content_type),
            frame::FrameBody::Data(data) => self.handle_data(data).await,
            frame::FrameBody::End => {
                self.cx
                    .dispatcher()
                    .crashes
                    .record_proof(std::slice::from_ref(&self.content), self.cx.clock.now());
                Some(call::AttemptEvent::Ended)
            }
            frame::FrameBody::Failed(problem) => {
                if problem.kind == problem::ProblemKind::EndpointCrashed {
                    self.record_crash();
                }
                Some(call::AttemptEvent::EndpointFailed(problem))
            }
            frame::FrameBody::OwnedBy(owner) => Some(self.attach_to_owner(&owner)),
            frame::FrameBody::Heartbeat | frame::FrameBody::Refused(_) | frame::FrameBody::Forgotten => None,
        }
    }

    /// Records that the endpoint of the active attempt crashed under this call.
    fn record_crash(&self) {
        let Some(active) = &self.active else { return };
        let endpoint: Arc<str> = Arc::from(active.endpoint.as_str());
        let contents = std::slice::from_ref(&self.content);
        let owner = owner::Owner::new(Some(self.request.head.organisation.as_str()));
        let mut dispatcher = self.cx.dispatcher();
        dispatcher
            .crashes
            .record_crash(&endpoint, contents, owner, self.cx.clock.now());
        warn!(self.cx.log, "endpoint crashed under a call";
            "call" => &*self.request.id, "endpoint" => endpoint.as_ref(), "content" => self.content.as_ref(),
            "quarantined" => dispatcher.crashes.quarantined(contents).is_some());
    }

    fn handle_head(&mut self, status: u16, content_type: Option<Box<str>>) -> Option<call::AttemptEvent> {
        if let Some(active) = &self.active {
            self.cx
                .dispatcher()
                .record_first_frame(&active.endpoint, self.cx.clock.now().since(active.sent));
        }
        if self.sink.set_head(status, content_type) {
            return None;
        }
        let problem = problem::Problem::new(problem::ProblemKind::AnswerCut, "the stream could not be continued");
        Some(call::AttemptEvent::EndpointFailed(problem))
    }

    async fn handle_data(&mut self, data: Vec<u8>) -> Option<call::AttemptEvent> {
        let head = &self.request.head;
        let now = self.cx.clock.now();
        let metrics = &self.cx.metrics;
        match self.sink.last_event() {
            None => {
                let span = now.since(self.request.received);
                metrics.observe_first_token(&head.organisation, head.class, span);
            }
            Some(last) => metrics.observe_token_gap(&head.organisation, head.class, now.since(last)),
        }
        let started = self.sink.push_data(data, now).await;
        started.then_some(call::AttemptEvent::Answering)
    }

    fn refused(&mut self, problem: problem::Problem) -> call::AttemptEvent {
        if let Some(active) = &self.active {
            if problem.kind == problem::ProblemKind::Leaving {
                self.cx
                    .control
                    .mark_draining(active.endpoint.clone(), active.agent.incarnation);
            }
            if active.is_attached {
                self.disproved = Some(active.attempt);
            }
        }
        call::AttemptEvent::Refused(problem)
    }

    /// Switches to the attempt that holds the call's claim.
    fn attach_to_owner(&mut self, owner: &claim::Owner) -> call::AttemptEvent {
        self.release_attempt();
        let snapshot = self.cx.snapshot();
        let member = snapshot.members.get(&owner.endpoint);
        let Some(member) = member.filter(|m| m.view.incarnation == owner.incarnation) else {
            return call::AttemptEvent::OwnerGone;
        };
        self.tried_endpoints.retain(|endpoint| *endpoint != owner.endpoint);
        let now = self.cx.clock.now();
        self.cx
            .dispatcher()
            .record_sent(&owner.endpoint, &prefix_memory::PrefixHashes::default(), now);
        self.active = Some(ActiveAttempt {
            endpoint: owner.endpoint.clone(),
            agent: agent_client::AgentClient::for_member(member),
            attempt: owner.attempt,
            order: frame_order::FrameOrder::new(owner.attempt),
            stream: None,
            frames: VecDeque::new(),
            sent: now,
            is_attached: true,
        });
        call::AttemptEvent::Owned
    }

    async fn cancel(&mut self) -> call::AttemptEvent {
        let Some(active) = &self.active else {
            return call::AttemptEvent::Unreachable;
        };
        match active.agent.cancel(active.attempt).await {
            Some(agent_control::CancelReply::NeverBegan) => {
                let detail = "no slot was free in time";
                call::AttemptEvent::Refused(problem::Problem::new(problem::ProblemKind::DeadlineBeforeStart, detail))
            }
            Some(agent_control::CancelReply::Began) => call::AttemptEvent::StillRunning,
            Some(agent_control::CancelReply::Forgotten) => call::AttemptEvent::Forgotten,
            None => call::AttemptEvent::Unreachable,
        }
    }

    /// Removes the active attempt from this entry's in-flight counts.
    fn release_attempt(&mut self) {
        if let Some(active) = self.active.take() {
            self.cx.dispatcher().record_ended(&active.endpoint);
        }
    }

    async fn finish(&mut self, result: Option<call::CallResult>) {
        if result.is_none() {
            // The caller has disconnected, so an attempt that has not begun is cancelled.
            let _cancelled = self.cancel().await;
        }
        self.release_attempt();
        self.record(result.as_ref());
        match result {
            None => {}
            Some(call::CallResult::Done) => self.sink.finish(),
            Some(call::CallResult::Problem(problem)) => self.sink.fail(problem).await,
        }
    }

    fn record(&self, result: Option<&call::CallResult>) {
        let head = &self.request.head;
        let now = self.cx.clock.now();
        let metrics = &self.cx.metrics;
        metrics.observe_call(&head.organisation, head.class, now.since(self.request.received));
        metrics.add_retries(self.call.attempts().saturating_sub(1));
        let problem = match result {
            None => {
                return metrics.record_outcome(
                    head.service.as_str(),
                    outcome::Outcome::Unknown.as_str(),
                    "caller-gone",
                );
            }
            Some(call::CallResult::Done) => {
                return metrics.record_outcome(head.service.as_str(), outcome::Outcome::Done.as_str(), "none");
            }
            Some(call::CallResult::Problem(problem)) => problem,
        };
        let outcome = problem.kind.outcome();
        metrics.record_outcome(head.service.as_str(), outcome.as_str(), problem.kind.slug());
        let action = if outcome == outcome::Outcome::Unknown {
            decision_log::Action::Doubted
        } else {
            decision_log::Action::Refused
        };
        let cause = format!("{}: {}", problem.kind.slug(), problem.detail);
        let endpoint = self.tried_endpoints.last().cloned();
        let decision = control::call_decision(now, action, &self.request.id, endpoint, cause);
        self.cx.control.record_decision(decision);
    }
}

fn describe(event: &call::AttemptEvent) -> String {
    match event {
        call::AttemptEvent::NoCandidate(problem)
        | call::AttemptEvent::Refused(problem)
        | call::AttemptEvent::EndpointFailed(problem) => {
            format!("{}: {}", problem.kind.slug(), problem.detail)
        }
        other => format!("{other:?}"),
    }
}
