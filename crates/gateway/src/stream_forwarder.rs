//! Forwards a streamed response to the caller, and resumes it at another endpoint if it breaks off.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use sycamorestile_core::direct::{attempts, crash_evidence, endpoint, event_buffer, placement};
use sycamorestile_core::problem;
use sycamorestile_table::boot_clock;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempt;
use crate::context;
use crate::crash_watch;
use crate::endpoint_stream::{EndpointStream, Interruption};
use crate::receive;
use crate::request;
use crate::response_body;
use crate::waiting;

/// The interval at which a stream without new data is checked for a stalled connection.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The time by which a stream goes on at its slow rank before its caller leaves, if no other endpoint has taken it over.
const SLOW_RANK_MARGIN: Duration = Duration::from_millis(250);
/// The least time between two offers of a stream to other endpoints.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest number of chunks that are queued for a slow caller.
const STREAM_QUEUE_CAPACITY: usize = 8;

/// Starts a task that forwards the stream, and returns the response for the caller.
pub(crate) fn start(
    cx: &Rc<context::GatewayContext>,
    mut req_cx: request::RequestContext,
    begun: waiting::BegunStream,
) -> Response<response_body::ResponseBody> {
    let took = boot_clock::now().since(req_cx.call.started);
    req_cx.first_byte_after = Some(took);
    cx.metrics
        .observe_first_byte(req_cx.call.organisation(), req_cx.call.kind(), took);
    let (tx, rx) = mpsc::channel(STREAM_QUEUE_CAPACITY);
    let mut parts = begun.stream.parts.clone();
    // The length can change if the stream is resumed at another endpoint.
    parts.headers.remove(header::CONTENT_LENGTH);
    let response = receive::caller_response(parts, response_body::ResponseBody::stream(rx));
    let forwarder = StreamForwarder {
        cx: Rc::clone(cx),
        req_cx,
        buffer: begun.position,
        tx,
    };
    tokio::task::spawn_local(forwarder.run(begun.stream));
    response
}

/// The reason why an endpoint's part of a stream ended.
enum StreamEnd {
    /// The endpoint completed the stream.
    Complete,
    /// The stream can only go on at another endpoint.
    Interrupted(Interruption),
    /// The stream is to go on at another endpoint, if one takes it over.
    ShouldMove(MoveReason),
    /// The caller disconnected.
    CallerDisconnected,
    /// The caller's deadline or the route's timeout was reached.
    DeadlineExceeded,
    /// The instance is about to be killed.
    InstanceEnds,
}

/// The reason why a stream should leave its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveReason {
    /// The connection went silent.
    Silent,
    /// The endpoint sends no complete events.
    NoEvents,
    /// The endpoint has become slow.
    SlowRank,
}

impl MoveReason {
    /// Returns the reason, for logs.
    const fn why(self) -> &'static str {
        match self {
            Self::Silent => "stream went silent",
            Self::NoEvents => "stream sends no events",
            Self::SlowRank => "rank became slow",
        }
    }
}

/// The first step of resuming a stream that ended.
enum Step {
    /// An endpoint that had gone silent went on.
    Begun(waiting::Begun),
    Attempt(Result<attempt::AttemptResult, problem::ProblemKind>),
}

/// The task that forwards one stream, and resumes it at another endpoint if it breaks off.
struct StreamForwarder {
    cx: Rc<context::GatewayContext>,
    req_cx: request::RequestContext,
    buffer: event_buffer::EventBuffer,
    tx: mpsc::Sender<Result<Bytes, response_body::StreamAborted>>,
}

