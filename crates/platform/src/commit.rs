//! Transactions on the platform's table.

use serde::{Deserialize, Serialize};

use crate::row;

/// A precondition of a transaction: a row has a certain version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have. Zero means that the row must not exist.
    pub version: u64,
}

/// A row to write or remove.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row, or `None` to remove the row.
    pub value: Option<serde_json::Value>,
}

/// A transaction.
///
/// All writes take effect if all conditions hold, and none otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Conditions on the rows that the transaction depends on.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitReply {
    /// All writes took effect. The value is the version of the written rows.
    Committed(u64),
    /// No write took effect, because at least one condition failed.
    Conflicts {
        /// Keys of the rows whose condition failed.
        keys: Vec<String>,
        /// Current rows under these keys. Keys without a row are left out.
        rows: Vec<row::Row>,
    },
}
