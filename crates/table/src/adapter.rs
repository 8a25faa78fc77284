//! Interface of a versioned table with a change feed.
//!
//! A platform provides its paths and codecs as a [`TableAdapter`], a struct of constants and function pointers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use sycamorestile_core::direct::{declarations, endpoint};
use thiserror::Error;

use crate::era;

/// Part of the table that can be read and followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Operators' declarations: routes, services, keys and limits.
    Declarations,
    /// Entries that endpoints publish about themselves.
    Endpoints,
    /// Addresses of gateways, one row per instance.
    Gateways,
    /// Addresses of map agents, one row per instance.
    MapAgents,
    /// What gateways observed of endpoints, one row per instance.
    Facts,
    /// Coordinators of groups, one row per group. The row's version is the leadership number.
    Leases,
}

impl Topic {
    /// Returns the name of the topic in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Declarations => "declarations",
            Self::Endpoints => "endpoints",
            Self::Gateways => "gateways",
            Self::MapAgents => "map agents",
            Self::Facts => "endpoint facts",
            Self::Leases => "leases",
        }
    }
}

/// A row, or the removal of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// Value of the row, or `None` if it was removed.
    pub value: Option<Bytes>,
    /// Version of the row, which increases with each write.
    pub version: u64,
}

/// Rows of one response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows of a read, or the changes of a feed in order.
    pub rows: Vec<Row>,
    /// Latest version of the table, from which the feed continues.
    pub version: u64,
    /// Whether a read has more rows after this page.
    pub has_more: bool,
    /// Reading of the table's monotonic clock when the response was made.
    pub clock: Option<Duration>,
}

/// Error of decoding data from the table or a rank.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("failed to decode {what}: {reason}")]
pub struct DecodeError {
    /// Description of the data, such as "a rank's report".
    pub what: &'static str,
    /// Error message of the decoder.
    pub reason: String,
}

/// Paths and codecs of a platform's table.
#[derive(Debug, Clone, Copy)]
pub struct TableAdapter {
    /// Builds the path and query of a read of a topic's rows, from the first or after a key.
    pub read_path: fn(Topic, Option<&str>) -> String,
    /// Builds the path and query of a long poll for a topic's changes after a version. The last argument is the longest
    /// wait in milliseconds.
    pub follow_path: fn(Topic, u64, u64) -> String,
    /// Path of the request that writes a row.
    pub write_path: &'static str,
    /// Builds the body of a write from a topic, a key, a value and the version that the row must have. Version 0
    /// requires that the row does not exist; with `None` the write is unconditional.
    pub write_body: fn(Topic, &str, &[u8], Option<u64>) -> Vec<u8>,
    /// Decodes the row's new version from the response to a write.
    pub decode_written: fn(&[u8]) -> Result<u64, DecodeError>,
    /// Reads the table's era from the head of a response.
    pub read_era: fn(&HeaderMap) -> Option<era::Era>,
    /// Status of the response to a poll whose start version is no longer in the table's history.
    pub history_lost_status: u16,
    /// Decodes the response to a read or poll.
    pub decode_page: fn(&[u8]) -> Result<RowPage, DecodeError>,
    /// Key of the row that holds the declarations.
    pub declarations_key: &'static str,
    /// Decodes the declarations.
    pub decode_declarations: fn(&[u8]) -> Result<declarations::Declarations, DecodeError>,
    /// Decodes an endpoint's entry from its key and value.
    pub decode_endpoint: fn(&str, &[u8]) -> Result<endpoint::Endpoint, DecodeError>,
}
