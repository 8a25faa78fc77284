//! Classifies the head of an endpoint's response by what it proves about the request.

use crate::event_stream;

/// Facts read from the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub struct ResponseFacts {
    /// HTTP status code.
    pub status: u16,
    /// Whether the response names the attempt that was sent; `None` when it names no attempt.
    pub matches_attempt: Option<bool>,
    /// Whether it is the first response on its connection. A later one that names no attempt may be an earlier one that was
    /// written again.
    pub is_first_response: bool,
    /// Whether the endpoint declares that it did not run the request.
    pub not_run: bool,
    /// Whether the response carries the signature header of an endpoint.
    pub is_authentic: bool,
    /// Whether the body has a coding that the caller did not ask for, by [`coding`](crate::direct::coding).
    pub is_encoded: bool,
}

/// What a response means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint's response, to be forwarded to the caller.
    Response,
    /// The endpoint proved that it did not run the request.
    Refused,
    /// The endpoint ran the request and failed. Forwarded to the caller if no other attempt follows.
    Failed,
    /// The endpoint may have run the request, but the status would tell the caller that it did not run.
    Ambiguous,
    /// Not a response to this request; the connection can't be trusted.
    Untrusted,
}

/// Statuses that callers take as a guarantee that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Status of a response from an endpoint other than the intended one, which did not run the request.
const MISDIRECTED_REQUEST: u16 = 421;

/// The least status of a final response. Those below are interim ones, or change the protocol, which nobody asked for.
const MIN_FINAL_STATUS: u16 = 200;
/// Status of a response that consists of a stream of events.
const OK: u16 = 200;

/// Returns whether a response can continue a stream that another endpoint has begun, by its status and its media type if it
/// names one.
pub fn is_continuation(status: u16, media_type: Option<&str>) -> bool {
    status == OK && media_type.is_none_or(event_stream::is_event_stream)
}

/// Classifies a response by the facts in its head.
pub fn classify(facts: ResponseFacts) -> ResponseClass {
    let is_success = (200..300).contains(&facts.status);
    let is_attributed = facts.matches_attempt.unwrap_or(facts.is_first_response);
    if !is_attributed || facts.status < MIN_FINAL_STATUS {
        ResponseClass::Untrusted
    } else if facts.not_run || facts.status == MISDIRECTED_REQUEST {
        ResponseClass::Refused
    } else if facts.matches_attempt.is_none() || (is_success && (!facts.is_authentic || facts.is_encoded)) {
        ResponseClass::Untrusted
    } else if NOT_RUN_STATUSES.contains(&facts.status) {
        ResponseClass::Ambiguous
    } else if facts.status >= 500 {
        ResponseClass::Failed
    } else {
        ResponseClass::Response
    }
}