impl StreamForwarder {
    /// Forwards the stream until it ends, and records its end in metrics and the log.
    async fn run(mut self, first: EndpointStream) {
        let mut stream = first;
        let reason = loop {
            let end = self.forward(&mut stream).await;
            let resumed = match end {
                StreamEnd::Complete => {
                    if crash_evidence::is_proof(stream.written_for(), !stream.ends_with_connection) && !stream.is_proved
                    {
                        crash_watch::record_proof(&self.cx, &self.req_cx.call);
                    }
                    receive::release_connection(stream.lease, &stream.parts.headers, &stream.head);
                    break "answered";
                }
                StreamEnd::CallerDisconnected => break "caller left",
                StreamEnd::DeadlineExceeded => {
                    self.abort().await;
                    break "time is up";
                }
                StreamEnd::InstanceEnds => {
                    self.abort().await;
                    break "instance stopped";
                }
                StreamEnd::Interrupted(interruption) => self.resume_elsewhere(stream, interruption).await,
                StreamEnd::ShouldMove(reason) => self.hand_over(stream, reason).await,
            };
            match resumed {
                Ok(next) => stream = next,
                Err(reason) => {
                    self.abort().await;
                    break reason;
                }
            }
        };
        let took = boot_clock::now().since(self.req_cx.call.started);
        self.cx.metrics.record_outcome(200, reason);
        self.cx
            .metrics
            .observe_whole(self.req_cx.call.organisation(), self.req_cx.call.kind(), took);
        request::log_finished(&self.cx, &self.req_cx, 200, reason, took);
    }

