//! Forwards a streamed response to the caller, and resumes it at another endpoint if it breaks off.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sycamorestile_core::direct::{attempts, crash_evidence, endpoint, event_buffer, placement, response_class};
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempt;
use crate::context;
use crate::crash_watch;
use crate::header_adapter;
use crate::pool;
use crate::request;
use crate::response_body;

/// The interval at which a stream without new data is checked for a stalled connection.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The largest number of chunks that are queued for a slow caller.
const STREAM_QUEUE_CAPACITY: usize = 8;

/// Starts a task that forwards the stream, and returns the response for the caller.
pub(crate) fn start(
    cx: &Rc<context::GatewayContext>,
    req_cx: request::RequestContext,
    open: attempt::OpenStream,
    last_event_id: Option<String>,
) -> Response<response_body::ResponseBody> {
    let mut req_cx = req_cx;
    let took = boot_clock::now().since(req_cx.call.started);
    req_cx.first_byte_after = Some(took);
    cx.metrics
        .observe_first_byte(req_cx.call.organisation(), req_cx.call.kind(), took);
    let (tx, rx) = mpsc::channel(STREAM_QUEUE_CAPACITY);
    let attempt::OpenStream {
        mut parts,
        body,
        head,
        lease,
        slot,
    } = open;
    let headers = parts.headers.clone();
    let ends_with_connection = attempt::ends_with_connection(&headers, &body);
    // The length can change if the stream is resumed at another endpoint.
    parts.headers.remove(header::CONTENT_LENGTH);
    let response = attempt::caller_response(parts, response_body::ResponseBody::stream(rx));
    let forwarder = StreamForwarder {
        cx: Rc::clone(cx),
        req_cx,
        buffer: event_buffer::EventBuffer::after(last_event_id),
        tx,
    };
    tokio::task::spawn_local(forwarder.run(EndpointStream {
        headers,
        body,
        head,
        lease,
        slot,
        ends_with_connection,
        written: None,
        events: 0,
        first_event: None,
        is_proved: false,
    }));
    response
}

/// The part of a stream that one endpoint sends.
struct EndpointStream {
    headers: HeaderMap,
    body: Incoming,
    head: header_adapter::ResponseHead,
    lease: pool::Lease,
    slot: request::EndpointSlot,
    ends_with_connection: bool,
    /// When the first and the last event arrived.
    written: Option<(Time, Time)>,
    /// The number of events.
    events: usize,
    /// When the first event arrived, by a clock that stops while the instance is suspended.
    first_event: Option<time::Instant>,
    /// Whether this part has proved the segments of the prompt sound.
    is_proved: bool,
}

impl EndpointStream {
    /// Records that events arrived. Those that arrive together count as one, since one pass may have written them.
    fn record_events(&mut self, now: Time) {
        let (first, _) = self.written.unwrap_or((now, now));
        self.written = Some((first, now));
        self.events += 1;
        self.first_event.get_or_insert_with(time::Instant::now);
    }

    /// Returns how much had arrived when the connection was closed, which is now.
    fn progress(&self) -> crash_watch::Progress {
        crash_watch::Progress {
            events: self.events,
            written_for: self.written_for(),
            held_for: self.first_event.map_or(Duration::ZERO, |at| at.elapsed()),
        }
    }

    /// Returns the time from the first to the last event.
    fn written_for(&self) -> Duration {
        self.written.map_or(Duration::ZERO, |(first, last)| last.since(first))
    }
}

/// The reason why an endpoint's part of a stream ended.
enum StreamEnd {
    /// The endpoint completed the stream.
    Complete,
    /// The stream can only go on at another endpoint.
    Interrupted(Interruption),
    /// The caller disconnected.
    CallerDisconnected,
    /// The caller's deadline or the route's timeout was reached.
    DeadlineExceeded,
    /// The instance is about to be killed.
    InstanceEnds,
}

