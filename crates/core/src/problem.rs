//! Error responses for callers, in the format of RFC 9457 (problem details).
//!
//! The HTTP status and the outcome of each kind of problem are defined in one place, so no code path can report a
//! problem with the wrong outcome.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outcome;

/// Kind of a problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The path doesn't start with the name of a declared service.
    UnknownService,
    /// No route of the host has a prefix that matches the path.
    UnknownRoute,
    /// The route requires an API key, and the request has none that is valid.
    UnknownKey,
    /// The API key can't be checked, because keys may have been revoked since the declarations were last confirmed.
    KeysUnconfirmed,
    /// The service has no such path.
    UndeclaredPath,
    /// The path is declared, but not for this method.
    MethodNotAllowed,
    /// The organisation header is missing.
    MissingOrganisation,
    /// The value of a header is invalid.
    BadHeader,
    /// The deadline header is not a whole number of milliseconds in the allowed range.
    BadDeadline,
    /// The body is not valid for the service.
    BadBody,
    /// The body is longer than the service allows.
    BodyTooLarge,
    /// The idempotency key was used before for a different call.
    KeyReused,
    /// The organisation exceeds its rate limit.
    LimitExceeded,
    /// The endpoints can't meet the deadline.
    Overloaded,
    /// The deadline passed before the call began.
    DeadlineBeforeStart,
    /// The deadline passed after the call may have begun.
    DeadlineAfterStart,
    /// No endpoint of the service is available.
    NoEndpoint,
    /// The instance is draining.
    Leaving,
    /// The call needs a claim, and the platform's table is unavailable.
    ClaimsUnavailable,
    /// The instance has no configuration yet.
    NotReady,
    /// The call may have run, and its response is lost.
    AnswerLost,
    /// An earlier call with the same idempotency key may have run, and its response is lost.
    EarlierAnswerLost,
    /// The endpoint's response ended early.
    AnswerCut,
    /// Requests with a segment of the prompt have crashed endpoints.
    SegmentQuarantined,
    /// Requests with the same content have crashed endpoints.
    RequestQuarantined,
    /// The endpoint's process ended while it ran the call.
    EndpointCrashed,
    /// The bodies of other calls take all the memory that the instance sets aside for them.
    BodiesFull,
}

impl ProblemKind {
    /// Returns the HTTP status code.
    pub const fn status(self) -> u16 {
        match self {
            Self::UnknownKey => 401,
            Self::UnknownService | Self::UnknownRoute | Self::UndeclaredPath => 404,
            Self::MethodNotAllowed => 405,
            Self::MissingOrganisation | Self::BadHeader | Self::BadDeadline | Self::BadBody => 400,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::LimitExceeded => 429,
            Self::BodiesFull
            | Self::Overloaded
            | Self::NoEndpoint
            | Self::SegmentQuarantined
            | Self::RequestQuarantined
            | Self::Leaving
            | Self::ClaimsUnavailable
            | Self::KeysUnconfirmed
            | Self::NotReady
            | Self::DeadlineBeforeStart => 503,
            Self::DeadlineAfterStart => 504,
            Self::AnswerLost | Self::EarlierAnswerLost | Self::AnswerCut | Self::EndpointCrashed => 502,
        }
    }

