//! Timeouts of a caller's connection: for idling, and for sending a request head.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The state of a connection that its timeouts depend on.
#[derive(Debug)]
struct ConnectionState {
    /// The number of requests in progress.
    busy: Cell<u32>,
    /// When the first byte of a request head arrived, while the head is incomplete.
    head_since: Cell<Option<Instant>>,
    /// When the last response was completed, or the connection was opened.
    idle_since: Cell<Instant>,
}

/// Tracks the activity of one connection. Clones track the same connection.
#[derive(Debug, Clone)]
pub(crate) struct IdleWatch {
    state: Rc<ConnectionState>,
}

/// The action that the timeouts of a connection require.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimeoutAction {
    /// No timeout expires before this time. Check again then.
    WaitUntil(Instant),
    /// Close the connection, which was idle for too long.
    CloseIdle,
    /// Close the connection, since a request head was not complete in time.
    CloseSlowHead,
}

impl IdleWatch {
    pub(crate) fn new() -> Self {
        let state = ConnectionState {
            busy: Cell::new(0),
            head_since: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
        };
        Self { state: Rc::new(state) }
    }

    /// Records that a request head was read. The request is in progress until the guard is dropped.
    pub(crate) fn request_started(&self) -> BusyGuard {
        self.state.head_since.set(None);
        self.state.busy.set(self.state.busy.get() + 1);
        BusyGuard {
            state: Rc::clone(&self.state),
        }
    }

    /// Returns the action that the given timeouts require now.
    pub(crate) fn next_action(&self, head_timeout: Duration, idle_timeout: Duration) -> TimeoutAction {
        let now = Instant::now();
        if self.state.busy.get() > 0 {
            return TimeoutAction::WaitUntil(now + idle_timeout);
        }
        if let Some(since) = self.state.head_since.get() {
            let end = since + head_timeout;
            return if end <= now {
                TimeoutAction::CloseSlowHead
            } else {
                TimeoutAction::WaitUntil(end)
            };
        }
        let end = self.state.idle_since.get() + idle_timeout;
        // A head may begin at any time, and its timeout starts then. So check again after at most `head_timeout`.
        if end <= now {
            TimeoutAction::CloseIdle
        } else {
            TimeoutAction::WaitUntil(end.min(now + head_timeout))
        }
    }
}

/// A guard that marks a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    state: Rc<ConnectionState>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.busy.set(self.state.busy.get() - 1);
        self.state.idle_since.set(Instant::now());
    }
}

/// A connection that records when the first byte of a request head arrives.
#[derive(Debug)]
pub(crate) struct WatchedIo<S> {
    inner: S,
    watch: IdleWatch,
}

impl<S> WatchedIo<S> {
    pub(crate) fn new(inner: S, watch: IdleWatch) -> Self {
        Self { inner, watch }
    }
}

impl<S> AsyncRead for WatchedIo<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let state = &self.watch.state;
        if buf.filled().len() > before && state.busy.get() == 0 && state.head_since.get().is_none() {
            state.head_since.set(Some(Instant::now()));
        }
        polled
    }
}

impl<S> AsyncWrite for WatchedIo<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
