//! A route of the declarations in force.

use std::sync::Arc;
use std::time::Duration;

/// How often requests of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests, which may run more than once.
    Safe,
    /// Requests that may run at most once.
    Unsafe,
    /// Requests whose response is a stream of events.
    Stream {
        /// Whether another endpoint can continue the stream after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Times within which a streamed response is on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamObjectives {
    /// Longest time from the caller's request to the first event.
    pub first_event: Duration,
    /// Longest pause between two events.
    pub pause: Duration,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other targets, which isn't negative.
    pub weight: f64,
}

/// Declares how requests with one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, used in logs.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often requests may run.
    pub kind: RouteKind,
    /// Services that serve the route; never empty.
    pub targets: Vec<Target>,
    /// Longest time that a caller waits for its response.
    pub timeout: Duration,
    /// Number of endpoints to which one request may be sent; at least 1.
    pub max_attempts: u32,
    /// Priority of requests; 0 is the most urgent.
    pub priority: u64,
    /// The latency objectives of streamed responses, if they are declared.
    pub objectives: Option<StreamObjectives>,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
}

/// The least time for which callers wait for an event of a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// How many times the objective of the first event callers wait for it.
const FIRST_EVENT_PATIENCE: u32 = 4;
/// How many times the objective of a pause callers wait for the next event.
const PAUSE_PATIENCE: u32 = 8;

impl Route {
    /// Returns how long callers wait for an event of a stream before they leave.
    pub fn patience(&self) -> Duration {
        let wanted = self.objectives.map_or(Duration::ZERO, |objectives| {
            let first_event = objectives.first_event.saturating_mul(FIRST_EVENT_PATIENCE);
            first_event.max(objectives.pause.saturating_mul(PAUSE_PATIENCE))
        });
        wanted.max(MIN_PATIENCE)
    }

    /// Chooses a target by weight among those for which `usable` returns `true`. `chance` is a random number between 0
    /// and 1.
    pub fn target<F>(&self, chance: f64, usable: F) -> Option<&Target>
    where
        F: Fn(&str) -> bool,
    {
        let candidates: Vec<&Target> = self.targets.iter().filter(|t| usable(&t.service)).collect();
        let total: f64 = candidates.iter().map(|t| t.weight).sum();
        let mut point = chance.clamp(0.0, 1.0) * total;
        let chosen = candidates.iter().find(|t| {
            point -= t.weight;
            point < 0.0
        });
        chosen.or(candidates.last()).copied()
    }
}
