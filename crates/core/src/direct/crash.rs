//! A crash of an endpoint, and the segments of prompts that may have caused it.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::{crash_facts, folded_set, owner};
use crate::time;

/// Upper bound of the number of suspects that others are told by name.
const MAX_NAMED: usize = 16;
/// Upper bound of the number of folded sets kept for a crash. As many gateways may have requests at one endpoint.
const MAX_FOLDED: usize = 16;
/// Period within which reports of one endpoint concern the same crash. An instance that was suspended reports late.
const SAME_CRASH: Duration = Duration::from_secs(10);

/// A crash of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    pub(super) endpoint: Arc<str>,
    /// The earliest time reported.
    pub(super) at: time::Time,
    /// Segments of the requests that the endpoint had just begun, sorted.
    pub(super) suspects: Vec<Arc<str>>,
    /// The organisation whose request had each suspect, in the same order.
    pub(super) owners: Vec<owner::Owner>,
    /// Suspects that others have told in folded form; at most [`MAX_FOLDED`] sets. See [`Self::unfold`].
    folded: Vec<folded_set::FoldedSet>,
}

impl Crash {
    /// Creates a crash without suspects.
    pub(super) fn new(endpoint: &Arc<str>, at: time::Time) -> Self {
        Self {
            endpoint: Arc::clone(endpoint),
            at,
            suspects: Vec::new(),
            owners: Vec::new(),
            folded: Vec::new(),
        }
    }

    /// Returns whether `suspect` may have caused the crash.
    pub(super) fn has_suspect(&self, suspect: &Arc<str>) -> bool {
        self.suspects.binary_search(suspect).is_ok()
    }

    /// Adds suspects that the crash doesn't have, sorted and each of them once.
    pub(super) fn add_suspects(&mut self, added: Vec<(Arc<str>, owner::Owner)>) {
        let known = std::mem::take(&mut self.suspects)
            .into_iter()
            .zip(std::mem::take(&mut self.owners));
        let mut all: Vec<(Arc<str>, owner::Owner)> = known.chain(added).collect();
        // Both parts are sorted, which a stable sort merges in one pass.
        all.sort_by(|a, b| a.0.cmp(&b.0));
        (self.suspects, self.owners) = all.into_iter().unzip();
        self.fold_unnamed();
    }

    /// Adds suspects in folded form. Returns whether they are news, or `None` if there is no room for them.
    pub(super) fn add_folded(&mut self, set: &folded_set::FoldedSet) -> Option<bool> {
        if self.folded.contains(set) {
            return Some(false);
        }
        let has_room = self.folded.len() < MAX_FOLDED;
        has_room.then(|| {
            self.folded.push(set.clone());
            true
        })
    }

    /// Returns whether there are too many suspects to name them all.
    pub(super) fn is_crowded(&self) -> bool {
        self.suspects.len() > MAX_NAMED || !self.folded.is_empty()
    }

    /// Returns whether `suspect` is not known by name and may be among those in folded form.
    pub(super) fn may_unfold(&self, suspect: &Arc<str>) -> bool {
        if self.folded.is_empty() {
            return false;
        }
        let digest = folded_set::digest(suspect);
        self.folded.iter().any(|set| set.may_contain(digest)) && !self.has_suspect(suspect)
    }

