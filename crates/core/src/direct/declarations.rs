//! One version of what operators declared, as a gateway uses it.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::credentials;
use crate::direct::expert_model;
use crate::direct::route_table;

/// Bounds on what callers send and how long they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until the first declarations are read.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A declared service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectService {
    /// Name of the service.
    pub name: Arc<str>,
    /// Present for model services whose ranks hold experts.
    pub experts: Option<expert_model::ExpertModel>,
}

/// One version of the declarations.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    /// Grows with each change.
    pub version: u64,
    /// The routes.
    pub routes: route_table::RouteTable,
    /// Sorted by name.
    pub services: Vec<DirectService>,
    /// The keys of organisations; `None` where requests need none.
    pub credentials: Option<credentials::Credentials>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl Declarations {
    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&DirectService> {
        let at = self.services.binary_search_by(|s| s.name.as_ref().cmp(name)).ok()?;
        self.services.get(at)
    }
}
