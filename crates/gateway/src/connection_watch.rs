//! What is under way on a caller's connection, and its timeouts: for idling, for sending a request head and for reading a
//! response.

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
    /// Counts a request whose response was handed over and is not completely written.
    unwritten: RefCell<Option<count_guard::CountGuard>>,
    /// When the first byte of a request head arrived, while the head is incomplete.
    head_since: Cell<Option<Instant>>,
    /// Counts the incomplete head.
    head: RefCell<Option<count_guard::CountGuard>>,
    /// Since when the connection has taken no byte of a response that is to be written.
    blocked_since: Cell<Option<Instant>>,
    /// When the last response was written, or the connection was opened.
    idle_since: Cell<Instant>,
    /// Whether a request head was ever read.
    is_used: Cell<bool>,
}

impl ConnectionState {
    /// Records whether the connection took bytes that were to be written.
    fn record_write(&self, is_blocked: bool) {
        let since = self.blocked_since.get().filter(|_| is_blocked);
        self.blocked_since.set(since.or_else(|| is_blocked.then(Instant::now)));
    }
}

/// Tracks the activity of one connection. Clones track the same connection.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionWatch {
    state: Rc<ConnectionState>,
}

/// The timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    /// The longest time for a request head.
    pub(crate) head: Duration,
    /// The longest time without a request, and without taking a byte of a response.
    pub(crate) idle: Duration,
    /// When a connection without any request is to be closed, once the instance accepts no more connections.
    pub(crate) unused_end: Option<Instant>,
}

/// The reason to close a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// It was idle for too long.
    Idle,
    /// A request head was not complete in time.
    SlowHead,
    /// The caller has stopped reading a response.
    StoppedReading,
    /// The instance is stopping, and the connection had no request.
    Unused,
}

/// The action that the timeouts of a connection require.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimeoutAction {
    /// No timeout expires before this time. Check again then.
    WaitUntil(Instant),
    /// Close the connection.
    Close(CloseReason),
}

impl TimeoutAction {
    fn at(end: Instant, now: Instant, reason: CloseReason) -> Self {
        if end <= now {
            Self::Close(reason)
        } else {
            Self::WaitUntil(end)
        }
    }
}

impl ConnectionWatch {
    /// Creates the watch of a new connection, which counts in `owed` what is under way on it.
    pub(crate) fn new(owed: owed_counts::OwedCounts) -> Self {
        let state = ConnectionState {
            owed,
            busy: Cell::new(0),
            unwritten: RefCell::default(),
            head_since: Cell::new(None),
            head: RefCell::default(),
            blocked_since: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            is_used: Cell::new(false),
        };
        Self { state: Rc::new(state) }
    }

    /// Records that a request head was read. The request is in progress until the guard is dropped and all that was handed
    /// over by then is written.
    pub(crate) fn request_started(&self) -> RequestGuard {
        let state = &self.state;
        state.head_since.set(None);
        state.head.replace(None);
        state.is_used.set(true);
        state.busy.set(state.busy.get() + 1);
        RequestGuard {
            state: Rc::clone(state),
            counted: Some(state.owed.count_request()),
        }
    }

    /// Returns whether a request was read, and no further request has begun.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.state.is_used.get() && self.state.head_since.get().is_none()
    }

    /// Returns the action that `timeouts` require now.
    pub(crate) fn next_action(&self, timeouts: &Timeouts) -> TimeoutAction {
        let (state, now) = (&self.state, Instant::now());
        if let Some(since) = state.blocked_since.get() {
            return TimeoutAction::at(since + timeouts.idle, now, CloseReason::StoppedReading);
        }
        if state.busy.get() > 0 || state.unwritten.borrow().is_some() {
            return TimeoutAction::WaitUntil(now + timeouts.idle);
        }
        if let Some(since) = state.head_since.get() {
            return TimeoutAction::at(since + timeouts.head, now, CloseReason::SlowHead);
        }
        let idle_end = state.idle_since.get() + timeouts.idle;
        let (end, reason) = match timeouts.unused_end.filter(|_| !state.is_used.get()) {
            Some(unused_end) if unused_end < idle_end => (unused_end, CloseReason::Unused),
            _ => (idle_end, CloseReason::Idle),
        };
        // A head may begin at any time, and its timeout starts then. So check again after at most its length.
        match TimeoutAction::at(end, now, reason) {
            TimeoutAction::WaitUntil(end) => TimeoutAction::WaitUntil(end.min(now + timeouts.head)),
            close @ TimeoutAction::Close(_) => close,
        }
    }
}

/// A guard that marks a request as in progress until its response was handed over to the HTTP library.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: Rc<ConnectionState>,
    /// Counts the request, also after the guard until the response is written.
    counted: Option<count_guard::CountGuard>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let state = &self.state;
        state.busy.set(state.busy.get() - 1);
        state.unwritten.replace(self.counted.take());
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
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch.state.record_write(polled.is_pending());
        polled
    }

    /// Flushes. The HTTP library calls this only once its buffer is empty, so that all that was handed over is written
    /// then.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.inner).poll_flush(cx));
        let state = &self.watch.state;
        if state.unwritten.replace(None).is_some() {
            state.idle_since.set(Instant::now());
        }
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
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch.state.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
