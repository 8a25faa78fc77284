//! The body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use sycamorestile_connection::watch;
use thiserror::Error;
use tokio::sync::mpsc;

/// The error that ends a streamed response early. It makes hyper close the connection without the end of the body, so
/// that the caller sees that the response is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the streamed response was aborted")]
pub(crate) struct StreamAborted;

/// The source of a body's data.
pub(crate) enum BodySource {
    /// All data, or `None` once it was read.
    Whole(Option<Bytes>),
    /// Chunks that are forwarded as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

/// The body of a response to a caller.
pub(crate) struct ResponseBody {
    source: BodySource,
    /// Dropped together with the body, when the response is handed over to the HTTP library.
    guard: Option<watch::RequestGuard>,
}

impl ResponseBody {
    /// Returns a body that consists of `bytes`.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: BodySource::Whole(Some(bytes.into()).filter(|b: &Bytes| !b.is_empty())),
            guard: None,
        }
    }

    /// Returns a body whose chunks are received from `rx`.
    pub(crate) fn stream(rx: mpsc::Receiver<Result<Bytes, StreamAborted>>) -> Self {
        Self {
            source: BodySource::Stream(rx),
            guard: None,
        }
    }

    /// Keeps the request in progress until the body is dropped.
    pub(crate) fn with_guard(mut self, guard: watch::RequestGuard) -> Self {
        self.guard = Some(guard);
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
