//! What instances tell each other about crashes of endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::direct::{folded_set, owner, quarantine};
use crate::time;

/// Upper bound of the length of a fact as JSON, without its identifiers.
const FACT_BYTES: usize = 80;
/// The same for a quarantine.
const VERDICT_BYTES: usize = 88;
/// Length of what JSON puts around an identifier in a list.
const IDENTIFIER_BYTES: usize = 3;
/// Upper bound of the length of an owner in a list.
const OWNER_BYTES: usize = 11;
/// Upper bound of the length of a byte that JSON escapes.
const ESCAPE_BYTES: usize = 6;

/// What an instance tells others about crashes. Entries encode it without the names of its fields, so that none may be left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFacts {
    /// The crashes that it knows of.
    pub crashes: Vec<CrashFact>,
    /// Suspected segments that it has itself seen proved sound. The proofs of others are not passed on, since their age
    /// would shrink with each hop.
    pub proofs: Vec<ProofFact>,
    /// The same for suspects of crashes that have too many to name them.
    #[serde(default)]
    pub proved: Vec<ProvedSet>,
    /// Quarantines whose crashes it no longer knows, or some of them.
    #[serde(default)]
    pub verdicts: Vec<VerdictFact>,
    /// Number of all such quarantines.
    #[serde(default)]
    pub verdict_count: usize,
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
    /// The organisation whose request had each of them, in the same order. Gateways of earlier builds tell none.
    #[serde(default)]
    pub owners: Vec<owner::Owner>,
    /// All suspects, if they are too many to name. Each gateway that saw the crash may have folded its own. Gateways of earlier
    /// builds tell none.
    #[serde(default)]
    pub folded: Vec<folded_set::FoldedSet>,
}

/// A quarantine, as told to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictFact {
    /// The quarantined segment, or the content of the quarantined requests.
    pub suspect: Arc<str>,
    /// The organisation that it is charged to.
    pub owner: owner::Owner,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// Some of the endpoints that crashed.
    pub endpoints: Vec<Arc<str>>,
    /// Age of the last crash without which there would be no quarantine, in milliseconds.
    pub age_ms: u64,
}

/// A proof that a segment is sound, as told to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofFact {
    /// The segment.
    pub segment: Arc<str>,
    /// Age of the proof in milliseconds.
    pub age_ms: u64,
}

/// Proofs that many segments are sound, as told to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvedSet {
    /// The segments. No suspect that the sender knows and has not seen proved is found in it by mistake.
    pub segments: folded_set::FoldedSet,
    /// Age of the oldest of the proofs in milliseconds.
    pub age_ms: u64,
}

impl CrashFact {
    /// Returns an upper bound of the length of the fact as JSON.
    pub(super) fn encoded_len(&self) -> usize {
        let suspects = self.suspects.iter().map(|s| identifier_len(s));
        let owners = self.owners.len() * OWNER_BYTES;
        let folded = self.folded.iter().map(folded_set::FoldedSet::encoded_len);
        FACT_BYTES + identifier_len(&self.endpoint) + suspects.sum::<usize>() + owners + folded.sum::<usize>()
    }

    /// Returns whether `suspect` is among those that the fact names or may be among those that it folds.
    pub(super) fn covers(&self, suspect: &Arc<str>) -> bool {
        let digest = folded_set::digest(suspect);
        self.suspects.contains(suspect) || self.folded.iter().any(|set| set.may_contain(digest))
    }
}

impl VerdictFact {
    /// Returns the fact about `quarantine` at the time `now` on the clock of the evidence.
    pub(super) fn of(quarantine: &quarantine::Quarantine, now: time::Time) -> Self {
        Self {
            suspect: Arc::clone(&quarantine.suspect),
            owner: quarantine.owner,
            crashes: quarantine.crashes,
            endpoints: quarantine.endpoints.clone(),
            age_ms: now.since(quarantine.decided_at).as_millis() as u64,
        }
    }

    /// Returns an upper bound of the length of the fact as JSON.
    pub(super) fn encoded_len(&self) -> usize {
        let endpoints = self.endpoints.iter().map(|e| identifier_len(e));
        VERDICT_BYTES + identifier_len(&self.suspect) + endpoints.sum::<usize>()
    }
}

impl CrashFacts {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.verdicts.is_empty()
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
