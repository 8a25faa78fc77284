//! Answers that proved suspects sound.

use crate::direct::folded_set;
use crate::time;

/// Upper bound of the number of suspects whose last proof is kept: those of several of the largest heads.
const MAX_PROOFS: usize = 32 << 10;

/// When each suspect was last proved sound.
#[derive(Debug, Clone, Default)]
pub(super) struct Proofs {
    /// By the digest of the suspect, sorted; at most [`MAX_PROOFS`].
    proofs: Vec<(u64, time::Time)>,
}

impl Proofs {
    /// Returns when `suspect` was last proved sound.
    pub(super) fn last(&self, suspect: &str) -> Option<time::Time> {
        let at = self.position(folded_set::digest(suspect)).ok()?;
        Some(self.proofs[at].1)
    }

    /// Records that `suspects` were proved sound. If there is no room, the oldest proofs are forgotten.
    pub(super) fn record<'a, I>(&mut self, suspects: I, at: time::Time)
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut added = Vec::new();
        for digest in suspects.into_iter().map(folded_set::digest) {
            match self.position(digest) {
                Ok(index) => self.proofs[index].1 = self.proofs[index].1.max(at),
                Err(_) => added.push((digest, at)),
            }
        }
        if added.is_empty() {
            return;
        }
        added.sort_unstable();
        added.dedup();
        added.truncate(MAX_PROOFS);
        self.make_room(added.len());
        self.proofs.append(&mut added);
        // Both parts are sorted, which a stable sort merges in one pass.
        self.proofs.sort();
    }

    /// Forgets the proofs from before `at`.
    pub(super) fn discard_before(&mut self, at: time::Time) {
        self.proofs.retain(|(_, proved_at)| *proved_at > at);
    }

    /// Forgets the oldest proofs until there is room for `count`. Half of all go at once, so that this is seldom needed.
    fn make_room(&mut self, count: usize) {
        if self.proofs.len() + count <= MAX_PROOFS {
            return;
        }
        let kept = (MAX_PROOFS / 2).min(MAX_PROOFS - count).min(self.proofs.len());
        let discarded = self.proofs.len() - kept;
        let mut times: Vec<time::Time> = self.proofs.iter().map(|(_, at)| *at).collect();
        let Some(last) = discarded.checked_sub(1) else { return };
        let (older, newest_discarded, _) = times.select_nth_unstable(last);
        let newest_discarded = *newest_discarded;
        // Of those with the same time, only as many go as there is no room for.
        let mut equal = discarded - older.iter().filter(|at| **at < newest_discarded).count();
        self.proofs.retain(|(_, at)| {
            let goes = *at < newest_discarded || (*at == newest_discarded && equal > 0);
            equal -= usize::from(goes && *at == newest_discarded);
            !goes
        });
    }

    fn position(&self, digest: u64) -> Result<usize, usize> {
        self.proofs.binary_search_by_key(&digest, |(known, _)| *known)
    }
}
