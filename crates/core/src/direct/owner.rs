//! The organisation that a fact in a bounded memory is charged to.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// An organisation, in few bytes. Two organisations that have the same one by chance share what is kept for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Owner(u32);

impl Owner {
    /// Returns the owner for requests of `organisation`, or of callers without one.
    pub fn new(organisation: Option<&str>) -> Self {
        organisation.map_or_else(Self::default, |name| Self(xxh3::xxh3_64(name.as_bytes()) as u32))
    }
}
