//! Sequence check for the frames of one attempt.
//!
//! A reader accepts a frame only if it belongs to the expected attempt and is the next in sequence. Late frames,
//! duplicates and frames of other attempts are detected here for every transport.

use serde::{Deserialize, Serialize};

use crate::attempt_id;

/// Sequence number of a frame within its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct FrameSeq(pub u32);

/// Result of the check of a received frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameDisposition {
    /// The frame is the next one of the attempt.
    Accept,
    /// The frame was accepted before.
    Duplicate,
    /// Earlier frames are missing; request them again from [`FrameOrder::next_seq`].
    Gap,
    /// The frame belongs to another attempt.
    OtherAttempt,
}

/// Position of a reader in the frames of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct FrameOrder {
    attempt: attempt_id::AttemptId,
    /// All frames before this one were accepted.
    next_seq: FrameSeq,
}

impl FrameOrder {
    /// Creates a reader at the first frame of `attempt`.
    pub fn new(attempt: attempt_id::AttemptId) -> Self {
        Self {
            attempt,
            next_seq: FrameSeq(0),
        }
    }

    /// Returns the sequence number of the next frame to accept.
    pub fn next_seq(&self) -> FrameSeq {
        self.next_seq
    }

    /// Checks a received frame, and advances if it is accepted.
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
