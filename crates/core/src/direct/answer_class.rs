//! What an endpoint's answer head proves about a request.

/// What was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFacts {
    /// HTTP status.
    pub status: u16,
    /// Whether it answers this attempt; `None` when it names none.
    pub is_ours: Option<bool>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether it bears an endpoint's mark.
    pub is_marked: bool,
}

/// What it means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// The endpoint's answer, to be handed on.
    Answer,
    /// Proof that the endpoint did not run the request.
    Refused,
    /// The endpoint ran it and failed. Handed on when nothing else is tried.
    Failed,
    /// The endpoint may have run it, and the answer would promise the caller something that is not known.
    Ambiguous,
    /// Not an answer to this request. The connection can't be trusted.
    Foreign,
}

/// Statuses that callers take for a promise that the request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The endpoint at this address is another one, which ran nothing.
const MISDIRECTED: u16 = 421;

/// Classifies an answer.
pub fn classify(facts: AnswerFacts) -> AnswerClass {
    let success = (200..300).contains(&facts.status);
    if facts.is_ours == Some(false) {
        AnswerClass::Foreign
    } else if facts.not_run || facts.status == MISDIRECTED {
        AnswerClass::Refused
    } else if facts.is_ours.is_none() || (success && !facts.is_marked) {
        AnswerClass::Foreign
    } else if PROMISES.contains(&facts.status) {
        AnswerClass::Ambiguous
    } else if facts.status >= 500 {
        AnswerClass::Failed
    } else {
        AnswerClass::Answer
    }
}
