//! Answer of one attempt, kept until it is fetched or its time is up.
//!
//! The log is what makes a new connection as good as the old one: readers start at any frame, several may read at once,
//! and none of them disturbs the attempt.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sycamorestile_core::frame_order;
use sycamorestile_core::time;
use sycamorestile_wire::frame;
use tokio::sync::watch;

#[derive(Debug, Default)]
struct State {
    /// Frames in order; the last one closes the log.
    frames: Vec<frame::FrameBody>,
    closed: Option<time::Time>,
    /// A reader was sent the last frame.
    fetched: bool,
    readers: u32,
    /// When the last reader left, while there is none.
    unread_since: Option<time::Time>,
}

/// Frames of one attempt.
#[derive(Debug)]
pub(crate) struct FrameLog {
    state: Mutex<State>,
    /// Number of frames, for readers that wait.
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

    /// Appends a frame; after the last one nothing is appended any more.
    pub(crate) fn push(&self, frame: frame::FrameBody, now: time::Time) {
        let mut state = self.state();
        if state.closed.is_some() {
            return;
        }
        if frame.is_last() {
            state.closed = Some(now);
        }
        state.frames.push(frame);
        let length = state.frames.len();
        drop(state);
        self.length.send_replace(length);
    }

    /// The frame at `seq`, if it has come.
    pub(crate) fn get(&self, seq: frame_order::FrameSeq) -> Option<frame::FrameBody> {
        self.state().frames.get(seq.0 as usize).cloned()
    }

    /// Waits until the frame at `seq` has come.
    pub(crate) async fn wait(&self, seq: frame_order::FrameSeq) {
        let mut length = self.length.subscribe();
        // The sender lives as long as the log, so the wait can't fail while a reader holds the log.
        let _came = length.wait_for(|n| *n > seq.0 as usize).await;
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

    /// Since when nobody reads; `None` while somebody does.
    pub(crate) fn unread_since(&self) -> Option<time::Time> {
        self.state().unread_since
    }

    /// When the last frame was appended.
    pub(crate) fn closed(&self) -> Option<time::Time> {
        self.state().closed
    }

    /// Whether the last frame was sent to a reader.
    pub(crate) fn is_fetched(&self) -> bool {
        self.state().fetched
    }
}
