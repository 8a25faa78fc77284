//! Services and their routes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name;

/// Kind of the back ends of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Ranks of expert-parallel groups.
    Model,
    /// Independent replicas.
    Plain,
}

/// A path that a service accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path relative to the service. A segment in braces matches any single non-empty segment.
    pub path: String,
    /// Accepted HTTP methods, in upper case.
    pub methods: Vec<String>,
    /// Whether calls are idempotent. If absent, RFC 9110 determines it from the method.
    #[serde(default)]
    pub idempotent: Option<bool>,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, which is the first segment of the paths that callers request.
    pub name: name::Name,
    /// Kind of the service's back ends.
    pub kind: ServiceKind,
    /// Accepted paths. Calls to any other path are refused.
    pub routes: Vec<Route>,
    /// Deadline of calls that specify none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_max_body_bytes() -> u64 {
    1 << 20
}

/// Result of matching a method and path against the routes of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteMatch {
    /// A route accepts the path and the method.
    Declared {
        /// Whether the call is idempotent.
        idempotent: bool,
    },
    /// Routes accept the path, but not with this method.
    WrongMethod,
    /// No route accepts the path.
    NoPath,
}

impl Service {
    /// Returns the deadline of calls that specify none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Matches `method` and `path` against the routes. `path` is relative to the service and has no query.
    pub fn match_route(&self, method: &str, path: &str) -> RouteMatch {
        let mut found = RouteMatch::NoPath;
        for route in &self.routes {
            if !path_matches(&route.path, path) {
                continue;
            }
            if route.methods.iter().any(|m| m == method) {
                let idempotent = route.idempotent.unwrap_or_else(|| is_idempotent(method));
                return RouteMatch::Declared { idempotent };
            }
            found = RouteMatch::WrongMethod;
        }
        found
    }
}

/// Returns whether RFC 9110 defines `method` as idempotent.
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" | "TRACE")
}

fn path_matches(pattern: &str, path: &str) -> bool {
    let mut pattern_segments = pattern.split('/');
    let mut path_segments = path.split('/');
    loop {
        match (pattern_segments.next(), path_segments.next()) {
            (None, None) => return true,
            (Some(w), Some(g)) if is_wildcard(w) && !g.is_empty() => {}
            (Some(w), Some(g)) if w == g => {}
            _ => return false,
        }
    }
}

fn is_wildcard(segment: &str) -> bool {
    segment.len() > 2 && segment.starts_with('{') && segment.ends_with('}')
}
