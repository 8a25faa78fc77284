//! A connection that records what is read and written.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::watch::ConnectionWatch;

/// A connection that records when the first byte of a request head arrives, and when responses are written.
#[derive(Debug)]
pub(crate) struct WatchedIo {
    inner: TcpStream,
    watch: ConnectionWatch,
    /// Whether the connection was closed in an orderly way.
    is_shut_down: bool,
}

impl WatchedIo {
    pub(crate) fn new(inner: TcpStream, watch: ConnectionWatch) -> Self {
        Self {
            inner,
            watch,
            is_shut_down: false,
        }
    }
}

impl Drop for WatchedIo {
    /// Resets the connection if its end would make a response look complete that was aborted.
    fn drop(&mut self) {
        if self.watch.ends_response() && !self.is_shut_down {
            // Without this option, the response looks complete. Nothing else can be done about that here.
            let _reset = SockRef::from(&self.inner).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for WatchedIo {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.watch.record_read();
        }
        polled
    }
}

impl AsyncWrite for WatchedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch.record_write(polled.is_pending());
        polled
    }

    /// Flushes. The HTTP library calls this only once its buffer is empty, so that all that was handed over is written
    /// then.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.inner).poll_flush(cx));
        self.watch.record_flush();
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut_down = true;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
