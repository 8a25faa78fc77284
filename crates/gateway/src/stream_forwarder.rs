//! Hands a stream on to its caller, through further endpoints where one breaks off.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sycamorestile_core::direct::{attempts, event_buffer};
use sycamorestile_table::boot_clock;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempt;
use crate::context;
use crate::header_adapter;
use crate::pool;
use crate::request;
use crate::response_body;

/// Interval at which a silent stream is looked at.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Chunks of a stream that wait for a slow caller.
const STREAM_QUEUE_CAPACITY: usize = 8;

/// Begins to hand on a stream.
pub(crate) fn start(
    cx: &Rc<context::GatewayContext>,
    req_cx: request::RequestContext,
    open: attempt::OpenStream,
    last_event_id: Option<String>,
) -> Response<response_body::ResponseBody> {
    let took = boot_clock::now().since(req_cx.call.started);
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
    // A continued stream can have another length.
    parts.headers.remove(header::CONTENT_LENGTH);
    let headers = parts.headers.clone();
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
    }));
    response
}

/// One endpoint's part of a stream.
struct EndpointStream {
    headers: HeaderMap,
    body: Incoming,
    head: header_adapter::ResponseHead,
    lease: pool::Lease,
    slot: request::EndpointSlot,
}

/// Why a leg ended.
enum StreamEnd {
    /// The endpoint ended the stream.
    Complete,
    /// The endpoint broke off or went silent.
    Failed(&'static str),
    /// The caller left.
    CallerLeft,
    /// The caller's or the route's time is up.
    DeadlineExceeded,
}

/// Hands a stream on, through further endpoints where one breaks off.
struct StreamForwarder {
    cx: Rc<context::GatewayContext>,
    req_cx: request::RequestContext,
    buffer: event_buffer::EventBuffer,
    tx: mpsc::Sender<Result<Bytes, response_body::StreamAborted>>,
}

impl StreamForwarder {
    async fn run(mut self, first: EndpointStream) {
        let mut stream = first;
        let reason = loop {
            let end = self.forward(&mut stream.body, &stream.slot.endpoint.service).await;
            let id = Arc::clone(&stream.slot.endpoint.id);
            match end {
                StreamEnd::Complete => {
                    attempt::release_connection(stream.lease, &stream.headers, &stream.head);
                    break "answered";
                }
                StreamEnd::CallerLeft => break "caller left",
                StreamEnd::DeadlineExceeded => {
                    self.abort().await;
                    break "time is up";
                }
                StreamEnd::Failed(why) => {
                    drop(stream);
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

    async fn abort(&self) {
        // A caller that has left needs no sign.
        let _sent = self.tx.send(Err(response_body::StreamAborted)).await;
    }

    /// Hands on whole events until the leg ends.
    async fn forward(&mut self, body: &mut Incoming, service: &Arc<str>) -> StreamEnd {
        let mut last_data_at = boot_clock::now();
        loop {
            let left = self.req_cx.call.deadline.since(boot_clock::now());
            if left.is_zero() {
                return StreamEnd::DeadlineExceeded;
            }
            let next = tokio::select! {
                next = time::timeout(STALL_CHECK_INTERVAL.min(left), body.frame()) => next,
                () = self.tx.closed() => return StreamEnd::CallerLeft,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return StreamEnd::Failed("stream broke"),
                Ok(None) if self.buffer.has_partial() => return StreamEnd::Failed("stream ended within an event"),
                Ok(None) => return StreamEnd::Complete,
                Err(_) => {
                    let now = boot_clock::now();
                    if self
                        .cx
                        .with_outage_detector(service, |o| o.is_stalled_connection(now.since(last_data_at), now))
                    {
                        return StreamEnd::Failed("stream went silent");
                    }
                    continue;
                }
            };
            last_data_at = boot_clock::now();
            self.cx
                .with_outage_detector(service, |o| o.record_progress(last_data_at));
            let Some(data) = frame.data_ref() else { continue };
            let Ok(whole) = self.buffer.push(data) else {
                return StreamEnd::Failed("event too long");
            };
            if !whole.is_empty() && self.tx.send(Ok(whole)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }

    /// Continues the stream at another endpoint after the last event that was handed on.
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
                attempt::AttemptResult::Stream(open) => {
                    let attempt::OpenStream {
                        parts,
                        body,
                        head,
                        lease,
                        slot,
                    } = *open;
                    return Some(EndpointStream {
                        headers: parts.headers,
                        body,
                        head,
                        lease,
                        slot,
                    });
                }
                attempt::AttemptResult::Response(_) => return None,
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
