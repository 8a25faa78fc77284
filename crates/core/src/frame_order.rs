//! Order of the frames of one attempt.
//!
//! A reader takes a frame only when it belongs to the attempt it follows and is the next in sequence. Late, doubled and
//! foreign frames are told apart here, once, for every transport.

use serde::{Deserialize, Serialize};

use crate::attempt_id;

/// Position of a frame within its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct FrameSeq(pub u32);

/// What to do with a received frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameDisposition {
    /// The next frame of the attempt.
    Accept,
    /// Seen before.
    Duplicate,
    /// Frames between are missing; ask again from [`FrameOrder::next_seq`].
    Gap,
    /// A frame of another attempt.
    OtherAttempt,
}

/// Reader's place in an attempt's frames.
#[derive(Debug, Clone, Copy)]
pub struct FrameOrder {
    attempt: attempt_id::AttemptId,
    /// Every frame before this one was taken.
    next_seq: FrameSeq,
}

impl FrameOrder {
    /// A reader at the start of `attempt`.
    pub fn new(attempt: attempt_id::AttemptId) -> Self {
        Self {
            attempt,
            next_seq: FrameSeq(0),
        }
    }

    /// The frame wanted next.
    pub fn next_seq(&self) -> FrameSeq {
        self.next_seq
    }

    /// Judges a frame and moves on when it is taken.
    pub fn check(&mut self, attempt: attempt_id::AttemptId, seq: FrameSeq) -> FrameDisposition {
        if attempt != self.attempt {
            return FrameDisposition::OtherAttempt;
        }
        match seq.cmp(&self.next_seq) {
            std::cmp::Ordering::Less => FrameDisposition::Duplicate,
            std::cmp::Ordering::Greater => FrameDisposition::Gap,
            std::cmp::Ordering::Equal => {
                self.next_seq = FrameSeq(seq.0 + 1);
                FrameDisposition::Accept
            }
        }
    }
}
