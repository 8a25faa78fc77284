//! A set of suspects in few bytes, for those that don't fit into a message by name.
//!
//! It is a Bloom filter: whatever was put in is found again, and something else is found now and then. A receiver can't list
//! what it contains, but tells of a request in hand which of its segments are among them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Bits for each suspect, at which five in ten million others are found by mistake.
const BITS_PER_SUSPECT: usize = 32;
/// The number of hashes that suits the largest sets best.
const HASHES: u32 = 14;
/// Upper bound of the size in bytes.
const MAX_BYTES: usize = 5 << 10;
/// Upper bound of the number of suspects in a set. More are folded into several sets. The largest have 20 bits for each suspect,
/// at which seven in 100,000 others are found by mistake.
pub(super) const MAX_SUSPECTS: usize = 2_048;
/// Number of salts with which a set is tried that must not contain certain suspects.
const MAX_SALTS: u64 = 16;

/// A set of suspects that may contain others by mistake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Encoded", try_from = "Encoded")]
pub struct FoldedSet {
    hashes: u32,
    /// Decides which others are found by mistake.
    salt: u64,
    /// Not empty; at most [`MAX_BYTES`].
    bits: Vec<u8>,
}

/// The form in messages.
#[derive(Serialize, Deserialize)]
struct Encoded {
    hashes: u32,
    #[serde(default)]
    salt: u64,
    /// In Base64.
    bits: String,
}

/// An error in a message.
#[derive(Debug, thiserror::Error)]
#[error("a folded set with {hashes} hashes and {bytes} bytes is out of bounds")]
struct InvalidSet {
    hashes: u32,
    bytes: usize,
}

impl FoldedSet {
    /// Folds suspects with these digests, which are at most [`MAX_SUSPECTS`].
    pub(super) fn new(digests: &[u64]) -> Self {
        Self::salted(digests, 0)
    }

    /// The same, so that none of `others` is found. Returns `None` if there are too many others.
    pub(super) fn without(digests: &[u64], others: &[u64]) -> Option<Self> {
        let mut sets = (0..MAX_SALTS).map(|salt| Self::salted(digests, salt));
        sets.find(|set| !others.iter().any(|other| set.may_contain(*other)))
    }

    fn salted(digests: &[u64], salt: u64) -> Self {
        let bytes = (digests.len().max(1) * BITS_PER_SUSPECT).div_ceil(8).min(MAX_BYTES);
        let mut set = Self {
            hashes: HASHES,
            salt,
            bits: vec![0; bytes],
        };
        for digest in digests {
            for bit in set.positions(*digest) {
                set.bits[bit / 8] |= 1 << (bit % 8);
            }
        }
        set
    }

    /// Returns whether the suspect with this digest may be in the set.
    pub(super) fn may_contain(&self, digest: u64) -> bool {
        self.positions(digest)
            .all(|bit| self.bits[bit / 8] & (1 << (bit % 8)) != 0)
    }

    /// Returns an upper bound of the length as JSON.
    pub(super) fn encoded_len(&self) -> usize {
        const FIELDS: usize = 64;
        FIELDS + self.bits.len().div_ceil(3) * 4
    }

    fn positions(&self, digest: u64) -> impl Iterator<Item = usize> + use<> {
        let mixed = xxh3::xxh3_64_with_seed(&digest.to_le_bytes(), self.salt);
        let (first, step) = (u64::from(mixed as u32), mixed >> 32 | 1);
        let len = self.bits.len() as u64 * 8;
        (0..u64::from(self.hashes)).map(move |i| ((first + i * step) % len) as usize)
    }
}

impl From<FoldedSet> for Encoded {
    fn from(set: FoldedSet) -> Self {
        Self {
            hashes: set.hashes,
            salt: set.salt,
            bits: STANDARD_NO_PAD.encode(&set.bits),
        }
    }
}

impl TryFrom<Encoded> for FoldedSet {
    type Error = InvalidSet;

    fn try_from(encoded: Encoded) -> Result<Self, InvalidSet> {
        // Bits that can't be decoded leave nothing to look up, which is out of bounds too.
        let bits = STANDARD_NO_PAD.decode(&encoded.bits).unwrap_or_default();
        let is_valid = (1..=HASHES).contains(&encoded.hashes) && (1..=MAX_BYTES).contains(&bits.len());
        let (hashes, bytes, salt) = (encoded.hashes, bits.len(), encoded.salt);
        is_valid
            .then_some(Self { hashes, salt, bits })
            .ok_or(InvalidSet { hashes, bytes })
    }
}

/// Returns the digest by which a suspect is folded.
pub(super) fn digest(suspect: &str) -> u64 {
    xxh3::xxh3_64(suspect.as_bytes())
}
