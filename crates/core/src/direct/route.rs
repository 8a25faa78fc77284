//! One route of the declarations in force.

use std::sync::Arc;
use std::time::Duration;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether another endpoint can continue the stream after the last event that was delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share, relative to the route's other targets.
    pub weight: u32,
}

/// How requests of one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host without a port, in lower case.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Never empty.
    pub targets: Vec<Target>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Endpoints to which one request may be sent, at least 1.
    pub max_attempts: u32,
    /// Zero is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// The target that `chance`, between 0 and 1, falls on, among targets that `usable` accepts.
    pub fn target<F>(&self, chance: f64, usable: F) -> Option<&Target>
    where
        F: Fn(&str) -> bool,
    {
        let candidates: Vec<&Target> = self.targets.iter().filter(|t| usable(&t.service)).collect();
        let total: u32 = candidates.iter().map(|t| t.weight).sum();
        let mut point = chance.clamp(0.0, 1.0) * f64::from(total);
        let chosen = candidates.iter().find(|t| {
            point -= f64::from(t.weight);
            point < 0.0
        });
        chosen.or(candidates.last()).copied()
    }
}
