//! How callers and endpoints spell what a gateway needs to know.
//!
//! A platform's adapter fills the table of functions; the gateway itself knows no header by name but those of HTTP.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use sycamorestile_core::direct::placement;
use thiserror::Error;

/// What a caller's request head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name for this attempt; endpoints repeat it in their answers.
    pub attempt: Option<Arc<str>>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// API key.
    pub key: Option<Arc<str>>,
    /// Event of a stream after which the caller wants to go on.
    pub last_event_id: Option<String>,
}

/// A caller's header that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the header {header} can't be read")]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
}

/// What an endpoint is told beyond the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct ForwardedFields<'a> {
    /// The only endpoint that may run the request.
    pub endpoint: &'a str,
    /// Time that is left.
    pub remaining: Duration,
    /// Organisation that holds the caller's key.
    pub organisation: Option<&'a str>,
    /// Event after which the stream goes on.
    pub last_event_id: Option<&'a str>,
    /// Zero is the most urgent.
    pub priority: Option<u8>,
}

/// What an endpoint's answer head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The attempt that it answers.
    pub attempt: Option<Arc<str>>,
    /// Whether it states that the request was not run.
    pub not_run: bool,
    /// The endpoint's load.
    pub load: Option<placement::ReportedLoad>,
    /// Whether the answer bears an endpoint's mark.
    pub is_authentic: bool,
    /// Address or identifier of the endpoint that made this one fail.
    pub failed_dependency: Option<Arc<str>>,
    /// Time after which the endpoint closes the idle connection.
    pub keep_alive: Option<Duration>,
}

/// The table of functions.
#[derive(Debug, Clone, Copy)]
pub struct HeaderAdapter {
    /// Reads a caller's head.
    pub read_call: fn(&HeaderMap) -> Result<CallHead, HeaderError>,
    /// Turns a caller's headers into those for an endpoint.
    pub forward_headers: fn(&mut HeaderMap, &ForwardedFields<'_>),
    /// Reads an endpoint's answer head.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseHead,
    /// Writes the value of `Retry-After`.
    pub retry_after: fn(Duration) -> String,
}
