//! Bounds what a connection reads without a result.
//!
//! The HTTP library bounds each head, but neither the number of interim responses before the final one nor the digits of a chunk's
//! length. A server that sends nothing else would keep the thread busy for as long as it sends.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read until a head or a part of a body comes of them. More than the HTTP library reads ahead.
const MAX_BYTES: usize = 160 << 10;

/// What a connection may still read. Clones share it.
#[derive(Debug, Clone)]
pub struct ReadLimit {
    /// The number of bytes; [`usize::MAX`] without a limit.
    left: Arc<AtomicUsize>,
}

impl ReadLimit {
    /// Records that a request is sent, or that a part of its response has come.
    pub fn renew(&self) {
        self.left.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit.
    pub fn lift(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A connection that fails once it has read too much.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
}

impl LimitedStream {
    /// Wraps `stream`, at first without a limit.
    pub fn new(stream: TcpStream) -> (Self, ReadLimit) {
        let limit = ReadLimit {
            left: Arc::new(AtomicUsize::new(usize::MAX)),
        };
        let limited = Self {
            stream,
            limit: limit.clone(),
        };
        (limited, limit)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let left = self.limit.left.load(Ordering::Relaxed);
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "too many bytes are no part of a response");
            return Poll::Ready(Err(error));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if left < usize::MAX {
            let read = buf.filled().len() - before;
            self.limit.left.store(left.saturating_sub(read), Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
