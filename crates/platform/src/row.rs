//! Rows of the platform's table.

use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version that the last write gave the row. Always greater than zero: conditions use zero for a row that does not
    /// exist.
    pub version: u64,
    /// Value of the row.
    pub value: serde_json::Value,
}

/// Request to read rows by key, by prefix or both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of rows to read.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Prefix of the keys of rows to read.
    #[serde(default)]
    pub prefix: Option<String>,
    /// Restricts the rows read by prefix to those whose keys sort after this key.
    #[serde(default)]
    pub after: Option<String>,
    /// Maximum number of rows to read by prefix.
    #[serde(default)]
    pub limit: Option<usize>,
}

/// Reply to a read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Rows that were found, sorted by key.
    pub rows: Vec<Row>,
}
