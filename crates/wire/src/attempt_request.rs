//! The request with which an entry sends an attempt to an agent.

use serde::{Deserialize, Serialize};
use sycamorestile_core::attempt_id;
use sycamorestile_core::class;
use sycamorestile_core::incarnation;
use sycamorestile_core::name;

/// One attempt to have a call served by an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Identifier of the attempt.
    pub attempt: attempt_id::AttemptId,
    /// Incarnation of the agent that must serve the attempt; any other incarnation rejects it.
    pub incarnation: incarnation::Incarnation,
    /// The called service.
    pub service: name::Name,
    /// The calling organisation.
    pub organisation: name::Name,
    /// Weight of the organisation in fair queueing.
    pub weight: u32,
    /// Priority class of the call.
    pub class: class::Class,
    /// Time left until the complete response is due, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of tokens of the response, if known.
    pub tokens: Option<u32>,
    /// Idempotency key of the call, if it must run at most once.
    pub key: Option<Box<str>>,
    /// An earlier attempt with the same key whose agent confirmed that it never ran.
    pub disproved: Option<attempt_id::AttemptId>,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// HTTP method of the call.
    pub method: Box<str>,
    /// Path below the service, including the query.
    pub target: Box<str>,
    /// Content type of the body, if there is one.
    pub content_type: Option<Box<str>>,
    /// Number of response events that the caller has already received; the endpoint resumes after them.
    pub resume_from: Option<u32>,
    /// Body of the call.
    pub body: Vec<u8>,
}
