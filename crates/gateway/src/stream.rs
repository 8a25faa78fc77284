//! Body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::cx;
use crate::idle_watch;

/// An answer that can't be finished. The connection is closed in a way that shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub(crate) struct BrokenOff;

/// Where the bytes come from.
pub(crate) enum Source {
    /// All there.
    Whole(Option<Bytes>),
    /// Handed on as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

/// Body of an answer. The request counts as in flight for as long as it lives.
pub(crate) struct AnswerBody {
    source: Source,
    /// Ends with the body.
    held: Option<(cx::InFlight, idle_watch::Busy)>,
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: Source::Whole(Some(bytes.into()).filter(|b: &Bytes| !b.is_empty())),
            held: None,
        }
    }

    pub(crate) fn stream(rx: mpsc::Receiver<Result<Bytes, BrokenOff>>) -> Self {
        Self {
            source: Source::Stream(rx),
            held: None,
        }
    }

    /// Keeps the request in flight while the body is written.
    pub(crate) fn holding(mut self, in_flight: cx::InFlight, busy: idle_watch::Busy) -> Self {
        self.held = Some((in_flight, busy));
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Source::Stream(rx) => rx.poll_recv(cx).map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Source::Stream(_) => SizeHint::default(),
        }
    }
}
