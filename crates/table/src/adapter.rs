//! Adapter to a versioned table with a change feed.
//!
//! The platform's adapter and the tests' stand-in fill the same table of functions with their calls and formats.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sycamorestile_core::direct::{declarations, endpoint};
use thiserror::Error;

/// What is followed in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Routes, services, keys and limits.
    Declarations,
    /// Entries that endpoints keep of themselves.
    Endpoints,
    /// Rows in which gateways tell each other where they are.
    Gateways,
    /// Rows in which map agents tell each other where they are.
    MapAgents,
    /// Rows that say who leads a group.
    Leases,
}

impl Topic {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Declarations => "declarations",
            Self::Endpoints => "endpoints",
            Self::Gateways => "gateways",
            Self::MapAgents => "map agents",
            Self::Leases => "leases",
        }
    }
}

/// A row or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// `None` when the row was removed.
    pub value: Option<Bytes>,
    /// Version of the row; grows with each write.
    pub version: u64,
}

/// Rows of one answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, or the changes in order.
    pub rows: Vec<Row>,
    /// Newest version of the table; the feed goes on from here.
    pub version: u64,
    /// Whether a read has more rows than this page.
    pub has_more: bool,
    /// Reading of the table's steady clock when the answer was made.
    pub clock: Option<Duration>,
}

/// Something from the table that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what} can't be read: {reason}")]
pub struct DecodeError {
    /// What it is.
    pub what: &'static str,
    /// What the codec says.
    pub reason: String,
}

/// The table of functions.
#[derive(Debug, Clone, Copy)]
pub struct TableAdapter {
    /// Path and query that reads a topic's rows after a key.
    pub read_path: fn(Topic, Option<&str>) -> String,
    /// Path and query that waits up to so many milliseconds for changes after a version.
    pub follow_path: fn(Topic, u64, u64) -> String,
    /// Path of the call that writes a row.
    pub write_path: &'static str,
    /// Body of that call: topic, key, value, and the version that the row must have, with 0 for a row that must not exist.
    pub write_body: fn(Topic, &str, &[u8], Option<u64>) -> Vec<u8>,
    /// Reads the version of an answer to it.
    pub decode_written: fn(&[u8]) -> Result<u64, DecodeError>,

    /// Status that says that the history asked for is gone.
    pub history_lost_status: u16,
    /// Reads an answer of `read_path` and `follow_path`.
    pub decode_page: fn(&[u8]) -> Result<RowPage, DecodeError>,
    /// Key of the row that holds the declarations.
    pub declarations_key: &'static str,
    /// Reads the declarations.
    pub decode_declarations: fn(&[u8]) -> Result<declarations::Declarations, DecodeError>,
    /// Reads an endpoint's entry, given its key.
    pub decode_endpoint: fn(&str, &[u8]) -> Result<endpoint::Endpoint, DecodeError>,
}
