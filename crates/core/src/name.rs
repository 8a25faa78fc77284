//! Names of declared objects.
//!
//! Names are shared immutable strings: a name is copied into every message, metric and log line that mentions the
//! object, so a copy must cost a reference count and no allocation.

use std::borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Name of a service, group, organisation, endpoint, instance or failure domain.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(
    /// Between 1 and [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `-`, `.` and `_`, starting with a letter or digit.
    Arc<str>,
);

/// A text that can't be a [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is no name: use 1 to 63 of a-z, 0-9, '-', '.', '_', beginning with a letter or digit")]
pub struct NameError {
    text: String,
}

impl Name {
    /// Checks `text` and makes it a name.
    ///
    /// # Errors
    ///
    /// [`NameError`] when `text` is empty, too long, or holds a character outside the allowed set.
    ///
    /// # Examples
    ///
    /// ```
    /// use sycamorestile_core::name;
    ///
    /// let ledger = name::Name::new("ledger").unwrap();
    /// assert_eq!(ledger.as_str(), "ledger");
    /// assert!(name::Name::new("No Spaces").is_err());
    /// ```
    pub fn new(text: &str) -> Result<Self, NameError> {
        let first = text.bytes().next();
        let starts_correctly = first.is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
        let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'.' | b'_');
        if starts_correctly && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed) {
            Ok(Self(Arc::from(text)))
        } else {
            Err(NameError {
                text: text.chars().take(MAX_NAME_BYTES + 1).collect(),
            })
        }
    }

    /// The name's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}