    /// Resumes the stream after its endpoint has ended it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream can't be resumed.
    async fn resume_elsewhere(
        &mut self,
        stream: EndpointStream,
        interruption: Interruption,
    ) -> Result<EndpointStream, &'static str> {
        let lost = waiting::interrupted(&stream, interruption);
        drop(stream);
        if let Some(progress) = lost.broken {
            self.req_cx
                .examine_broken_response(&self.cx, &lost.endpoint, progress)
                .await;
        }
        self.record_failure(&lost.endpoint);
        let next = self.req_cx.attempts.lost();
        self.req_cx.attempt_failed(&self.cx, lost.why, next);
        self.resume(next, waiting::Waiting::default()).await
    }

    /// Asks other endpoints to take the stream over. It goes on at its own if none does.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream goes on nowhere.
    async fn hand_over(&mut self, stream: EndpointStream, reason: MoveReason) -> Result<EndpointStream, &'static str> {
        let endpoint = Arc::clone(&stream.slot.endpoint);
        if reason == MoveReason::Silent {
            self.cx.pool.close_idle(&endpoint.id);
            crash_watch::examine_silent_response(&self.cx, &self.req_cx.call, &endpoint, stream.progress());
        }
        self.record_failure(&endpoint);
        let next = self.req_cx.attempts.lost();
        self.req_cx.attempt_failed(&self.cx, reason.why(), next);
        // A slow rank slows its whole group while it has requests, and its passes may be long.
        let patience = self.req_cx.call.grant.route.patience();
        let held = (reason == MoveReason::SlowRank).then(|| patience.saturating_sub(SLOW_RANK_MARGIN));
        let mut waiting = waiting::Waiting::default();
        waiting.push(waiting::WaitingAttempt::stream(
            stream,
            self.buffer.clone(),
            self.req_cx.call.deadline,
            held,
        ));
        self.resume(next, waiting).await
    }

    fn record_failure(&self, endpoint: &endpoint::Endpoint) {
        let now = boot_clock::now();
        self.cx.placement.borrow_mut().record_failure(&endpoint.id, now);
    }

    /// Closes the caller's connection in a way that shows that the response is incomplete.
    async fn abort(&self) {
        // Sending fails only if the caller has already disconnected.
        let _sent = self.tx.send(Err(response_body::StreamAborted)).await;
    }

    /// Forwards complete events until the stream ends or should move.
    async fn forward(&mut self, stream: &mut EndpointStream) -> StreamEnd {
        let endpoint = Arc::clone(&stream.slot.endpoint);
        let service = &endpoint.service;
        let mut is_under_way = false;
        let cx = Rc::clone(&self.cx);
        let mut ending = std::pin::pin!(cx.ending());
        loop {
            if self.is_on_slow_rank(stream) {
                return StreamEnd::ShouldMove(MoveReason::SlowRank);
            }
            let remaining = self.req_cx.call.deadline.since(boot_clock::now());
            if remaining.is_zero() {
                return StreamEnd::DeadlineExceeded;
            }
            let next = tokio::select! {
                next = time::timeout(STALL_CHECK_INTERVAL.min(remaining), stream.next()) => next,
                () = self.tx.closed() => return StreamEnd::CallerDisconnected,
                () = ending.as_mut() => return StreamEnd::InstanceEnds,
            };
            let data = match next {
                Ok(Ok(Some(data))) => data,
                Ok(Ok(None)) => {
                    let fault = stream.end_fault(self.buffer.has_partial()).await;
                    return fault.map_or(StreamEnd::Complete, |why| {
                        StreamEnd::Interrupted(Interruption::Broken(why))
                    });
                }
                Ok(Err(interruption)) => return StreamEnd::Interrupted(interruption),
                Err(_) => {
                    if self.is_stalled(stream) {
                        return StreamEnd::ShouldMove(MoveReason::Silent);
                    }
                    continue;
                }
            };
            let events = match self.buffer.push(&data) {
                Ok(events) => events,
                Err(fault) => return StreamEnd::Interrupted(Interruption::Failed(fault.as_str())),
            };
            if events.is_empty() {
                // Bytes without a complete event are no progress: a stalled endpoint may still send some.
                if self.is_stalled(stream) {
                    return StreamEnd::ShouldMove(MoveReason::NoEvents);
                }
                continue;
            }
            let now = boot_clock::now();
            let pause = now.since(stream.last_event_at);
            stream.last_event_at = now;
            if is_under_way {
                self.cx.pacings.with(service, |p| p.record_pause(pause, now));
                self.req_cx.longest_pause = self.req_cx.longest_pause.max(pause);
            }
            is_under_way = true;
            stream.record_events(now);
            if !stream.is_proved && crash_evidence::is_proof(stream.written_for(), false) {
                stream.is_proved = true;
                crash_watch::record_proof(&self.cx, &self.req_cx.call);
            }
            self.cx.outages.with(service, |o| o.record_progress(&endpoint.id, now));
            if self.tx.send(Ok(events)).await.is_err() {
                return StreamEnd::CallerDisconnected;
            }
            if let Some(fault) = self.buffer.fault() {
                return StreamEnd::Interrupted(Interruption::Failed(fault.as_str()));
            }
        }
    }

    /// Returns whether a stream has stalled and can be offered to another endpoint.
    fn is_stalled(&self, stream: &EndpointStream) -> bool {
        is_stalled(&self.cx, &self.req_cx, stream)
    }

    /// Returns whether the stream should and can leave its endpoint, since that has become slow.
    fn is_on_slow_rank(&self, stream: &EndpointStream) -> bool {
        let endpoint = &stream.slot.endpoint;
        let snapshot = self.cx.snapshot();
        let current = snapshot.endpoints_of(&endpoint.service);
        current
            .iter()
            .any(|e| e.id == endpoint.id && placement::should_leave(e))
            && boot_clock::now() >= stream.may_move_at
            && request::can_move(&self.cx, &self.req_cx, &endpoint.service)
    }

    /// Asks other endpoints to go on after the last event that was forwarded, while those in `waiting` may still do so.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream goes on nowhere.
    async fn resume(
        &mut self,
        mut next: attempts::NextAttempt,
        mut waiting: waiting::Waiting,
    ) -> Result<EndpointStream, &'static str> {
        let mut position = self.buffer.clone();
        position.discard_partial();
        let cx = Rc::clone(&self.cx);
        let mut ending = std::pin::pin!(cx.ending());
        while request::stop_reason(&cx, &self.req_cx, next).is_none() {
            let step = tokio::select! {
                biased;
                () = self.tx.closed() => return Err("caller left"),
                () = ending.as_mut() => return Err("instance stopped"),
                begun = waiting.next() => Step::Begun(begun),
                result = attempt::run(&cx, &mut self.req_cx, &position) => Step::Attempt(result),
            };
            self.req_cx.examine_lost(&cx, waiting.take_lost()).await;
            let result = match step {
                Step::Begun(begun) => return self.go_on(begun),
                Step::Attempt(Ok(result)) => result,
                Step::Attempt(Err(_)) => break,
            };
            let why = match result {
                attempt::AttemptResult::Stream(open) if !waiting::is_continuation(&open.parts) => {
                    next = self.req_cx.attempts.failed();
                    self.record_failure(&open.slot.endpoint);
                    waiting::NO_CONTINUATION
                }
                attempt::AttemptResult::Stream(open) if waiting.is_empty() => {
                    self.buffer = position;
                    return Ok(EndpointStream::new(*open));
                }
                attempt::AttemptResult::Stream(open) => {
                    let race = tokio::select! {
                        biased;
                        () = self.tx.closed() => return Err("caller left"),
                        () = ending.as_mut() => return Err("instance stopped"),
                        race = race(&cx, &self.req_cx, &mut waiting, EndpointStream::new(*open), &position) => race,
                    };
                    match race {
                        waiting::Race::Begun(begun) => {
                            cx.metrics.record_taken_over();
                            self.buffer = begun.position;
                            return Ok(begun.stream);
                        }
                        waiting::Race::Other(begun) => return self.go_on(begun),
                        waiting::Race::Lost(lost) => {
                            next = self.req_cx.attempts.lost();
                            let why = lost.why;
                            self.req_cx.examine_lost(&cx, vec![lost]).await;
                            why
                        }
                        waiting::Race::Silent => {
                            next = self.req_cx.attempts.lost();
                            MoveReason::Silent.why()
                        }
                    }
                }
                attempt::AttemptResult::Response(_) | attempt::AttemptResult::OpenResponse(_) => {
                    self.req_cx.attempts.set_aside();
                    break;
                }
                attempt::AttemptResult::Silent {
                    waiting: attempt,
                    next: next_attempt,
                } => {
                    waiting.push(attempt);
                    next = next_attempt;
                    "no answer in time"
                }
                attempt::AttemptResult::Failed {
                    next: next_attempt,
                    why,
                    ..
                } => {
                    next = next_attempt;
                    why
                }
            };
            self.req_cx.attempt_failed(&cx, why, next);
        }
        let last = tokio::select! {
            biased;
            () = self.tx.closed() => return Err("caller left"),
            () = ending.as_mut() => return Err("instance stopped"),
            last = waiting.last() => last,
        };
        self.req_cx.examine_lost(&cx, waiting.take_lost()).await;
        last.map_or(Err("broke off"), |begun| self.go_on(begun))
    }

    /// Goes on with what an endpoint sends that had gone silent.
    fn go_on(&mut self, begun: waiting::Begun) -> Result<EndpointStream, &'static str> {
        self.req_cx.attempt_went_on(&self.cx);
        let waiting::Begun::Stream(begun) = begun else {
            return Err("broke off");
        };
        let waiting::BegunStream { mut stream, position } = *begun;
        self.buffer = position;
        stream.may_move_at = boot_clock::now() + MOVE_INTERVAL;
        self.req_cx.set_current(&stream.slot.endpoint.id);
        Ok(stream)
    }
}

/// Waits until `stream`, which follows `position`, or one of those in `waiting` goes on.
pub(crate) async fn race(
    cx: &context::GatewayContext,
    req_cx: &request::RequestContext,
    waiting: &mut waiting::Waiting,
    stream: EndpointStream,
    position: &event_buffer::EventBuffer,
) -> waiting::Race {
    let may_move = |stream: &EndpointStream| is_stalled(cx, req_cx, stream);
    waiting.race(stream, position, req_cx.call.deadline, may_move).await
}

/// Returns whether a stream has stalled and can be offered to another endpoint. Otherwise it is left alone, since it may only be
/// slow.
fn is_stalled(cx: &context::GatewayContext, req_cx: &request::RequestContext, stream: &EndpointStream) -> bool {
    let now = boot_clock::now();
    let service = &stream.slot.endpoint.service;
    let silence = now.since(stream.last_event_at);
    now >= stream.may_move_at
        && cx.outages.with(service, |o| o.is_stalled_connection(silence, now))
        && request::can_move(cx, req_cx, service)
}
