//! The body of a request that a server received.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::runtime::Handle;
use tokio::time;

/// Time for which the rest of a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest rest of a body that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// The body of a request.
///
/// If it is dropped before its end, the rest is read and discarded in a background task. Otherwise the connection would
/// be closed with unread data, and the caller would see a reset instead of the response.
#[derive(Debug)]
pub struct RequestBody {
    /// `None` only while the body is dropped.
    incoming: Option<Incoming>,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming) -> Self {
        Self {
            incoming: Some(incoming),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut self.incoming {
            Some(incoming) => Pin::new(incoming).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let rest = self.incoming.take().filter(|body| !body.is_end_stream());
        // Without a runtime, the process is exiting and its connections end anyway.
        let (Some(rest), Ok(runtime)) = (rest, Handle::try_current()) else {
            return;
        };
        runtime.spawn(async move {
            let mut rest = Limited::new(rest, MAX_DISCARDED_BYTES);
            let discarding = async { while let Some(Ok(_)) = rest.frame().await {} };
            // After the timeout, the caller has had enough time to read the response.
            let _read = time::timeout(DISCARD_TIMEOUT, discarding).await;
        });
    }
}
