//! What instances tell each other about crashes of endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Upper bound of the length of a fact as JSON, without its identifiers.
const FACT_BYTES: usize = 64;
/// Length of what JSON puts around an identifier in a list.
const IDENTIFIER_BYTES: usize = 3;
/// Upper bound of the length of a byte that JSON escapes.
const ESCAPE_BYTES: usize = 6;

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

impl CrashFact {
    /// Returns an upper bound of the length of the fact as JSON.
    pub(super) fn encoded_len(&self) -> usize {
        let suspects = self.suspects.iter().map(|s| identifier_len(s));
        FACT_BYTES + identifier_len(&self.endpoint) + suspects.sum::<usize>()
    }
}

impl ProofFact {
    /// Returns an upper bound of the length of the fact as JSON.
    pub(super) fn encoded_len(&self) -> usize {
        FACT_BYTES + identifier_len(&self.segment)
    }
}

fn identifier_len(identifier: &str) -> usize {
    let escaped = identifier.bytes().filter(|b| matches!(b, b'"' | b'\\' | 0..0x20));
    IDENTIFIER_BYTES + identifier.len() + escaped.count() * (ESCAPE_BYTES - 1)
}
