//! API keys of organisations.

use std::sync::Arc;

/// The organisation that a caller belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which is forwarded to endpoints.
    pub name: Arc<str>,
    /// Priority of its requests, which overrides the priority of the route.
    pub priority: Option<u64>,
}

/// The API keys in force.
#[derive(Debug, Clone, Default)]
pub struct Credentials {
    /// Sorted by key.
    keys: Vec<(Arc<str>, Arc<Organisation>)>,
}

impl Credentials {
    /// Creates the credentials from pairs of key and organisation, in any order.
    pub fn new(mut keys: Vec<(Arc<str>, Arc<Organisation>)>) -> Self {
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        Self { keys }
    }

    /// Returns the organisation that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Arc<Organisation>> {
        let at = self.keys.binary_search_by(|(k, _)| k.as_ref().cmp(key)).ok()?;
        self.keys.get(at).map(|(_, organisation)| organisation)
    }
}
