//! What is under way on a caller's connection, and its timeouts: for idling, and for sending a request head.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::count_guard;
use crate::owed_counts;

/// The state of a connection that its timeouts depend on.
#[derive(Debug)]
struct ConnectionState {
    owed: owed_counts::OwedCounts,
    /// The number of requests whose responses are not handed over to the HTTP library.
    busy: Cell<u32>,
    /// When the first byte of a request head arrived, while the head is incomplete.
    head_since: Cell<Option<Instant>>,
    /// Counts the incomplete head.
    head: RefCell<Option<count_guard::CountGuard>>,
    /// Counts a response that was handed over and is not completely written.
    unwritten: RefCell<Option<count_guard::CountGuard>>,
    /// When the last response was completed, or the connection was opened.
    idle_since: Cell<Instant>,
}

/// Tracks the activity of one connection. Clones track the same connection.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionWatch {
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

impl ConnectionWatch {
    /// Creates the watch of a new connection, which counts in `owed` what is under way on it.
    pub(crate) fn new(owed: owed_counts::OwedCounts) -> Self {
        let state = ConnectionState {
            owed,
            busy: Cell::new(0),
            head_since: Cell::new(None),
            head: RefCell::default(),
            unwritten: RefCell::default(),
            idle_since: Cell::new(Instant::now()),
        };
        Self { state: Rc::new(state) }
    }

    /// Records that a request head was read. The request is in progress until the guard is dropped.
    pub(crate) fn request_started(&self) -> RequestGuard {
        self.state.head_since.set(None);
        self.state.head.replace(None);
        self.state.busy.set(self.state.busy.get() + 1);
        RequestGuard {
            state: Rc::clone(&self.state),
            _counted: self.state.owed.count_request(),
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

/// A guard that marks a request as in progress until its response was handed over to the HTTP library.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: Rc<ConnectionState>,
    _counted: count_guard::CountGuard,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let state = &self.state;
        state.busy.set(state.busy.get() - 1);
        state.unwritten.replace(Some(state.owed.count_unwritten()));
        state.idle_since.set(Instant::now());
    }
}

/// A connection that records when the first byte of a request head arrives, and when responses are written.
#[derive(Debug)]
pub(crate) struct WatchedIo<S> {
    inner: S,
    watch: ConnectionWatch,
}

impl<S> WatchedIo<S> {
    pub(crate) fn new(inner: S, watch: ConnectionWatch) -> Self {
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
            state.head.replace(Some(state.owed.count_head()));
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

    /// Flushes. The HTTP library calls this only once its buffer is empty, so that all that was handed over is written
    /// then.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.inner).poll_flush(cx));
        self.watch.state.unwritten.replace(None);
        Poll::Ready(flushed)
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
