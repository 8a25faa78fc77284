//! Identity of one attempt of a call.
//!
//! Frames, cancellations and claims carry the identifier of the attempt rather than that of the call, so a late
//! response to an abandoned attempt is never taken for the response to a newer one.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifier of an attempt, unique across all entries.
///
/// Stored as two 64-bit halves because JSON has no 128-bit integers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AttemptId {
    high: u64,
    low: u64,
}

impl AttemptId {
    /// Creates an identifier from its 128-bit value.
    pub const fn new(raw: u128) -> Self {
        Self {
            high: (raw >> u64::BITS) as u64,
            low: raw as u64,
        }
    }

    /// Returns the 128-bit value.
    pub const fn get(self) -> u128 {
        ((self.high as u128) << u64::BITS) | self.low as u128
    }

    /// Parses the hexadecimal form that the [`fmt::Display`] implementation produces.
    ///
    /// # Errors
    ///
    /// Returns [`std::num::ParseIntError`] if `text` is not a hexadecimal number of at most 128 bits.
    pub fn parse(text: &str) -> Result<Self, std::num::ParseIntError> {
        u128::from_str_radix(text, 16).map(Self::new)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.high, self.low)
    }
}
