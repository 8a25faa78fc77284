//! Lookup of routes by host and longest path prefix.

use std::sync::Arc;

use crate::direct::route;

/// All routes of one version of the declarations.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Routes, sorted by host, then prefix.
    routes: Vec<Arc<route::Route>>,
}

impl RouteTable {
    /// Creates the table from `routes` in any order.
    pub fn new(mut routes: Vec<Arc<route::Route>>) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self { routes }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// `host` may include a port; `path` must not include a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<route::Route>> {
        let host = without_port(host).to_ascii_lowercase();
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        for (end, _) in slashes {
            let prefix = path.get(..=end)?;
            let found = self
                .routes
                .binary_search_by(|r| (r.host.as_ref(), r.prefix.as_ref()).cmp(&(host.as_str(), prefix)));
            if let Ok(at) = found {
                return self.routes.get(at);
            }
        }
        None
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
}
