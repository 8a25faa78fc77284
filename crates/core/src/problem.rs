//! Typed problems for callers, after RFC 9457.
//!
//! Each kind fixes its status and outcome in one place, so that no code path can pair a refusal with a false outcome.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outcome;

/// What went wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The path names no declared service.
    UnknownService,
    /// No route begins the path at this host.
    UnknownRoute,
    /// The route needs a key, and the request bears none that is in force.
    UnknownKey,
    /// Keys may have been revoked since the declarations were last confirmed.
    KeysUnconfirmed,
    /// The service declares no such path.
    UndeclaredPath,
    /// The path is declared, but not for this method.
    MethodNotAllowed,
    /// The organisation header is absent.
    MissingOrganisation,
    /// A header can't be read.
    BadHeader,
    /// The deadline header is not a whole number of milliseconds within bounds.
    BadDeadline,
    /// The body can't be read as the service declares it.
    BadBody,
    /// The body is larger than the service admits.
    BodyTooLarge,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The organisation is over its share.
    LimitExceeded,
    /// The endpoints can't meet the deadline.
    Overloaded,
    /// The deadline passed before the call began.
    DeadlineBeforeStart,
    /// The deadline passed after the call may have begun.
    DeadlineAfterStart,
    /// No endpoint of the service is in reach.
    NoEndpoint,
    /// The instance is leaving.
    Leaving,
    /// The platform's table can't be reached and the call needs a claim.
    ClaimsUnavailable,
    /// This instance has no configuration yet.
    NotReady,
    /// The call may have run, and its answer is lost.
    AnswerLost,
    /// An earlier call with this key may have run, and its answer is lost.
    EarlierAnswerLost,
    /// The endpoint broke off its answer.
    AnswerCut,
}

impl ProblemKind {
    /// HTTP status of the problem.
    pub const fn status(self) -> u16 {
        match self {
            Self::UnknownKey => 401,
            Self::UnknownService | Self::UnknownRoute | Self::UndeclaredPath => 404,
            Self::MethodNotAllowed => 405,
            Self::MissingOrganisation | Self::BadHeader | Self::BadDeadline | Self::BadBody => 400,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::LimitExceeded => 429,
            Self::Overloaded
            | Self::NoEndpoint
            | Self::Leaving
            | Self::ClaimsUnavailable
            | Self::KeysUnconfirmed
            | Self::NotReady
            | Self::DeadlineBeforeStart => 503,
            Self::DeadlineAfterStart => 504,
            Self::AnswerLost | Self::EarlierAnswerLost | Self::AnswerCut => 502,
        }
    }

    /// Outcome that callers are told.
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::DeadlineAfterStart | Self::AnswerLost | Self::EarlierAnswerLost | Self::AnswerCut => {
                outcome::Outcome::Unknown
            }
            _ => outcome::Outcome::NotRun,
        }
    }

    /// Whether the same call can succeed later without being changed.
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::LimitExceeded
                | Self::Overloaded
                | Self::NoEndpoint
                | Self::Leaving
                | Self::ClaimsUnavailable
                | Self::KeysUnconfirmed
                | Self::NotReady
                | Self::DeadlineBeforeStart
        )
    }

    /// Stable identifier, the last part of the problem's `type`.
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
            Self::KeyReused => "key-reused",
            Self::LimitExceeded => "limit-exceeded",
            Self::Overloaded => "overloaded",
            Self::DeadlineBeforeStart => "deadline-before-start",
            Self::DeadlineAfterStart => "deadline-after-start",
            Self::NoEndpoint => "no-endpoint",
            Self::Leaving => "leaving",
            Self::ClaimsUnavailable => "claims-unavailable",
            Self::NotReady => "not-ready",
            Self::AnswerLost => "answer-lost",
            Self::EarlierAnswerLost => "earlier-answer-lost",
            Self::AnswerCut => "answer-cut",
        }
    }

    /// Short summary for people.
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
            Self::KeyReused => "The idempotency key belongs to another body",
            Self::LimitExceeded => "The organisation is over its limit",
            Self::Overloaded => "The endpoints can't meet the deadline",
            Self::DeadlineBeforeStart => "The deadline passed before the call began",
            Self::DeadlineAfterStart => "The deadline passed after the call may have begun",
            Self::NoEndpoint => "No endpoint is in reach",
            Self::Leaving => "The instance is leaving",
            Self::ClaimsUnavailable => "The claim for the idempotency key can't be recorded now",
            Self::NotReady => "The instance has no configuration yet",
            Self::AnswerLost => "The call may have run and its answer is lost",
            Self::EarlierAnswerLost => "An earlier call with this key may have run and its answer is lost",
            Self::AnswerCut => "The endpoint broke off its answer",
        }
    }
}

/// A problem with the figures that a caller needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What went wrong.
    pub kind: ProblemKind,
    /// Particulars for people.
    pub detail: String,
    /// When to come back. Present whenever [`ProblemKind::is_transient`] holds.
    pub retry_after: Option<Duration>,
}

/// Wait that a refusal names when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest part by which a wait is lengthened at random.
const MAX_JITTER: f64 = 0.5;

/// JSON form of a [`Problem`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ProblemBody {
    /// URI reference that identifies the kind.
    pub r#type: String,
    /// Short summary for people.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Particulars for people.
    pub detail: String,
    /// What is known about the call's execution.
    pub outcome: outcome::Outcome,
    /// Milliseconds to wait before coming back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem of `kind`, with the usual wait where one is due.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        let retry_after = kind.is_transient().then_some(DEFAULT_RETRY_AFTER);
        Self {
            kind,
            detail: detail.into(),
            retry_after,
        }
    }

    /// Replaces the wait that callers are told.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Lengthens the wait by up to [`MAX_JITTER`] of itself, so that callers refused together don't come back together.
    /// `random` lies between 0 and 1.
    #[must_use]
    pub fn with_jitter(mut self, random: f64) -> Self {
        self.retry_after = self
            .retry_after
            .map(|wait| wait.mul_f64(1.0 + MAX_JITTER * random.clamp(0.0, 1.0)));
        self
    }

    /// Whole seconds for the `Retry-After` header, rounded up.
    pub fn retry_after_secs(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_millis().div_ceil(1_000).max(1) as u64)
    }

    /// The JSON form.
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
