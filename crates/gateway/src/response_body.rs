//! Body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::context;
use crate::idle_watch;

/// An answer that can't be finished. The connection is closed in a way that shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub(crate) struct StreamAborted;

/// Where the bytes come from.
pub(crate) enum BodySource {
    /// All there.
    Whole(Option<Bytes>),
    /// Handed on as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

/// Body of an answer. The request counts as in flight for as long as it lives.
pub(crate) struct ResponseBody {
    source: BodySource,
    /// Ends with the body.
    guards: Option<(context::InFlightGuard, idle_watch::BusyGuard)>,
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: BodySource::Whole(Some(bytes.into()).filter(|b: &Bytes| !b.is_empty())),
            guards: None,
        }
    }

    pub(crate) fn stream(rx: mpsc::Receiver<Result<Bytes, StreamAborted>>) -> Self {
        Self {
            source: BodySource::Stream(rx),
            guards: None,
        }
    }

    /// Keeps the request in flight while the body is written.
    pub(crate) fn with_guards(mut self, in_flight: context::InFlightGuard, busy: idle_watch::BusyGuard) -> Self {
        self.guards = Some((in_flight, busy));
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut self.source {
            BodySource::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            BodySource::Stream(rx) => rx.poll_recv(cx).map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, BodySource::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            BodySource::Stream(_) => SizeHint::default(),
        }
    }
}
