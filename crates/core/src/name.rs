//! Names of declared objects.
//!
//! A name is copied into every message, metric and log line that mentions the object. Names are therefore shared
//! immutable strings: a copy increments a reference count and allocates nothing.

use std::borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Name of a service, group, organisation, endpoint, instance or failure domain.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(
    /// Between 1 and [`MAX_NAME_BYTES`] characters from `a-z`, `0-9`, `-`, `.` and `_`, starting with a letter or
    /// digit.
    Arc<str>,
);

/// Error for a string that is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a valid name: use 1 to 63 of a-z, 0-9, '-', '.', '_', starting with a letter or digit")]
pub struct NameError {
    text: String,
}

impl Name {
    /// Validates `text` and converts it into a name.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if `text` is empty or too long, contains a character outside the allowed set, or doesn't
    /// start with a letter or digit.
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

    /// Returns the name as a string slice.
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