    /// Returns the organisations whose requests the crash is held against, each once.
    pub(super) fn distinct_owners(&self) -> Vec<owner::Owner> {
        let mut owners = self.owners.clone();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Folds the suspects that are too many to name.
    fn fold_unnamed(&mut self) {
        let digests = self.suspects.iter().map(|s| folded_set::digest(s));
        let is_unnamed = |digest: &u64| !self.folded.iter().any(|set| set.may_contain(*digest));
        let unnamed: Vec<u64> = digests.filter(is_unnamed).collect();
        if unnamed.len() > MAX_NAMED {
            let room = MAX_FOLDED.saturating_sub(self.folded.len());
            let sets = unnamed.chunks(folded_set::MAX_SUSPECTS).take(room);
            self.folded.extend(sets.map(folded_set::FoldedSet::new));
        }
    }

    /// Returns what to tell others of the crash at the time `now`. Of suspects that are too many to name, those go first that are not
    /// folded, and then those for which `weight` is largest.
    pub(super) fn to_fact<W, F>(&self, weight: F, now: time::Time) -> crash_facts::CrashFact
    where
        W: Ord,
        F: Fn(&Arc<str>) -> W,
    {
        let mut named: Vec<usize> = (0..self.suspects.len()).collect();
        if named.len() > MAX_NAMED {
            let is_folded = |s: &Arc<str>| {
                let digest = folded_set::digest(s);
                self.folded.iter().any(|set| set.may_contain(digest))
            };
            named.sort_by_cached_key(|&i| {
                let suspect = &self.suspects[i];
                (is_folded(suspect), Reverse(weight(suspect)))
            });
            named.truncate(MAX_NAMED);
            named.sort_unstable();
        }
        crash_facts::CrashFact {
            endpoint: Arc::clone(&self.endpoint),
            age_ms: now.since(self.at).as_millis() as u64,
            suspects: named.iter().map(|&i| Arc::clone(&self.suspects[i])).collect(),
            owners: named.iter().map(|&i| self.owners[i]).collect(),
            folded: self.folded.clone(),
        }
    }

    /// Returns the same for a crash that the suspects for which `explains` returns `true` explain, which are all that others need
    /// to know, or `None` if they are too many to name.
    pub(super) fn to_explained_fact<F>(&self, explains: F, now: time::Time) -> Option<crash_facts::CrashFact>
    where
        F: Fn(&Arc<str>) -> bool,
    {
        let named: Vec<usize> = (0..self.suspects.len())
            .filter(|&i| explains(&self.suspects[i]))
            .collect();
        (named.len() <= MAX_NAMED).then(|| crash_facts::CrashFact {
            endpoint: Arc::clone(&self.endpoint),
            age_ms: now.since(self.at).as_millis() as u64,
            suspects: named.iter().map(|&i| Arc::clone(&self.suspects[i])).collect(),
            owners: named.iter().map(|&i| self.owners[i]).collect(),
            folded: Vec::new(),
        })
    }

    /// Returns the organisation whose request had `suspect`.
    pub(super) fn owner_of(&self, suspect: &Arc<str>) -> Option<owner::Owner> {
        let at = self.suspects.binary_search(suspect).ok()?;
        self.owners.get(at).copied()
    }

    /// Returns whether a report of `endpoint` at the time `at` concerns this crash.
    pub(super) fn is_same(&self, endpoint: &Arc<str>, at: time::Time) -> bool {
        self.endpoint == *endpoint && at.since(self.at).max(self.at.since(at)) < SAME_CRASH
    }

    /// Returns whether `facts`, told `elapsed` ago, contain this crash with all its suspects, or with those that explain it if
    /// there are any.
    pub(super) fn is_covered_by<F>(
        &self,
        facts: &crash_facts::CrashFacts,
        explains: F,
        now: time::Time,
        elapsed: Duration,
    ) -> bool
    where
        F: Fn(&Arc<str>) -> bool,
    {
        let is_explained = self.is_crowded() && self.suspects.iter().any(&explains);
        facts.crashes.iter().any(|fact| {
            let age = Duration::from_millis(fact.age_ms) + elapsed;
            let difference = age.abs_diff(now.since(self.at));
            fact.endpoint == self.endpoint
                && difference < SAME_CRASH
                && self
                    .suspects
                    .iter()
                    .filter(|s| !is_explained || explains(s))
                    .all(|s| fact.covers(s))
                && (is_explained || self.folded.iter().all(|set| fact.folded.contains(set)))
        })
    }
}
