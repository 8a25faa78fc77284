//! One version of the operators' declarations, in the form that a gateway uses.

use std::time::Duration;

use crate::direct::credentials;
use crate::direct::route_table;

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Longest time for which a connection without a request stays open.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first declarations are read.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the declarations.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    /// Version number, which grows with each change.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: route_table::RouteTable,
    /// API keys of organisations; `None` when no route requires a key.
    pub credentials: Option<credentials::Credentials>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}
