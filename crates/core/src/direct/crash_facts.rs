//! What instances tell each other about crashes of endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What an instance tells others about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFacts {
    /// The crashes that it knows of.
    pub crashes: Vec<CrashFact>,
    /// Suspected segments that it has itself seen proved sound. The proofs of others are not passed on, since their age
    /// would shrink with each hop.
    pub proofs: Vec<ProofFact>,
}

/// A crash, as told to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFact {
    /// The endpoint that crashed.
    pub endpoint: Arc<str>,
    /// Age of the crash in milliseconds.
    pub age_ms: u64,
    /// The segments that may have caused it.
    pub suspects: Vec<Arc<str>>,
}

/// A proof that a segment is sound, as told to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofFact {
    /// The segment.
    pub segment: Arc<str>,
    /// Age of the proof in milliseconds.
    pub age_ms: u64,
}
