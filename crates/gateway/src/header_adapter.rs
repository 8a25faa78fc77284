//! Conversion between the platform's headers and the gateway's own types.
//!
//! The platform's adapter supplies the functions of [`HeaderAdapter`]. The gateway itself uses only standard HTTP
//! headers by name.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use sycamorestile_core::direct::{placement, segment_list, withdrawals};
use thiserror::Error;

/// The fields of a caller's request head that the gateway uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's identifier for this attempt. Endpoints repeat it in their responses.
    pub attempt: Option<Arc<str>>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The API key.
    pub key: Option<Arc<str>>,
    /// The identifier of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// The identifiers of the segments that the prompt shares with other requests. The segment that belongs to this
    /// request alone is left out.
    pub shared_segments: segment_list::SegmentList,
    /// The description of the whole prompt, as the caller sent it.
    pub prompt: Option<Arc<str>>,
}

/// The error for a caller's header with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the value of the header {header} is invalid")]
pub struct HeaderError {
    /// The name of the header.
    pub header: &'static str,
}

/// The fields that the gateway adds to a caller's headers when it forwards the request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardedFields<'a> {
    /// The only endpoint that may run the request.
    pub endpoint: &'a str,
    /// The time that remains until the deadline.
    pub remaining: Duration,
    /// The organisation that owns the caller's key.
    pub organisation: Option<&'a str>,
    /// The identifier of the last event that the caller received, if the stream is to be resumed after it.
    pub last_event_id: Option<&'a str>,
    /// The priority of the request, where zero is the most urgent.
    pub priority: Option<u64>,
}

/// The fields of an endpoint's response head that the gateway uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// The identifier of the attempt that the response belongs to.
    pub attempt: Option<Arc<str>>,
    /// Whether the response states that the endpoint did not run the request.
    pub not_run: bool,
    /// The endpoint's load.
    pub load: Option<placement::ReportedLoad>,
    /// The number of requests per second that the endpoint takes from all instances together, if it is limited.
    pub rate_limit: Option<f64>,
    /// Whether the endpoint takes further requests.
    pub notice: withdrawals::Notice,
    /// Whether the response carries the signature header of an endpoint.
    pub is_authentic: bool,
    /// The address or identifier of the endpoint whose failure caused this one to refuse or fail.
    pub failed_dependency: Option<Arc<str>>,
    /// The time after which the endpoint closes the connection if it stays idle.
    pub keep_alive: Option<Duration>,
}

/// The functions that a platform's adapter supplies.
#[derive(Debug, Clone, Copy)]
pub struct HeaderAdapter {
    /// Reads a caller's request head.
    pub read_call: fn(&HeaderMap) -> Result<CallHead, HeaderError>,
    /// Converts a caller's headers into the headers that an endpoint receives.
    pub forward_headers: fn(&mut HeaderMap, &ForwardedFields<'_>),
    /// Reads an endpoint's response head.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseHead,
    /// Formats the value of `Retry-After`.
    pub retry_after: fn(Duration) -> String,
}
