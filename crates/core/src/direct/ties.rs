//! Suspects that explain crashes equally well.
//!
//! Their number is bounded only by the segments of a prompt, so that they are compared by the sets of crashes that they
//! explain, of which there are few, and share what these have in common.

use std::sync::Arc;

use crate::direct::crash;

/// The suspects that one verdict blames.
pub(super) struct Ties {
    /// The suspects, sorted, each with the index of its tie.
    suspects: Vec<(Arc<str>, usize)>,
    ties: Vec<Tie>,
}

/// Suspects that explain the same crashes.
pub(super) struct Tie {
    /// A bit for each crash that they explain, by its index.
    mask: u64,
    /// These suspects and the others that explain some of the same crashes, sorted; empty if there is just one.
    pub(super) partners: Arc<[Arc<str>]>,
    /// Number of crashes that tell them apart from some of the partners.
    pub(super) telling_crashes: usize,
}

impl Tie {
    /// Returns the crashes that the suspects explain. `crashes` must be those of [`Ties::new`].
    pub(super) fn crashes<'a>(&self, crashes: &[&'a crash::Crash]) -> impl Iterator<Item = &'a crash::Crash> + Clone {
        let mask = self.mask;
        crashes
            .iter()
            .enumerate()
            .filter(move |(index, _)| mask & (1 << index) != 0)
            .map(|(_, crash)| *crash)
    }
}

impl Ties {
    /// Compares `suspects`, which must be sorted, by which of `crashes` have them. There are at most 64 crashes.
    pub(super) fn new<'a, I>(suspects: I, crashes: &[&crash::Crash]) -> Self
    where
        I: Iterator<Item = &'a Arc<str>>,
    {
        let mask_of = |s: &Arc<str>| {
            let bits = crashes
                .iter()
                .enumerate()
                .map(|(i, c)| u64::from(c.has_suspect(s)) << i);
            bits.fold(0, |mask, bit| mask | bit)
        };
        let masked: Vec<(Arc<str>, u64)> = suspects.map(|s| (Arc::clone(s), mask_of(s))).collect();
        let mut masks: Vec<u64> = masked.iter().map(|(_, mask)| *mask).collect();
        masks.sort_unstable();
        masks.dedup();
        let ties = masks.iter().map(|&mask| Self::tie(mask, &masked)).collect();
        let index_of = |mask: u64| masks.binary_search(&mask).unwrap_or_default();
        Self {
            suspects: masked.into_iter().map(|(s, mask)| (s, index_of(mask))).collect(),
            ties,
        }
    }

    fn tie(mask: u64, masked: &[(Arc<str>, u64)]) -> Tie {
        let partners: Vec<&(Arc<str>, u64)> = masked.iter().filter(|(_, other)| other & mask != 0).collect();
        let common = partners.iter().fold(u64::MAX, |common, (_, other)| common & other);
        let is_alone = partners.len() <= 1;
        let names = partners.into_iter().map(|(s, _)| Arc::clone(s));
        Tie {
            mask,
            partners: names.filter(|_| !is_alone).collect(),
            telling_crashes: (mask & !common).count_ones() as usize,
        }
    }

    /// Returns the tie of `suspect`, which must be one of these.
    pub(super) fn of(&self, suspect: &Arc<str>) -> &Tie {
        let at = self
            .suspects
            .binary_search_by(|(s, _)| s.cmp(suspect))
            .unwrap_or_default();
        &self.ties[self.suspects[at].1]
    }

    /// Returns those of `crashes` that none of the suspects explains.
    pub(super) fn unexplained<'a>(&self, crashes: &[&'a crash::Crash]) -> Vec<&'a crash::Crash> {
        let explained = self.ties.iter().fold(0, |mask, tie| mask | tie.mask);
        let indexed = crashes.iter().enumerate();
        indexed
            .filter(|(i, _)| explained & (1 << i) == 0)
            .map(|(_, c)| *c)
            .collect()
    }
}
