//! Services that callers address.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name;

/// What kind of back end serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Ranks of expert-parallel groups.
    Model,
    /// Plain replicas.
    Plain,
}

/// A path that a service answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path below the service; a segment in braces matches any one segment.
    pub path: String,
    /// Methods that the path takes, in capitals.
    pub methods: Vec<String>,
    /// Whether repeating a call is harmless. Absent: as RFC 9110 says of the method.
    #[serde(default)]
    pub idempotent: Option<bool>,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// First segment of callers' paths.
    pub name: name::Name,
    /// What serves it.
    pub kind: ServiceKind,
    /// Paths that it answers; any other path is refused.
    pub routes: Vec<Route>,
    /// Deadline of calls that name none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Largest body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_max_body_bytes() -> u64 {
    1 << 20
}

/// How a path and method fit a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteMatch {
    /// Declared.
    Declared {
        /// Whether repeating the call is harmless.
        idempotent: bool,
    },
    /// The path is declared, the method is not.
    WrongMethod,
    /// The path is not declared.
    NoPath,
}

impl Service {
    /// Deadline of calls that name none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Looks up `method` and `path` (below the service, without query).
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

/// Whether RFC 9110 calls `method` idempotent.
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
