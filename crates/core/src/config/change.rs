//! Accepted configuration changes.

use serde::{Deserialize, Serialize};

use crate::config::declaration;
use crate::name;
use crate::revision;

/// An edit of a single object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Declares an object or replaces it.
    Put(declaration::Declaration),
    /// Removes an object.
    Remove(declaration::ObjectKey),
}

impl Edit {
    /// Returns the key of the edited object.
    pub fn key(&self) -> declaration::ObjectKey {
        match self {
            Self::Put(object) => object.key(),
            Self::Remove(key) => key.clone(),
        }
    }
}

/// A configuration change as stored in the platform's table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change creates.
    pub revision: revision::Revision,
    /// Identifier chosen by the operator.
    pub id: name::Name,
    /// The edits. No object is edited twice.
    pub edits: Vec<Edit>,
}
