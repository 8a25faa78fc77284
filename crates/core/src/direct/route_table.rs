//! Routes by host and longest path prefix.

use std::sync::Arc;

use crate::direct::route;

/// All routes of one version of the declarations.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Sorted by host, then prefix.
    routes: Vec<Arc<route::Route>>,
}

impl RouteTable {
    /// Sorts `routes`.
    pub fn new(mut routes: Vec<Arc<route::Route>>) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self { routes }
    }

    /// The route of `host` with the longest prefix that begins `path`. `host` may carry a port, `path` has no query.
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

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
}
