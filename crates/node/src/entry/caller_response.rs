//! What a call's task hands to the caller's connection.

use bytes::Bytes;
use sycamorestile_core::problem;
use tokio::sync::mpsc;

/// Answer to a caller.
#[derive(Debug)]
pub(crate) enum CallerResponse {
    /// A whole answer of the endpoint.
    Complete {
        status: u16,
        content_type: Option<Box<str>>,
        body: Vec<u8>,
    },
    /// Events of the endpoint as they come. The last one is the endpoint's end mark or an `error` event.
    Stream {
        status: u16,
        content_type: Option<Box<str>>,
        events: mpsc::Receiver<Bytes>,
    },
    /// A refusal or failure.
    Problem(problem::Problem),
}
