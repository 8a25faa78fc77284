//! A response body that keeps its request in progress.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};
use sycamorestile_connection::watch::RequestGuard;

/// A response body that keeps its request in progress until the HTTP library has taken it over.
#[derive(Debug)]
pub(crate) struct GuardedBody<B> {
    inner: B,
    _guard: RequestGuard,
}

impl<B> GuardedBody<B> {
    pub(crate) fn new(inner: B, guard: RequestGuard) -> Self {
        Self { inner, _guard: guard }
    }
}

impl<B> Body for GuardedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
