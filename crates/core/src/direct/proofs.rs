//! Answers that proved suspects sound.

use std::sync::Arc;

use crate::time;

/// Upper bound of the number of suspects whose last proof is kept.
const MAX_PROOFS: usize = 4_096;

/// When each suspect was last proved sound.
#[derive(Debug, Clone, Default)]
pub(super) struct Proofs {
    /// Sorted by suspect; at most [`MAX_PROOFS`].
    proofs: Vec<(Arc<str>, time::Time)>,
}

impl Proofs {
    pub(super) fn is_empty(&self) -> bool {
        self.proofs.is_empty()
    }

    /// Returns when `suspect` was last proved sound.
    pub(super) fn last(&self, suspect: &Arc<str>) -> Option<time::Time> {
        let at = self.position(suspect).ok()?;
        Some(self.proofs[at].1)
    }

    /// Records that `suspect` was proved sound. If there is no room, the older half of the proofs is forgotten.
    pub(super) fn record(&mut self, suspect: &Arc<str>, at: time::Time) {
        if self.proofs.len() >= MAX_PROOFS {
            self.discard_older_half();
        }
        match self.position(suspect) {
            Ok(index) => self.proofs[index].1 = self.proofs[index].1.max(at),
            Err(index) => self.proofs.insert(index, (Arc::clone(suspect), at)),
        }
    }

    /// Keeps only the proofs for which `is_kept` returns `true`.
    pub(super) fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&Arc<str>, time::Time) -> bool,
    {
        self.proofs.retain(|(suspect, at)| is_kept(suspect, *at));
    }

    fn discard_older_half(&mut self) {
        let mut times: Vec<time::Time> = self.proofs.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.proofs.retain(|(_, at)| *at > median);
    }

    fn position(&self, suspect: &Arc<str>) -> Result<usize, usize> {
        self.proofs.binary_search_by(|(known, _)| known.cmp(suspect))
    }
}
