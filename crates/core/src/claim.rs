//! Claims: at most one execution for an idempotency key.
//!
//! A claim is a row of the platform's table, inserted only if absent. Whoever's attempt the row names may call the
//! endpoint; nobody else may, however much time passes. The functions here say what a row that was read means for an
//! attempt; they never write.

use serde::{Deserialize, Serialize};

use crate::attempt_id;
use crate::incarnation;
use crate::name;

/// Identity of a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: name::Name,
    /// The organisation; keys of different organisations never meet.
    pub organisation: name::Name,
    /// The caller's idempotency key.
    pub key: Box<str>,
}

impl ClaimKey {
    /// Key of the row in the platform's table.
    pub fn row_key(&self) -> String {
        format!("claim/{}/{}/{}", self.service, self.organisation, self.key)
    }
}

/// The attempt that a claim belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The attempt.
    pub attempt: attempt_id::AttemptId,
    /// Endpoint whose agent holds the attempt.
    pub endpoint: name::Name,
    /// Incarnation of that agent.
    pub incarnation: incarnation::Incarnation,
}

/// An answer kept with its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint named one.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Vec<u8>,
}

/// How far a claimed call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// May be running.
    Open,
    /// The owner gave it up before it called the endpoint.
    Released,
    /// The endpoint answered.
    Answered(StoredResponse),
}

/// A claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of method, path and body.
    pub digest: Box<str>,
    /// The owner.
    pub owner: Owner,
    /// How far it has come.
    pub progress: ClaimState,
}

/// An attempt that wants a claim.
#[derive(Debug, Clone)]
pub struct ClaimRequest<'a> {
    /// Digest of method, path and body.
    pub digest: &'a str,
    /// The attempt and where it stands.
    pub owner: &'a Owner,
    /// An attempt that its agent has proved never to have begun.
    pub disproved: Option<attempt_id::AttemptId>,
}

/// What a row means for the attempt that wants it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// No row: insert one.
    Free,
    /// The row names this very attempt: an earlier write took effect.
    Held,
    /// The row's owner never began: take it over, on condition that the row is unchanged.
    TakeOver,
    /// The call was answered.
    Answered(StoredResponse),
    /// Another attempt may be running.
    OwnedBy(Owner),
    /// The key was used with another body.
    Reused,
}

/// Reads `row` for `wanted`.
pub fn decide(row: Option<&ClaimRow>, request: &ClaimRequest<'_>) -> ClaimDecision {
    let Some(row) = row else {
        return ClaimDecision::Free;
    };
    if &*row.digest != request.digest {
        return ClaimDecision::Reused;
    }
    if row.owner.attempt == request.owner.attempt && row.progress == ClaimState::Open {
        return ClaimDecision::Held;
    }
    match &row.progress {
        ClaimState::Answered(response) => ClaimDecision::Answered(response.clone()),
        ClaimState::Released => ClaimDecision::TakeOver,
        ClaimState::Open if request.disproved == Some(row.owner.attempt) => ClaimDecision::TakeOver,
        ClaimState::Open => ClaimDecision::OwnedBy(row.owner.clone()),
    }
}
