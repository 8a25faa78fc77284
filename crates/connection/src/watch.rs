//! What is under way on a connection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::close_reason::CloseReason;
use crate::count_guard::CountGuard;
use crate::owed_counts::OwedCounts;
use crate::timeouts::{TimeoutAction, Timeouts};

/// The state of a connection that its timeouts depend on.
#[derive(Debug)]
struct ConnectionState {
    /// Counts the connection as open.
    _open: CountGuard,
    /// The number of requests whose responses are not handed over to the HTTP library.
    busy: u32,
    /// Counts a request whose response was handed over and is not completely written.
    unwritten: Option<CountGuard>,
    /// When the first byte of a request head arrived, while the head is incomplete, and its count.
    head: Option<(Instant, CountGuard)>,
    /// Since when the connection has taken no byte of a response that is to be written.
    blocked_since: Option<Instant>,
    /// When the last response was written, or the connection was opened.
    idle_since: Instant,
    /// Whether a request head was ever read.
    is_used: bool,
    /// Whether the end of the connection is the only sign of the end of a response.
    ends_response: bool,
}

/// Tracks what is under way on one connection. Clones track the same connection, which counts as open as long as one of
/// them exists.
#[derive(Debug, Clone)]
pub struct ConnectionWatch {
    owed: OwedCounts,
    state: Arc<Mutex<ConnectionState>>,
}

impl ConnectionWatch {
    /// Creates the watch of a new connection, which counts in `owed` what is under way on it.
    pub fn new(owed: OwedCounts) -> Self {
        let state = ConnectionState {
            _open: owed.count_connection(),
            busy: 0,
            unwritten: None,
            head: None,
            blocked_since: None,
            idle_since: Instant::now(),
            is_used: false,
            ends_response: false,
        };
        Self {
            owed,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records that a request head was read. The request is in progress until the guard is dropped and all that was handed
    /// over by then is written.
    pub fn request_started(&self) -> RequestGuard {
        let mut state = self.lock();
        state.head = None;
        state.is_used = true;
        state.busy += 1;
        drop(state);
        RequestGuard {
            watch: self.clone(),
            counted: Some(self.owed.count_request()),
        }
    }

    /// Records that the caller knows the end of its response only by the end of the connection, as one of HTTP/1.0 does.
    pub fn response_ends_with_connection(&self) {
        self.lock().ends_response = true;
    }

    /// Returns whether the end of the connection is the only sign of the end of a response.
    pub(crate) fn ends_response(&self) -> bool {
        self.lock().ends_response
    }

    /// Returns whether a request was read, and no further request has begun.
    pub(crate) fn is_between_requests(&self) -> bool {
        let state = self.lock();
        state.is_used && state.head.is_none()
    }

    /// Returns the action that `timeouts` require now. A connection without any request is closed at `unused_end`.
    pub(crate) fn next_action(&self, timeouts: &Timeouts, unused_end: Option<Instant>) -> TimeoutAction {
        let (state, now) = (self.lock(), Instant::now());
        if let Some(since) = state.blocked_since {
            return TimeoutAction::at(since + timeouts.idle, now, CloseReason::StoppedReading);
        }
        if state.busy > 0 || state.unwritten.is_some() {
            return TimeoutAction::WaitUntil(now + timeouts.idle);
        }
        if let Some((since, _)) = state.head {
            return TimeoutAction::at(since + timeouts.head, now, CloseReason::SlowHead);
        }
        let idle_end = state.idle_since + timeouts.idle;
        let (end, reason) = match unused_end.filter(|_| !state.is_used) {
            Some(unused_end) if unused_end < idle_end => (unused_end, CloseReason::Unused),
            _ => (idle_end, CloseReason::Idle),
        };
        // A head may begin at any time, and its timeout starts then. So check again after at most its length.
        match TimeoutAction::at(end, now, reason) {
            TimeoutAction::WaitUntil(end) => TimeoutAction::WaitUntil(end.min(now + timeouts.head)),
            close @ TimeoutAction::Close(_) => close,
        }
    }

    /// Records that bytes were read.
    pub(crate) fn record_read(&self) {
        let mut state = self.lock();
        if state.busy == 0 && state.head.is_none() {
            state.head = Some((Instant::now(), self.owed.count_head()));
        }
    }

    /// Records whether the connection took bytes that were to be written.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        let mut state = self.lock();
        let since = state.blocked_since.filter(|_| is_blocked);
        state.blocked_since = since.or_else(|| is_blocked.then(Instant::now));
    }

    /// Records that all that was handed over is written.
    pub(crate) fn record_flush(&self) {
        let mut state = self.lock();
        if state.unwritten.take().is_some() {
            state.idle_since = Instant::now();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        // No code panics while it holds the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A guard that marks a request as in progress until its response was handed over to the HTTP library.
#[derive(Debug)]
pub struct RequestGuard {
    watch: ConnectionWatch,
    /// Counts the request, also after the guard until the response is written.
    counted: Option<CountGuard>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.watch.lock();
        state.busy -= 1;
        state.unwritten = self.counted.take();
    }
}