/// The reason why a stream can't go on at its endpoint.
enum Interruption {
    /// The endpoint closed the connection too early.
    Broken(&'static str),
    /// The connection went silent.
    Silent,
    /// The endpoint sends no events, the data is invalid, or the stream should move to another endpoint.
    Failed(&'static str),
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
            let id = Arc::clone(&stream.slot.endpoint.id);
            match end {
                StreamEnd::Complete => {
                    if crash_evidence::is_proof(stream.written_for(), !stream.ends_with_connection) && !stream.is_proved
                    {
                        crash_watch::record_proof(&self.cx, &self.req_cx.call);
                    }
                    attempt::release_connection(stream.lease, &stream.headers, &stream.head);
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
                StreamEnd::Interrupted(interruption) => {
                    let endpoint = Arc::clone(&stream.slot.endpoint);
                    let progress = stream.progress();
                    drop(stream);
                    let why = self.examine(interruption, &endpoint, progress).await;
                    self.cx.placement.borrow_mut().record_failure(&id, boot_clock::now());
                    let next = self.req_cx.attempts.lost();
                    self.req_cx.attempt_failed(&self.cx, why, next);
                    if let Some(next) = self.resume(next).await {
                        stream = next;
                    } else {
                        self.abort().await;
                        break "broke off";
                    }
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

    /// Finds out what an `interruption` tells of `endpoint`, and returns its reason.
    async fn examine(
        &mut self,
        interruption: Interruption,
        endpoint: &Arc<endpoint::Endpoint>,
        progress: crash_watch::Progress,
    ) -> &'static str {
        match interruption {
            Interruption::Broken(why) => {
                self.req_cx.examine_broken_response(&self.cx, endpoint, progress).await;
                why
            }
            Interruption::Silent => {
                crash_watch::examine_silent_response(&self.cx, &self.req_cx.call, endpoint, progress);
                "stream went silent"
            }
            Interruption::Failed(why) => why,
        }
    }

    /// Closes the caller's connection in a way that shows that the response is incomplete.
    async fn abort(&self) {
        // Sending fails only if the caller has already disconnected.
        let _sent = self.tx.send(Err(response_body::StreamAborted)).await;
    }

    /// Forwards complete events from `body` until it ends.
    async fn forward(&mut self, stream: &mut EndpointStream) -> StreamEnd {
        let endpoint = Arc::clone(&stream.slot.endpoint);
        let service = &endpoint.service;
        let mut last_event_at = boot_clock::now();
        let mut is_under_way = false;
        let cx = Rc::clone(&self.cx);
        let mut ending = std::pin::pin!(cx.ending());
        loop {
            if self.is_on_slow_rank(&endpoint) {
                return StreamEnd::Interrupted(Interruption::Failed("rank became slow"));
            }
            let remaining = self.req_cx.call.deadline.since(boot_clock::now());
            if remaining.is_zero() {
                return StreamEnd::DeadlineExceeded;
            }
            let next = tokio::select! {
                next = time::timeout(STALL_CHECK_INTERVAL.min(remaining), stream.body.frame()) => next,
                () = self.tx.closed() => return StreamEnd::CallerDisconnected,
                () = ending.as_mut() => return StreamEnd::InstanceEnds,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return StreamEnd::Interrupted(Interruption::Broken("stream broke")),
                Ok(None) if self.buffer.has_partial() => {
                    return StreamEnd::Interrupted(Interruption::Broken("stream ended within an event"));
                }
                Ok(None) if stream.ends_with_connection && stream.events == 0 => {
                    return StreamEnd::Interrupted(Interruption::Broken("stream ended before an event"));
                }
                Ok(None) if stream.ends_with_connection && pool::Pool::refuses_connections(&endpoint).await => {
                    return StreamEnd::Interrupted(Interruption::Broken("endpoint crashed"));
                }
                Ok(None) => return StreamEnd::Complete,
                Err(_) => {
                    if self.is_stalled(&endpoint, last_event_at) {
                        self.cx.pool.close_idle(&endpoint.id);
                        return StreamEnd::Interrupted(Interruption::Silent);
                    }
                    continue;
                }
            };
            let Some(data) = frame.data_ref() else { continue };
            let events = match self.buffer.push(data) {
                Ok(events) => events,
                Err(fault) => return StreamEnd::Interrupted(Interruption::Failed(fault.as_str())),
            };
            if events.is_empty() {
                // Bytes without a complete event are no progress: a stalled endpoint may still send some.
                if self.is_stalled(&endpoint, last_event_at) {
                    return StreamEnd::Interrupted(Interruption::Failed("stream sends no events"));
                }
                continue;
            }
            let now = boot_clock::now();
            let pause = now.since(last_event_at);
            last_event_at = now;
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
            self.cx
                .outages
                .with(service, |o| o.record_progress(&endpoint.id, last_event_at));
            if self.tx.send(Ok(events)).await.is_err() {
                return StreamEnd::CallerDisconnected;
            }
            if let Some(fault) = self.buffer.fault() {
                return StreamEnd::Interrupted(Interruption::Failed(fault.as_str()));
            }
        }
    }

    /// Returns whether a stream whose last event arrived at `last_event_at` has stalled and can be continued at another
    /// endpoint. Otherwise it is not cut, since it may only be slow.
    fn is_stalled(&self, endpoint: &endpoint::Endpoint, last_event_at: Time) -> bool {
        let now = boot_clock::now();
        self.cx.outages.with(&endpoint.service, |o| {
            o.is_stalled_connection(now.since(last_event_at), now)
        }) && request::can_move(&self.cx, &self.req_cx, &endpoint.service)
    }

    /// Returns whether the stream should and can leave its endpoint, since that has become slow.
    fn is_on_slow_rank(&self, endpoint: &endpoint::Endpoint) -> bool {
        let snapshot = self.cx.snapshot();
        let current = snapshot.endpoints_of(&endpoint.service);
        current
            .iter()
            .any(|e| e.id == endpoint.id && placement::should_leave(e))
            && request::can_move(&self.cx, &self.req_cx, &endpoint.service)
    }

    /// Resumes the stream at another endpoint, after the last event that was forwarded.
    ///
    /// Returns `None` if the stream can't be resumed.
    async fn resume(&mut self, mut next: attempts::NextAttempt) -> Option<EndpointStream> {
        self.buffer.discard_partial();
        loop {
            if request::stop_reason(&self.cx, &self.req_cx, next).is_some() {
                return None;
            }
            let last_event_id = self.buffer.last_id().map(str::to_owned);
            let cx = Rc::clone(&self.cx);
            let result = tokio::select! {
                result = attempt::run(&cx, &mut self.req_cx, last_event_id.as_deref()) => result,
                () = self.tx.closed() => return None,
            };
            match result.ok()? {
                attempt::AttemptResult::Stream(open) if !is_continuation(&open.parts) => {
                    next = self.req_cx.attempts.failed();
                    let id = &open.slot.endpoint.id;
                    self.cx.placement.borrow_mut().record_failure(id, boot_clock::now());
                    let why = "endpoint answered something else than the rest of the stream";
                    self.req_cx.attempt_failed(&self.cx, why, next);
                }
                attempt::AttemptResult::Stream(open) => {
                    let attempt::OpenStream {
                        parts,
                        body,
                        head,
                        lease,
                        slot,
                    } = *open;
                    return Some(EndpointStream {
                        ends_with_connection: attempt::ends_with_connection(&parts.headers, &body),
                        headers: parts.headers,
                        body,
                        head,
                        lease,
                        slot,
                        written: None,
                        events: 0,
                        first_event: None,
                        is_proved: false,
                    });
                }
                attempt::AttemptResult::Response(_) | attempt::AttemptResult::OpenResponse(_) => return None,
                attempt::AttemptResult::Failed {
                    next: next_attempt,
                    why,
                    ..
                } => {
                    self.req_cx.attempt_failed(&self.cx, why, next_attempt);
                    next = next_attempt;
                }
            }
        }
    }
}

/// Returns whether a response can continue a stream that another endpoint has begun.
fn is_continuation(parts: &http::response::Parts) -> bool {
    let media_type = parts.headers.get(header::CONTENT_TYPE);
    // A media type that is no text is none of events.
    let media_type = media_type.map(|value| value.to_str().unwrap_or_default());
    response_class::is_continuation(parts.status.as_u16(), media_type)
}