    /// Returns the outcome that is reported to the caller.
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::DeadlineAfterStart
            | Self::AnswerLost
            | Self::EarlierAnswerLost
            | Self::AnswerCut
            | Self::EndpointCrashed => outcome::Outcome::Unknown,
            _ => outcome::Outcome::NotRun,
        }
    }

    /// Returns whether the same call can succeed later without a change.
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::LimitExceeded
                | Self::BodiesFull
                | Self::Overloaded
                | Self::NoEndpoint
                | Self::SegmentQuarantined
                | Self::RequestQuarantined
                | Self::Leaving
                | Self::ClaimsUnavailable
                | Self::KeysUnconfirmed
                | Self::NotReady
                | Self::DeadlineBeforeStart
        )
    }

    /// Returns the stable identifier, which is the last part of the problem's `type`.
    pub const fn slug(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown-service",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnconfirmed => "keys-unconfirmed",
            Self::UndeclaredPath => "undeclared-path",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::MissingOrganisation => "missing-organisation",
            Self::BadHeader => "bad-header",
            Self::BadDeadline => "bad-deadline",
            Self::BadBody => "bad-body",
            Self::BodyTooLarge => "body-too-large",
            Self::BodiesFull => "bodies-full",
            Self::KeyReused => "key-reused",
            Self::LimitExceeded => "limit-exceeded",
            Self::Overloaded => "overloaded",
            Self::DeadlineBeforeStart => "deadline-before-start",
            Self::DeadlineAfterStart => "deadline-after-start",
            Self::NoEndpoint => "no-endpoint",
            Self::SegmentQuarantined => "segment-quarantined",
            Self::RequestQuarantined => "request-quarantined",
            Self::EndpointCrashed => "endpoint-crashed",
            Self::Leaving => "leaving",
            Self::ClaimsUnavailable => "claims-unavailable",
            Self::NotReady => "not-ready",
            Self::AnswerLost => "answer-lost",
            Self::EarlierAnswerLost => "earlier-answer-lost",
            Self::AnswerCut => "answer-cut",
        }
    }

    /// Returns a short summary in plain language.
    pub const fn title(self) -> &'static str {
        match self {
            Self::UnknownService => "No such service is declared",
            Self::UnknownRoute => "No route begins the path at this host",
            Self::UnknownKey => "The key is missing or not in force",
            Self::KeysUnconfirmed => "Keys can't be confirmed now",
            Self::UndeclaredPath => "The service declares no such path",
            Self::MethodNotAllowed => "The path is not declared for this method",
            Self::MissingOrganisation => "The Sycamorestile-Organisation header is missing",
            Self::BadHeader => "A header can't be read",
            Self::BadDeadline => "The deadline can't be read",
            Self::BadBody => "The body can't be read",
            Self::BodyTooLarge => "The body is too large",
            Self::BodiesFull => "Bodies of other calls take all the memory set aside for them",
            Self::KeyReused => "The idempotency key belongs to another body",
            Self::LimitExceeded => "The organisation is over its limit",
            Self::Overloaded => "The endpoints can't meet the deadline",
            Self::DeadlineBeforeStart => "The deadline passed before the call began",
            Self::DeadlineAfterStart => "The deadline passed after the call may have begun",
            Self::NoEndpoint => "No endpoint is in reach",
            Self::SegmentQuarantined => "Requests with a segment of this prompt have crashed endpoints",
            Self::RequestQuarantined => "Requests with the same content have crashed endpoints",
            Self::EndpointCrashed => "The endpoint ended while it ran the call",
            Self::Leaving => "The instance is leaving",
            Self::ClaimsUnavailable => "The claim for the idempotency key can't be recorded now",
            Self::NotReady => "The instance has no configuration yet",
            Self::AnswerLost => "The call may have run and its answer is lost",
            Self::EarlierAnswerLost => "An earlier call with this key may have run and its answer is lost",
            Self::AnswerCut => "The endpoint broke off its answer",
        }
    }
}

/// A problem reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Explanation of this occurrence in plain language.
    pub detail: String,
    /// Time to wait before a retry. Always present if [`ProblemKind::is_transient`] returns true.
    pub retry_after: Option<Duration>,
}

/// Time to wait before a retry if no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum random extension of a wait, as a fraction of the wait.
const MAX_JITTER: f64 = 0.5;

/// JSON form of a [`Problem`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ProblemBody {
    /// URI reference that identifies the kind.
    pub r#type: String,
    /// Short summary of the kind in plain language.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation of this occurrence in plain language.
    pub detail: String,
    /// What is known about the call's execution.
    pub outcome: outcome::Outcome,
    /// Time to wait before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem, with the default time to wait if its kind is transient.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        let retry_after = kind.is_transient().then_some(DEFAULT_RETRY_AFTER);
        Self {
            kind,
            detail: detail.into(),
            retry_after,
        }
    }

    /// Sets the time to wait before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Extends the time to wait by a random part of up to half of it, so that callers that are refused at the same time
    /// don't all retry at the same time.
    ///
    /// `random` is a random number between 0 and 1.
    #[must_use]
    pub fn with_jitter(mut self, random: f64) -> Self {
        self.retry_after = self
            .retry_after
            .map(|wait| wait.mul_f64(1.0 + MAX_JITTER * random.clamp(0.0, 1.0)));
        self
    }

    /// Returns the value for the `Retry-After` header: the time to wait in seconds, rounded up.
    pub fn retry_after_secs(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_millis().div_ceil(1_000).max(1) as u64)
    }

    /// Returns the JSON form.
    pub fn body(&self) -> ProblemBody {
        ProblemBody {
            r#type: format!("/problems/{}", self.kind.slug()),
            title: self.kind.title().to_owned(),
            status: self.kind.status(),
            detail: self.detail.clone(),
            outcome: self.kind.outcome(),
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        }
    }
}
