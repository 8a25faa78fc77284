//! Drives one call: does what its [`call::Call`] machine asks for and reports what happened.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sycamorestile_core::attempt_id;
use sycamorestile_core::call;
use sycamorestile_core::call_head;
use sycamorestile_core::claim;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::decision_log;
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

use crate::entry::agent_link;
use crate::entry::control;
use crate::entry::cx;
use crate::entry::reply;
use crate::entry::sink;
use crate::http_client;

/// What a model call's body says that matters for routing.
#[derive(Debug, Default)]
pub(crate) struct Hint {
    pub(crate) prompt: prefix_memory::PrefixHashes,
    /// Tokens that the answer may have, if the caller says so.
    pub(crate) tokens: Option<u32>,
}

/// A checked call with its body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: Box<str>,
    pub(crate) head: call_head::CallHead,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Bytes,
    pub(crate) hint: Hint,
    pub(crate) received: Time,
}

/// The attempt that is followed.
struct Live {
    endpoint: name::Name,
    link: agent_link::AgentLink,
    attempt: attempt_id::AttemptId,
    order: frame_order::FrameOrder,
    stream: Option<agent_link::FrameStream>,
    /// Whole frames that were received and not yet taken.
    frames: VecDeque<frame::Frame>,
    sent: Time,
    /// The attempt is another call's, followed because it holds this call's claim.
    attached: bool,
}

/// Runs a call and hands its answer to `reply`.
pub(crate) async fn run(cx: Arc<cx::Cx>, request: Request, reply: oneshot::Sender<reply::Reply>) {
    let repeat = match (request.head.idempotent, &request.head.key) {
        (true, _) => call::Repeatability::Idempotent,
        (false, Some(_)) => call::Repeatability::Claimed,
        (false, None) => call::Repeatability::NonIdempotent,
    };
    let deadline = request.received + request.head.deadline;
    let mut drive = Drive {
        sink: sink::Sink::new(reply),
        call: call::Call::new(repeat),
        live: None,
        tried: Vec::new(),
        disproved: None,
        deadline,
        cx,
        request,
    };
    let ending = drive.run().await;
    drive.finish(ending).await;
}

struct Drive {
    cx: Arc<cx::Cx>,
    request: Request,
    call: call::Call,
    live: Option<Live>,
    tried: Vec<name::Name>,
    /// An attempt with the same key that its agent proved never to have begun.
    disproved: Option<attempt_id::AttemptId>,
    deadline: Time,
    sink: sink::Sink,
}

impl Drive {
    async fn run(&mut self) -> Option<call::CallResult> {
        self.cx.dispatcher().budget.record_first_attempt();
        let mut step = call::CallAction::Dispatch { continued: false };
        loop {
            let event = match step {
                call::CallAction::Dispatch { continued } => self.dispatch(continued).await,
                call::CallAction::Resume { after } => self.resume(after).await,
                call::CallAction::Cancel => self.cancel().await,
                call::CallAction::Follow => self.follow().await,
                call::CallAction::Finish(ending) => return Some(ending),
            };
            if self.sink.is_closed() {
                return None;
            }
            step = self.decide(event);
        }
    }

    fn decide(&mut self, event: call::AttemptEvent) -> call::CallAction {
        let told = describe(&event);
        let now = self.cx.clock.now();
        let step = self.call.on_event(event, now, &mut self.cx.dispatcher().budget);
        let action = match &step {
            call::CallAction::Dispatch { .. } => decision_log::Action::Retried,
            call::CallAction::Resume { .. } => decision_log::Action::Resumed,
            call::CallAction::Cancel | call::CallAction::Follow | call::CallAction::Finish(_) => return step,
        };
        let endpoint = self.live.as_ref().map(|live| live.endpoint.clone());
        let decision = control::call_decision(now, action, &self.request.id, endpoint, told);
        self.cx.control.note(decision);
        step
    }

    /// Starts a try. Gives the first event of its answer.
    async fn dispatch(&mut self, continued: bool) -> call::AttemptEvent {
        self.release();
        let now = self.cx.clock.now();
        if now >= self.deadline {
            return call::AttemptEvent::DeadlinePassed;
        }
        let (endpoint, link) = match self.choose(continued) {
            Ok(chosen) => chosen,
            Err(problem) => return call::AttemptEvent::NoCandidate(problem),
        };
        let attempt = self.cx.new_attempt();
        let request = self.attempt_request(attempt, link, continued);
        self.cx
            .dispatcher()
            .record_sent(&endpoint, &self.request.hint.prompt, now);
        self.tried.push(endpoint.clone());
        self.live = Some(Live {
            endpoint,
            link,
            attempt,
            order: frame_order::FrameOrder::new(attempt),
            stream: None,
            frames: VecDeque::new(),
            sent: now,
            attached: false,
        });
        self.call.record_attempt();
        match link.begin(&request).await {
            Ok(stream) => self.follow_stream(stream).await,
            Err(http_client::ExchangeError::NotSent { .. }) => call::AttemptEvent::NotSent,
            Err(http_client::ExchangeError::Broken { .. } | http_client::ExchangeError::Silent { .. }) => {
                call::AttemptEvent::Lost
            }
        }
    }

