//! The caller's side of one call.
//!
//! A response that is not a stream is buffered until it is complete, so that the caller never receives a truncated one.
//! Of an event stream, only complete events are forwarded; it ends with the endpoint's end event or with an `error`
//! event.

use bytes::Bytes;
use sycamorestile_core::event_stream;
use sycamorestile_core::problem;
use sycamorestile_core::time;
use tokio::sync::{mpsc, oneshot};

use crate::entry::caller_response;

/// Maximum number of events buffered for a slow caller.
const CALLER_QUEUE: usize = 256;

/// Head of the endpoint's response.
#[derive(Debug)]
struct Head {
    status: u16,
    content_type: Option<Box<str>>,
}

/// The part of the response that was passed to the caller so far.
#[derive(Debug)]
pub(crate) struct Sink {
    /// Taken when the head of the response is sent.
    reply: Option<oneshot::Sender<caller_response::CallerResponse>>,
    head: Option<Head>,
    /// Body of a response that is not a stream.
    body: Vec<u8>,
    /// Set once the head of a stream was sent.
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

    /// Returns whether the caller has disconnected.
    pub(crate) fn is_closed(&self) -> bool {
        match (&self.reply, &self.events_tx) {
            (Some(reply), _) => reply.is_closed(),
            (None, Some(events)) => events.is_closed(),
            (None, None) => false,
        }
    }

    /// Returns the number of forwarded events.
    pub(crate) fn event_count(&self) -> u32 {
        self.events
    }

    /// Returns the time at which the last event was forwarded.
    pub(crate) fn last_event(&self) -> Option<time::Time> {
        self.last_event
    }

    /// Sets the head of the response. Returns `false` if the head cannot continue the stream in progress.
    pub(crate) fn set_head(&mut self, status: u16, content_type: Option<Box<str>>) -> bool {
        if self.events_tx.is_some() {
            let same_status = self.head.as_ref().is_some_and(|h| h.status == status);
            return same_status && is_event_stream(content_type.as_deref());
        }
        self.body.clear();
        self.head = Some(Head { status, content_type });
        true
    }

    /// Adds data to the response. Returns `true` if this started a stream to the caller.
    pub(crate) async fn push_data(&mut self, data: Vec<u8>, now: time::Time) -> bool {
        let is_stream = self
            .head
            .as_ref()
            .is_some_and(|h| is_event_stream(h.content_type.as_deref()));
        if !is_stream {
            self.body.extend_from_slice(&data);
            return false;
        }
        let started = self.start_stream();
        self.events += u32::from(event_stream::has_data(&data));
        if let Some(events) = &self.events_tx {
            // A disconnected caller is detected by `is_closed`.
            let _sent = events.send(Bytes::from(data)).await;
        }
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

    /// Completes the response.
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

    /// Ends the call with a problem.
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
    content_type.is_some_and(event_stream::is_event_stream)
}
