//! API keys of organisations.

use std::sync::Arc;

/// Who a caller is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name that endpoints are told.
    pub name: Arc<str>,
    /// Goes before the priority of a route.
    pub priority: Option<u8>,
}

/// The keys in force.
#[derive(Debug, Clone, Default)]
pub struct Credentials {
    /// Sorted by key.
    keys: Vec<(Arc<str>, Arc<Organisation>)>,
}

impl Credentials {
    /// Sorts `keys`.
    pub fn new(mut keys: Vec<(Arc<str>, Arc<Organisation>)>) -> Self {
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        Self { keys }
    }

    /// The organisation that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Arc<Organisation>> {
        let at = self.keys.binary_search_by(|(k, _)| k.as_ref().cmp(key)).ok()?;
        self.keys.get(at).map(|(_, organisation)| organisation)
    }
}
