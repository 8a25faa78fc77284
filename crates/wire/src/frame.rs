//! The frames in which an agent sends the response to an attempt to an entry.

use serde::{Deserialize, Serialize};
use sycamorestile_core::attempt_id;
use sycamorestile_core::claim;
use sycamorestile_core::frame_order;
use sycamorestile_core::incarnation;
use sycamorestile_core::load;
use sycamorestile_core::problem;

/// One frame of the response to an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame belongs to.
    pub attempt: attempt_id::AttemptId,
    /// Incarnation of the agent that sent the frame.
    pub incarnation: incarnation::Incarnation,
    /// Position within the response; a heartbeat has the position of the next frame.
    pub seq: frame_order::FrameSeq,
    /// The agent's load when the frame was sent.
    pub load: load::Load,
    /// Content of the frame.
    pub body: FrameBody,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    /// The attempt is still running, but there is nothing to send.
    Heartbeat,
    /// Head of the endpoint's response.
    Head {
        /// HTTP status code.
        status: u16,
        /// Content type, if the endpoint sent one.
        content_type: Option<Box<str>>,
    },
    /// Bytes of the response body.
    Data(Vec<u8>),
    /// End of a complete response.
    End,
    /// The attempt was not sent to the endpoint and never will be.
    Refused(problem::Problem),
    /// The endpoint failed after the attempt was sent to it.
    Failed(problem::Problem),
    /// The call's idempotency key is claimed by another attempt.
    OwnedBy(claim::Owner),
    /// The attempt belongs to another incarnation of the agent, or its frames are no longer available.
    Forgotten,
}

impl FrameBody {
    /// Returns whether this is the last frame of the response.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Heartbeat | Self::Head { .. } | Self::Data(_))
    }
}
