//! Answers that proved suspects sound: those that this instance has seen, and those that others have told of.

use std::sync::Arc;

use crate::direct::{crash_facts, folded_set, proofs};
use crate::time;

/// Upper bound of the encoded length of folded proofs in a message, which holds at least one of the largest sets.
pub(super) const MAX_PROVED_BYTES: usize = 7 << 10;
/// Upper bound of the number of folded proofs of others that are kept.
const MAX_PROVED_SETS: usize = 16;

/// All proofs that an instance has.
#[derive(Debug, Clone, Default)]
pub(super) struct ProofRecord {
    /// Proofs that this instance has seen.
    own: proofs::Proofs,
    /// Proofs that others have seen; only of suspects.
    told: proofs::Proofs,
    /// Folded proofs that others have told and when they were seen; at most [`MAX_PROVED_SETS`], the newest last.
    told_sets: Vec<(folded_set::FoldedSet, time::Time)>,
}

impl ProofRecord {
    /// Returns when `suspect` was last proved sound.
    pub(super) fn last(&self, suspect: &str) -> Option<time::Time> {
        self.own.last(suspect).max(self.told.last(suspect))
    }

    /// Returns when this instance has last seen a proof of `suspect`.
    pub(super) fn last_own(&self, suspect: &str) -> Option<time::Time> {
        self.own.last(suspect)
    }

    /// Records an answer that this instance has seen.
    pub(super) fn record_own(&mut self, suspects: &[Arc<str>], at: time::Time) {
        self.own.record(suspects.iter().map(AsRef::as_ref), at);
    }

    /// Records an answer that another instance has seen.
    pub(super) fn record_told<'a, I>(&mut self, suspects: I, at: time::Time)
    where
        I: IntoIterator<Item = &'a Arc<str>>,
    {
        self.told.record(suspects.into_iter().map(AsRef::as_ref), at);
    }

    /// Keeps folded proofs that another instance has seen. Returns whether they are news.
    pub(super) fn record_told_set(&mut self, set: &folded_set::FoldedSet, at: time::Time) -> bool {
        match self.told_sets.iter_mut().find(|(known, _)| known == set) {
            Some((_, known_at)) if *known_at >= at => return false,
            Some((_, known_at)) => *known_at = at,
            None => {
                if self.told_sets.len() >= MAX_PROVED_SETS {
                    self.told_sets.remove(0);
                }
                self.told_sets.push((set.clone(), at));
            }
        }
        true
    }

    /// Takes the proofs of `suspects`, which were not known by name before, out of folded ones.
    pub(super) fn unfold(&mut self, suspects: &[&Arc<str>]) {
        for (set, at) in &self.told_sets {
            let proved = suspects.iter().filter(|s| set.may_contain(folded_set::digest(s)));
            self.told.record(proved.map(|s| &***s), *at);
        }
    }

    /// Forgets the proofs from before `at`.
    pub(super) fn discard_before(&mut self, at: time::Time) {
        self.own.discard_before(at);
        self.told.discard_before(at);
        self.told_sets.retain(|(_, proved_at)| *proved_at > at);
    }

    /// Returns what to tell others of this instance's own proofs of `suspects`.
    pub(super) fn facts(&self, suspects: &[Arc<str>], now: time::Time) -> Vec<crash_facts::ProofFact> {
        let proofs = suspects.iter().filter_map(|segment| {
            let at = self.own.last(segment)?;
            Some(crash_facts::ProofFact {
                segment: Arc::clone(segment),
                age_ms: now.since(at).as_millis() as u64,
            })
        });
        proofs.collect()
    }

    /// Returns the same for suspects that are too many to name: in one group the proofs since `newest_crash`, which clear their
    /// suspects, and in another the former ones. Sets that don't fit take turns in `rounds`.
    pub(super) fn folded_facts<'a, I>(
        &self,
        suspects: I,
        newest_crash: time::Time,
        rounds: usize,
        now: time::Time,
    ) -> Vec<crash_facts::ProvedSet>
    where
        I: Iterator<Item = &'a Arc<str>>,
    {
        let (mut fresh, mut former, mut unproved) = (Vec::new(), Vec::new(), Vec::new());
        let (mut fresh_at, mut former_at) = (now, now);
        for suspect in suspects {
            let digest = folded_set::digest(suspect);
            match self.own.last(suspect) {
                Some(at) if at > newest_crash => {
                    fresh.push(digest);
                    fresh_at = fresh_at.min(at);
                }
                Some(at) => {
                    former.push(digest);
                    former_at = former_at.min(at);
                }
                None => unproved.push(digest),
            }
        }
        let not_fresh = [former.as_slice(), &unproved].concat();
        let groups = [(fresh, fresh_at, not_fresh), (former, former_at, unproved)];
        let mut parts = Vec::new();
        for (proved, at, others) in &groups {
            parts.extend(proved.chunks(folded_set::MAX_SUSPECTS).map(|part| (part, *at, others)));
        }
        let first = rounds % parts.len().max(1);
        parts.rotate_left(first);
        let mut bytes = 0;
        let sets = parts.into_iter().filter_map(|(proved, at, others)| {
            let segments = folded_set::FoldedSet::without(proved, others)?;
            bytes += segments.encoded_len();
            (bytes <= MAX_PROVED_BYTES).then(|| crash_facts::ProvedSet {
                segments,
                age_ms: now.since(at).as_millis() as u64,
            })
        });
        sets.collect()
    }
}
