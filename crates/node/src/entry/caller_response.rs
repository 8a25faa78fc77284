//! Response that a call's task passes to the caller's connection.

use bytes::Bytes;
use sycamorestile_core::problem;
use tokio::sync::mpsc;

/// Response to a caller.
#[derive(Debug)]
pub(crate) enum CallerResponse {
    /// A complete response of the endpoint.
    Complete {
        status: u16,
        content_type: Option<Box<str>>,
        body: Vec<u8>,
    },
    /// Events of the endpoint, forwarded as they arrive. The last one is the endpoint's end event or an `error` event.
    Stream {
        status: u16,
        content_type: Option<Box<str>>,
        events: mpsc::Receiver<Bytes>,
    },
    /// The call was refused or failed.
    Problem(problem::Problem),
}
