//! Identifier of the lifetime of an agent's process.
//!
//! An agent keeps its record of attempts in memory only, so a restarted agent knows nothing about the attempts of its
//! previous process. The incarnation lets peers detect the restart.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies the lifetime of an agent's process. A new value is drawn at every start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its raw value.
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
