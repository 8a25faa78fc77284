//! What an endpoint's answer head proves about a request.

/// What was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseFacts {
    /// HTTP status.
    pub status: u16,
    /// Whether it answers this attempt; `None` when it names none.
    pub matches_attempt: Option<bool>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether it bears an endpoint's mark.
    pub is_authentic: bool,
}

/// What it means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint's answer, to be handed on.
    Response,
    /// Proof that the endpoint did not run the request.
    Refused,
    /// The endpoint ran it and failed. Handed on when nothing else is tried.
    Failed,
    /// The endpoint may have run it, and the answer would promise the caller something that is not known.
    Ambiguous,
    /// Not an answer to this request. The connection can't be trusted.
    Untrusted,
}

/// Statuses that callers take for a promise that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The endpoint at this address is another one, which ran nothing.
const MISDIRECTED_REQUEST: u16 = 421;

/// Classifies an answer.
pub fn classify(facts: ResponseFacts) -> ResponseClass {
    let is_success = (200..300).contains(&facts.status);
    if facts.matches_attempt == Some(false) {
        ResponseClass::Untrusted
    } else if facts.not_run || facts.status == MISDIRECTED_REQUEST {
        ResponseClass::Refused
    } else if facts.matches_attempt.is_none() || (is_success && !facts.is_authentic) {
        ResponseClass::Untrusted
    } else if NOT_RUN_STATUSES.contains(&facts.status) {
        ResponseClass::Ambiguous
    } else if facts.status >= 500 {
        ResponseClass::Failed
    } else {
        ResponseClass::Response
    }
}
