//! The caller's side of one call.
//!
//! An answer that is no stream is held until its end mark has come, so that a cut one can't pass for whole. Of a stream
//! only whole events are handed on; it ends with the endpoint's end mark or with an `error` event.

use bytes::Bytes;
use sycamorestile_core::problem;
use sycamorestile_core::time;
use tokio::sync::{mpsc, oneshot};

use crate::entry::caller_response;

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// Events that may wait for a slow caller.
const CALLER_QUEUE: usize = 256;

/// Head of the endpoint's answer.
#[derive(Debug)]
struct Head {
    status: u16,
    content_type: Option<Box<str>>,
}

/// What was handed to the caller so far.
#[derive(Debug)]
pub(crate) struct Sink {
    /// Taken when the answer's head goes out.
    reply: Option<oneshot::Sender<caller_response::CallerResponse>>,
    head: Option<Head>,
    /// Body of an answer that is no stream.
    body: Vec<u8>,
    /// Present once a stream's head went out.
    events_tx: Option<mpsc::Sender<Bytes>>,
    events: u32,
    last_event: Option<time::Time>,
}

impl Sink {
    pub(crate) fn new(reply: oneshot::Sender<caller_response::CallerResponse>) -> Self {
        Self {
            reply: Some(reply),
            head: None,
            body: Vec::new(),
            events_tx: None,
            events: 0,
            last_event: None,
        }
    }

    /// Whether the caller has gone.
    pub(crate) fn is_closed(&self) -> bool {
        match (&self.reply, &self.events_tx) {
            (Some(reply), _) => reply.is_closed(),
            (None, Some(events)) => events.is_closed(),
            (None, None) => false,
        }
    }

    /// Events handed on.
    pub(crate) fn event_count(&self) -> u32 {
        self.events
    }

    /// When the last event was handed on.
    pub(crate) fn last_event(&self) -> Option<time::Time> {
        self.last_event
    }

    /// Takes the head of an answer; `false` when it can't continue the stream under way.
    pub(crate) fn set_head(&mut self, status: u16, content_type: Option<Box<str>>) -> bool {
        if self.events_tx.is_some() {
            let same_status = self.head.as_ref().is_some_and(|h| h.status == status);
            return same_status && is_event_stream(content_type.as_deref());
        }
        self.body.clear();
        self.head = Some(Head { status, content_type });
        true
    }

    /// Takes bytes of an answer; `true` when they began a stream to the caller.
    pub(crate) async fn push_data(&mut self, data: Vec<u8>, now: time::Time) -> bool {
        let streams = self
            .head
            .as_ref()
            .is_some_and(|h| is_event_stream(h.content_type.as_deref()));
        if !streams {
            self.body.extend_from_slice(&data);
            return false;
        }
        let started = self.start_stream();
        if let Some(events) = &self.events_tx {
            // A caller that has gone is noticed by `is_closed`.
            let _sent = events.send(Bytes::from(data)).await;
        }
        self.events += 1;
        self.last_event = Some(now);
        started
    }

    fn start_stream(&mut self) -> bool {
        let (Some(reply), Some(head)) = (self.reply.take(), &self.head) else {
            return false;
        };
        let (tx, events) = mpsc::channel(CALLER_QUEUE);
        let stream = caller_response::CallerResponse::Stream {
            status: head.status,
            content_type: head.content_type.clone(),
            events,
        };
        let _sent = reply.send(stream);
        self.events_tx = Some(tx);
        true
    }

    /// The whole answer has come.
    pub(crate) fn finish(&mut self) {
        if let (Some(reply), Some(head)) = (self.reply.take(), self.head.take()) {
            let response = caller_response::CallerResponse::Complete {
                status: head.status,
                content_type: head.content_type,
                body: std::mem::take(&mut self.body),
            };
            let _sent = reply.send(response);
        }
        self.events_tx = None;
    }

    /// The call has failed or is refused.
    pub(crate) async fn fail(&mut self, problem: problem::Problem) {
        if let Some(reply) = self.reply.take() {
            let _sent = reply.send(caller_response::CallerResponse::Problem(problem));
            return;
        }
        if let Some(events) = self.events_tx.take() {
            let body = serde_json::to_string(&problem.body()).unwrap_or_default();
            let _sent = events
                .send(Bytes::from(format!("event: error\ndata: {body}\n\n")))
                .await;
        }
    }
}

fn is_event_stream(content_type: Option<&str>) -> bool {
    content_type.is_some_and(|t| t.starts_with(EVENT_STREAM))
}
