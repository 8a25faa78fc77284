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

use crate::cx;
use crate::exchange;
use crate::header_adapter;
use crate::pool;
use crate::stream;
use crate::way;

/// Interval at which a silent stream is looked at.
const SILENCE_LOOK: Duration = Duration::from_millis(200);
/// Chunks of a stream that wait for a slow caller.
const STREAM_QUEUE: usize = 8;

/// Begins to hand on a stream.
pub(crate) fn stream_answer(
    cx: &Rc<cx::Cx>,
    way: way::Way,
    open: exchange::OpenStream,
    last_event_id: Option<String>,
) -> Response<stream::AnswerBody> {
    let took = boot_clock::now().since(way.call.started);
    cx.metrics.first_byte(way.call.organisation(), way.call.kind(), took);
    let (tx, rx) = mpsc::channel(STREAM_QUEUE);
    let exchange::OpenStream {
        mut head,
        body,
        answer,
        lease,
        place,
    } = open;
    // A continued stream can have another length.
    head.headers.remove(header::CONTENT_LENGTH);
    let headers = head.headers.clone();
    let response = exchange::hand_on(head, stream::AnswerBody::stream(rx));
    let pump = Pump {
        cx: Rc::clone(cx),
        way,
        cut: event_buffer::EventBuffer::after(last_event_id),
        tx,
    };
    tokio::task::spawn_local(pump.run(Leg {
        headers,
        body,
        answer,
        lease,
        place,
    }));
    response
}

/// One endpoint's part of a stream.
struct Leg {
    headers: HeaderMap,
    body: Incoming,
    answer: header_adapter::ResponseHead,
    lease: pool::Lease,
    place: way::Place,
}

/// Why a leg ended.
enum LegEnd {
    /// The endpoint ended the stream.
    Whole,
    /// The endpoint broke off or went silent.
    Broken(&'static str),
    /// The caller left.
    CallerLeft,
    /// The caller's or the route's time is up.
    TimeUp,
}

/// Hands a stream on, through further endpoints where one breaks off.
struct Pump {
    cx: Rc<cx::Cx>,
    way: way::Way,
    cut: event_buffer::EventBuffer,
    tx: mpsc::Sender<Result<Bytes, stream::BrokenOff>>,
}

impl Pump {
    async fn run(mut self, first: Leg) {
        let mut leg = first;
        let reason = loop {
            let end = self.hand_on(&mut leg.body, &leg.place.endpoint.service).await;
            let id = Arc::clone(&leg.place.endpoint.id);
            match end {
                LegEnd::Whole => {
                    exchange::give_back(leg.lease, &leg.headers, &leg.answer);
                    break "answered";
                }
                LegEnd::CallerLeft => break "caller left",
                LegEnd::TimeUp => {
                    self.break_off().await;
                    break "time is up";
                }
                LegEnd::Broken(why) => {
                    drop(leg);
                    self.cx.placement.borrow_mut().record_failure(&id, boot_clock::now());
                    let next = self.way.relay.lost();
                    self.way.came_to_nothing(&self.cx, why, next);
                    if let Some(next) = self.resume(next).await {
                        leg = next;
                    } else {
                        self.break_off().await;
                        break "broke off";
                    }
                }
            }
        };
        let took = boot_clock::now().since(self.way.call.started);
        self.cx.metrics.outcome(200, reason);
        self.cx
            .metrics
            .whole(self.way.call.organisation(), self.way.call.kind(), took);
        way::log_end(&self.cx, &self.way, 200, reason, took);
    }

    async fn break_off(&self) {
        // A caller that has left needs no sign.
        let _sent = self.tx.send(Err(stream::BrokenOff)).await;
    }

    /// Hands on whole events until the leg ends.
    async fn hand_on(&mut self, body: &mut Incoming, service: &Arc<str>) -> LegEnd {
        let mut heard = boot_clock::now();
        loop {
            let left = self.way.call.deadline.since(boot_clock::now());
            if left.is_zero() {
                return LegEnd::TimeUp;
            }
            let next = tokio::select! {
                next = time::timeout(SILENCE_LOOK.min(left), body.frame()) => next,
                () = self.tx.closed() => return LegEnd::CallerLeft,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return LegEnd::Broken("stream broke"),
                Ok(None) if self.cut.has_partial() => return LegEnd::Broken("stream ended within an event"),
                Ok(None) => return LegEnd::Whole,
                Err(_) => {
                    let now = boot_clock::now();
                    if self
                        .cx
                        .with_outage(service, |o| o.is_stalled_connection(now.since(heard), now))
                    {
                        return LegEnd::Broken("stream went silent");
                    }
                    continue;
                }
            };
            heard = boot_clock::now();
            self.cx.with_outage(service, |o| o.record_progress(heard));
            let Some(data) = frame.data_ref() else { continue };
            let Ok(whole) = self.cut.push(data) else {
                return LegEnd::Broken("event too long");
            };
            if !whole.is_empty() && self.tx.send(Ok(whole)).await.is_err() {
                return LegEnd::CallerLeft;
            }
        }
    }

    /// Continues the stream at another endpoint after the last event that was handed on.
    async fn resume(&mut self, mut next: attempts::NextAttempt) -> Option<Leg> {
        self.cut.discard_partial();
        loop {
            if way::stopped(&self.cx, &self.way, next).is_some() {
                return None;
            }
            let last_event_id = self.cut.last_id().map(str::to_owned);
            let cx = Rc::clone(&self.cx);
            let sent = tokio::select! {
                sent = exchange::send(&cx, &mut self.way, last_event_id.as_deref()) => sent,
                () = self.tx.closed() => return None,
            };
            match sent.ok()? {
                exchange::Sent::Stream(open) => {
                    let exchange::OpenStream {
                        head,
                        body,
                        answer,
                        lease,
                        place,
                    } = *open;
                    return Some(Leg {
                        headers: head.headers,
                        body,
                        answer,
                        lease,
                        place,
                    });
                }
                exchange::Sent::Whole(_) => return None,
                exchange::Sent::Nothing { next: after, why, .. } => {
                    self.way.came_to_nothing(&self.cx, why, after);
                    next = after;
                }
            }
        }
    }
}
