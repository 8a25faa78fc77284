//! Priority classes of calls.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Priority class of a call. Calls of an earlier variant are served before those of later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person is waiting for the response.
    Interactive,
    /// The default for calls without a class header.
    #[default]
    Standard,
    /// Background work that can be delayed.
    Batch,
}

/// Error returned by [`Class::parse`] for a text that is not the name of a class.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a priority class: use interactive, standard or batch")]
pub struct ClassError {
    text: String,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Parses the name of a class.
    ///
    /// # Errors
    ///
    /// Returns [`ClassError`] if `text` is not the name of a class.
    pub fn parse(text: &str) -> Result<Self, ClassError> {
        Self::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or_else(|| ClassError {
                text: text.chars().take(64).collect(),
            })
    }

    /// Returns the name of the class, as used in headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }

    /// Returns the position of the class in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
