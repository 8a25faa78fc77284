//! Claims, which limit the calls with one idempotency key to at most one execution.
//!
//! A claim is a row of the platform's table that is inserted only if it is absent. Only the attempt that the row names
//! may call the endpoint, no matter how much time passes. This module decides what a row means for an attempt; it does
//! not read or write the table.

use serde::{Deserialize, Serialize};

use crate::attempt_id;
use crate::incarnation;
use crate::name;

/// Identity of a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Name of the called service.
    pub service: name::Name,
    /// Name of the calling organisation; keys of different organisations are independent.
    pub organisation: name::Name,
    /// Idempotency key sent by the caller.
    pub key: Box<str>,
}

impl ClaimKey {
    /// Returns the key of the claim's row in the platform's table.
    pub fn row_key(&self) -> String {
        format!("claim/{}/{}/{}", self.service, self.organisation, self.key)
    }
}

/// The attempt that owns a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Identifier of the attempt.
    pub attempt: attempt_id::AttemptId,
    /// Name of the endpoint whose agent accepted the attempt.
    pub endpoint: name::Name,
    /// Incarnation of that agent.
    pub incarnation: incarnation::Incarnation,
}

/// A response stored in its claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if the endpoint sent one.
    pub content_type: Option<Box<str>>,
    /// Response body.
    pub body: Vec<u8>,
}

/// State of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The owner may have called the endpoint, and no response is stored.
    Open,
    /// The owner released the claim without having called the endpoint.
    Released,
    /// The endpoint responded.
    Answered(StoredResponse),
}

/// Value of a claim's row in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the call's method, path and body.
    pub digest: Box<str>,
    /// Attempt that owns the claim.
    pub owner: Owner,
    /// State of the call.
    pub progress: ClaimState,
}

/// An attempt's request for a claim.
#[derive(Debug, Clone)]
pub struct ClaimRequest<'a> {
    /// Digest of the call's method, path and body.
    pub digest: &'a str,
    /// The requesting attempt.
    pub owner: &'a Owner,
    /// Another attempt whose agent confirmed that it never began and never will, if any.
    pub disproved: Option<attempt_id::AttemptId>,
}

/// What a claim's row means for an attempt that requests the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// There is no row: insert one.
    Free,
    /// The requesting attempt already owns the claim, because an earlier write took effect.
    Held,
    /// The owner never began: replace the row, provided that it is unchanged since it was read.
    TakeOver,
    /// The call has run, and this is its response.
    Answered(StoredResponse),
    /// The attempt of this owner may be running.
    OwnedBy(Owner),
    /// The key was used before for a call with a different method, path or body.
    Reused,
}

/// Decides what `row`, the current row of the claim, means for `request`.
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
