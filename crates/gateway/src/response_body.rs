//! The body of a response to a caller.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use sycamorestile_connection::watch;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::response_account::Block;

/// The error that ends a streamed response early. It makes hyper close the connection without the end of the body, so
/// that the caller sees that the response is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the streamed response was aborted")]
pub(crate) struct StreamAborted;

/// The source of a body's data.
pub(crate) enum BodySource {
    /// All data, or `None` once it was read.
    Whole(Option<Bytes>),
    /// Blocks of an endpoint's response, and what follows them if it is still being read.
    Blocks(VecDeque<Block>, Option<mpsc::Receiver<Result<Block, StreamAborted>>>),
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

    /// Returns a body that consists of `blocks`, and of what is received from `rest` if there is one.
    pub(crate) fn blocks(blocks: Vec<Block>, rest: Option<mpsc::Receiver<Result<Block, StreamAborted>>>) -> Self {
        Self {
            source: BodySource::Blocks(blocks.into(), rest),
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
            BodySource::Blocks(blocks, rest) => {
                // The library takes no more than it is about to write, so that a block is no longer held from here on.
                if let Some(block) = blocks.pop_front() {
                    return Poll::Ready(Some(Ok(Frame::data(block.take()))));
                }
                let Some(rest) = rest else { return Poll::Ready(None) };
                rest.poll_recv(cx)
                    .map(|next| next.map(|block| block.map(|block| Frame::data(block.take()))))
            }
            BodySource::Stream(rx) => rx.poll_recv(cx).map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(bytes) => bytes.is_none(),
            BodySource::Blocks(blocks, rest) => blocks.is_empty() && rest.is_none(),
            BodySource::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            BodySource::Blocks(blocks, None) => {
                SizeHint::with_exact(blocks.iter().map(|block| block.len() as u64).sum())
            }
            BodySource::Blocks(_, Some(_)) | BodySource::Stream(_) => SizeHint::default(),
        }
    }
}
