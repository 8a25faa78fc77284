//! Quarantines that outlive the crashes they were decided by.
//!
//! Load condition addressed: more crashing requests than there is room for their crashes, from callers who choose how many
//! there are. A quarantine takes a fraction of the room of a crash, so that many more fit, and no organisation can take
//! the room of the others.

use std::cmp::Reverse;
use std::time::Duration;

use crate::direct::{crash_facts, owner, quarantine};
use crate::time;

/// Upper bound of the number of quarantines kept.
pub const MAX_VERDICTS: usize = 128;
/// Upper bound of the number kept for one organisation.
pub const MAX_VERDICTS_OF_OWNER: usize = MAX_VERDICTS / 4;
/// Remaining time below which a quarantine makes room for a newer one of its organisation. An earlier end would release a
/// request that comes again and again, one after the other if there are many.
const NEAR_END: Duration = Duration::from_secs(60);

/// The quarantines that are kept without their crashes.
#[derive(Debug, Clone, Default)]
pub(super) struct Verdicts {
    /// Sorted by suspect; at most [`MAX_VERDICTS`].
    kept: Vec<quarantine::Quarantine>,
    /// Index of the first verdict that is told next.
    next_fact: usize,
    /// Number of verdicts that there was no room for.
    dropped: u64,
}

impl Verdicts {
    pub(super) fn all(&self) -> &[quarantine::Quarantine] {
        &self.kept
    }

    pub(super) fn contains(&self, suspect: &str) -> bool {
        self.position(suspect).is_ok()
    }

    /// Returns how many verdicts there was no room for.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether there is room for verdicts on requests of `owner` only in place of others of theirs.
    pub(super) fn is_share_used_up(&self, owner: owner::Owner) -> bool {
        self.count_of(owner) >= MAX_VERDICTS_OF_OWNER
    }

    /// Keeps `verdict`. Returns whether it is news.
    ///
    /// If there is no room, a verdict on the same organisation gives way that ends soon, or one on the organisation that has
    /// most. Otherwise, `verdict` is dropped.
    pub(super) fn insert(&mut self, verdict: quarantine::Quarantine, memory: Duration, now: time::Time) -> bool {
        match self.position(&verdict.suspect) {
            Ok(at) => {
                let known = &mut self.kept[at];
                known.decided_at = known.decided_at.max(verdict.decided_at);
                known.crashes = known.crashes.max(verdict.crashes);
                return false;
            }
            Err(_) if self.make_room(verdict.owner, memory, now) => {}
            Err(_) => {
                self.dropped += 1;
                return false;
            }
        }
        let at = self.kept.partition_point(|v| v.suspect < verdict.suspect);
        // Without its crashes, nothing tells when enough requests have tested the suspect.
        let untested = quarantine::Quarantine { terms: None, ..verdict };
        self.kept.insert(at, untested);
        true
    }

    /// Keeps only the verdicts for which `is_valid` returns `true`.
    pub(super) fn retain<F>(&mut self, is_valid: F)
    where
        F: FnMut(&quarantine::Quarantine) -> bool,
    {
        self.kept.retain(is_valid);
    }

    /// Returns verdicts to tell other instances, up to `max_bytes`. If there are too many, the next call continues with the
    /// following ones.
    pub(super) fn facts(&mut self, now: time::Time, max_bytes: usize) -> Vec<crash_facts::VerdictFact> {
        let len = self.kept.len();
        let mut facts = Vec::new();
        let mut bytes = 0;
        for offset in 0..len {
            let fact = crash_facts::VerdictFact::of(&self.kept[(self.next_fact + offset) % len], now);
            bytes += fact.encoded_len();
            if bytes > max_bytes {
                break;
            }
            facts.push(fact);
        }
        self.next_fact = (self.next_fact + facts.len()) % len.max(1);
        facts
    }

    /// Makes room for a verdict on a request of `owner`. Returns whether there is room.
    fn make_room(&mut self, owner: owner::Owner, memory: Duration, now: time::Time) -> bool {
        if self.is_share_used_up(owner) {
            let is_near_end = |v: &quarantine::Quarantine| now.since(v.decided_at) + NEAR_END >= memory;
            return self.remove_oldest_of(owner, is_near_end);
        }
        if self.kept.len() < MAX_VERDICTS {
            return true;
        }
        let by_count = |v: &&quarantine::Quarantine| self.count_of(v.owner);
        let largest = self.kept.iter().max_by_key(by_count).map(|v| v.owner);
        largest.is_some_and(|largest| self.remove_oldest_of(largest, |_| true))
    }

    fn remove_oldest_of<F>(&mut self, owner: owner::Owner, may_go: F) -> bool
    where
        F: Fn(&quarantine::Quarantine) -> bool,
    {
        let candidates = self.kept.iter().enumerate();
        let candidates = candidates.filter(|(_, v)| v.owner == owner && may_go(v));
        let oldest = candidates
            .max_by_key(|(_, v)| Reverse(v.decided_at))
            .map(|(index, _)| index);
        if let Some(index) = oldest {
            self.kept.remove(index);
            self.dropped += 1;
        }
        oldest.is_some()
    }

    fn count_of(&self, owner: owner::Owner) -> usize {
        self.kept.iter().filter(|v| v.owner == owner).count()
    }

    fn position(&self, suspect: &str) -> Result<usize, usize> {
        self.kept.binary_search_by(|v| v.suspect.as_ref().cmp(suspect))
    }
}