    fn choose(&self, continued: bool) -> Result<(name::Name, agent_link::AgentLink), problem::Problem> {
        let snapshot = self.cx.snapshot();
        let head = &self.request.head;
        let need = dispatcher::RouteRequest {
            service: Some(head.service.clone()),
            excluded: self.tried.clone(),
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
        let endpoint = self
            .cx
            .dispatcher()
            .route(&need, &snapshot.config, &snapshot.members, now, &mut *rng)?;
        let missing = || problem::Problem::new(problem::ProblemKind::NoEndpoint, "the endpoint has gone");
        let member = snapshot.members.get(&endpoint).ok_or_else(missing)?;
        Ok((endpoint, agent_link::AgentLink::to(member)))
    }

    fn attempt_request(
        &self,
        attempt: attempt_id::AttemptId,
        link: agent_link::AgentLink,
        continued: bool,
    ) -> attempt_request::AttemptRequest {
        let head = &self.request.head;
        let snapshot = self.cx.snapshot();
        let weight = snapshot.config.organisation(&head.organisation).map_or(1, |o| o.weight);
        attempt_request::AttemptRequest {
            attempt,
            incarnation: link.incarnation,
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
            resume_from: continued.then(|| self.sink.events()),
            body: self.request.body.to_vec(),
        }
    }

    async fn resume(&mut self, after: Duration) -> call::AttemptEvent {
        let left = self.deadline.since(self.cx.clock.now());
        if left <= after {
            time::sleep(left).await;
            return call::AttemptEvent::DeadlinePassed;
        }
        time::sleep(after).await;
        let Some(live) = &mut self.live else {
            return call::AttemptEvent::Unreachable;
        };
        live.stream = None;
        live.frames.clear();
        match live.link.resume(live.attempt, live.order.next_seq()).await {
            Ok(stream) => self.follow_stream(stream).await,
            Err(_) => call::AttemptEvent::Unreachable,
        }
    }

    async fn follow_stream(&mut self, stream: agent_link::FrameStream) -> call::AttemptEvent {
        if let Some(live) = &mut self.live {
            live.stream = Some(stream);
        }
        self.follow().await
    }

    /// Reads frames until one of them is an event for the machine.
    async fn follow(&mut self) -> call::AttemptEvent {
        loop {
            while let Some(frame) = self.live.as_mut().and_then(|live| live.frames.pop_front()) {
                if let Some(event) = self.take(frame).await {
                    return event;
                }
            }
            if self.sink.is_closed() {
                return call::AttemptEvent::Lost;
            }
            let left = self.deadline.since(self.cx.clock.now());
            if left.is_zero() {
                return call::AttemptEvent::DeadlinePassed;
            }
            let Some(live) = &mut self.live else {
                return call::AttemptEvent::Lost;
            };
            let Some(stream) = &mut live.stream else {
                return call::AttemptEvent::Lost;
            };
            match stream.receive(left.min(agent_link::SILENCE)).await {
                agent_link::Received::Frames(frames) => live.frames.extend(frames),
                agent_link::Received::Silent if self.cx.clock.now() >= self.deadline => {
                    return call::AttemptEvent::DeadlinePassed;
                }
                agent_link::Received::Silent | agent_link::Received::Broken => return call::AttemptEvent::Lost,
            }
        }
    }

    async fn take(&mut self, frame: frame::Frame) -> Option<call::AttemptEvent> {
        let live = self.live.as_mut()?;
        self.cx
            .dispatcher()
            .record_load(&live.endpoint, frame.load, self.cx.clock.now());
        match frame.body {
            frame::FrameBody::Heartbeat => return None,
            // Answers about the attempt as a whole have no place in its sequence.
            frame::FrameBody::Forgotten => return Some(call::AttemptEvent::Forgotten),
            frame::FrameBody::Refused(problem) => return Some(self.refused(problem)),
            frame::FrameBody::Head { .. }
            | frame::FrameBody::Data(_)
            | frame::FrameBody::End
            | frame::FrameBody::Failed(_)
            | frame::FrameBody::OwnedBy(_) => {}
        }
        match live.order.check(frame.attempt, frame.seq) {
            frame_order::FrameDisposition::Accept => {}
            frame_order::FrameDisposition::Duplicate | frame_order::FrameDisposition::OtherAttempt => return None,
            frame_order::FrameDisposition::Gap => return Some(call::AttemptEvent::Lost),
        }
        match frame.body {
            frame::FrameBody::Head { status, content_type } => self.take_head(status, content_type),
            frame::FrameBody::Data(data) => self.take_data(data).await,
            frame::FrameBody::End => Some(call::AttemptEvent::Ended),
            frame::FrameBody::Failed(problem) => Some(call::AttemptEvent::EndpointFailed(problem)),
            frame::FrameBody::OwnedBy(owner) => Some(self.attach(&owner)),
            frame::FrameBody::Heartbeat | frame::FrameBody::Refused(_) | frame::FrameBody::Forgotten => None,
        }
    }

    fn take_head(&mut self, status: u16, content_type: Option<Box<str>>) -> Option<call::AttemptEvent> {
        if let Some(live) = &self.live {
            self.cx
                .dispatcher()
                .record_first_frame(&live.endpoint, self.cx.clock.now().since(live.sent));
        }
        if self.sink.head(status, content_type) {
            return None;
        }
        let problem = problem::Problem::new(problem::ProblemKind::AnswerCut, "the stream could not be continued");
        Some(call::AttemptEvent::EndpointFailed(problem))
    }

    async fn take_data(&mut self, data: Vec<u8>) -> Option<call::AttemptEvent> {
        let head = &self.request.head;
        let now = self.cx.clock.now();
        match self.sink.last_event() {
            None => self
                .cx
                .metrics
                .first_token(&head.organisation, head.class, now.since(self.request.received)),
            Some(last) => self
                .cx
                .metrics
                .token_gap(&head.organisation, head.class, now.since(last)),
        }
        let began = self.sink.data(data, now).await;
        began.then_some(call::AttemptEvent::Answering)
    }

    fn refused(&mut self, problem: problem::Problem) -> call::AttemptEvent {
        if let Some(live) = &self.live {
            if problem.kind == problem::ProblemKind::Leaving {
                self.cx
                    .control
                    .said_leaving(live.endpoint.clone(), live.link.incarnation);
            }
            if live.attached {
                self.disproved = Some(live.attempt);
            }
        }
        call::AttemptEvent::Refused(problem)
    }

    /// Follows the attempt that holds the call's claim.
    fn attach(&mut self, owner: &claim::Owner) -> call::AttemptEvent {
        self.release();
        let snapshot = self.cx.snapshot();
        let member = snapshot.members.get(&owner.endpoint);
        let Some(member) = member.filter(|m| m.view.incarnation == owner.incarnation) else {
            return call::AttemptEvent::OwnerGone;
        };
        self.tried.retain(|endpoint| *endpoint != owner.endpoint);
        let now = self.cx.clock.now();
        self.cx
            .dispatcher()
            .record_sent(&owner.endpoint, &prefix_memory::PrefixHashes::default(), now);
        self.live = Some(Live {
            endpoint: owner.endpoint.clone(),
            link: agent_link::AgentLink::to(member),
            attempt: owner.attempt,
            order: frame_order::FrameOrder::new(owner.attempt),
            stream: None,
            frames: VecDeque::new(),
            sent: now,
            attached: true,
        });
        call::AttemptEvent::Owned
    }

    async fn cancel(&mut self) -> call::AttemptEvent {
        let Some(live) = &self.live else {
            return call::AttemptEvent::Unreachable;
        };
        match live.link.cancel(live.attempt).await {
            Some(agent_control::CancelReply::NeverBegan) => {
                let detail = "no slot was free in time";
                call::AttemptEvent::Refused(problem::Problem::new(problem::ProblemKind::DeadlineBeforeStart, detail))
            }
            Some(agent_control::CancelReply::Began) => call::AttemptEvent::StillRunning,
            Some(agent_control::CancelReply::Forgotten) => call::AttemptEvent::Forgotten,
            None => call::AttemptEvent::Unreachable,
        }
    }

    /// Gives up the live try's place in this entry's counts.
    fn release(&mut self) {
        if let Some(live) = self.live.take() {
            self.cx.dispatcher().record_ended(&live.endpoint);
        }
    }

    async fn finish(&mut self, ending: Option<call::CallResult>) {
        if ending.is_none() {
            // The caller has gone. What has not begun need not begin.
            let _told = self.cancel().await;
        }
        self.release();
        self.record(ending.as_ref());
        match ending {
            None => {}
            Some(call::CallResult::Done) => self.sink.done(),
            Some(call::CallResult::Problem(problem)) => self.sink.problem(problem).await,
        }
    }

    fn record(&self, ending: Option<&call::CallResult>) {
        let head = &self.request.head;
        let now = self.cx.clock.now();
        let metrics = &self.cx.metrics;
        metrics.whole_call(&head.organisation, head.class, now.since(self.request.received));
        metrics.retries(self.call.attempts().saturating_sub(1));
        let problem = match ending {
            None => return metrics.outcome(head.service.as_str(), outcome::Outcome::Unknown.as_str(), "caller-gone"),
            Some(call::CallResult::Done) => {
                return metrics.outcome(head.service.as_str(), outcome::Outcome::Done.as_str(), "none");
            }
            Some(call::CallResult::Problem(problem)) => problem,
        };
        let outcome = problem.kind.outcome();
        metrics.outcome(head.service.as_str(), outcome.as_str(), problem.kind.slug());
        let action = if outcome == outcome::Outcome::Unknown {
            decision_log::Action::Doubted
        } else {
            decision_log::Action::Refused
        };
        let cause = format!("{}: {}", problem.kind.slug(), problem.detail);
        let endpoint = self.tried.last().cloned();
        let decision = control::call_decision(now, action, &self.request.id, endpoint, cause);
        self.cx.control.note(decision);
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
