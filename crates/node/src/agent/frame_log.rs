//! Response of one attempt, kept until it expires.
//!
//! The log makes it possible to resume a response over a new connection: a reader can start at any frame, and any
//! number of readers can read at the same time without affecting the attempt.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sycamorestile_core::frame_order;
use sycamorestile_core::response_retention;
use sycamorestile_core::time;
use sycamorestile_wire::frame;
use tokio::sync::watch;

#[derive(Debug, Default)]
struct State {
    /// Frames in order. The attempt's last frame closes the log.
    frames: Vec<frame::FrameBody>,
    /// Size of the body in these frames.
    bytes: usize,
    /// Time at which the last frame was appended.
    closed: Option<time::Time>,
    /// Whether the last frame was sent to a reader.
    fetched: bool,
    readers: u32,
    /// Time at which the last reader detached; `None` while there are readers and before the first one.
    unread_since: Option<time::Time>,
}

/// Frames of one attempt.
#[derive(Debug)]
pub(crate) struct FrameLog {
    state: Mutex<State>,
    /// Number of frames; notifies waiting readers.
    length: watch::Sender<usize>,
}

impl FrameLog {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State::default()),
            length: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a frame. Does nothing once the last frame was appended.
    pub(crate) fn push(&self, frame: frame::FrameBody, now: time::Time) {
        let mut state = self.state();
        if state.closed.is_some() {
            return;
        }
        if frame.is_last() {
            state.closed = Some(now);
        }
        if let frame::FrameBody::Data(data) = &frame {
            state.bytes += data.len();
        }
        state.frames.push(frame);
        let length = state.frames.len();
        drop(state);
        self.length.send_replace(length);
    }

    /// Returns the frame at `seq` if it was appended.
    pub(crate) fn get(&self, seq: frame_order::FrameSeq) -> Option<frame::FrameBody> {
        self.state().frames.get(seq.0 as usize).cloned()
    }

    /// Waits until the frame at `seq` is appended.
    pub(crate) async fn wait(&self, seq: frame_order::FrameSeq) {
        let mut length = self.length.subscribe();
        // The sender is owned by the log, so the channel cannot close while a reader holds the log.
        let _appended = length.wait_for(|n| *n > seq.0 as usize).await;
    }

    pub(crate) fn reader_attached(&self) {
        let mut state = self.state();
        state.readers += 1;
        state.unread_since = None;
    }

    pub(crate) fn reader_detached(&self, fetched: bool, now: time::Time) {
        let mut state = self.state();
        state.readers -= 1;
        state.fetched |= fetched;
        if state.readers == 0 {
            state.unread_since = Some(now);
        }
    }

    /// Returns the time since which the log has had no reader; `None` while it has one.
    pub(crate) fn unread_since(&self) -> Option<time::Time> {
        self.state().unread_since
    }

    /// Returns what is kept, once the last frame was appended.
    pub(crate) fn complete(&self) -> Option<response_retention::CompleteResponse> {
        let state = self.state();
        Some(response_retention::CompleteResponse {
            closed: state.closed?,
            is_fetched: state.fetched,
            bytes: state.bytes,
        })
    }

    /// Returns whether the last frame was sent to a reader.
    pub(crate) fn is_fetched(&self) -> bool {
        self.state().fetched
    }
}
