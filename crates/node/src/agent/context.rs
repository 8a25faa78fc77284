//! Context shared by the agent's tasks.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crossbeam::sync::ShardedLock;
use slog::Logger;
use sycamorestile_core::incarnation;
use sycamorestile_core::load;
use sycamorestile_core::name;
use tokio::sync::Notify;

use crate::agent::claims;
use crate::agent::control;
use crate::agent::registry;
use crate::clock;
use crate::metrics;

/// Context shared by the tasks of one agent.
#[derive(Debug)]
pub(crate) struct AgentContext {
    pub(crate) endpoint: name::Name,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) clock: clock::Clock,
    pub(crate) control: control::Control,
    pub(crate) claims: claims::Claims,
    pub(crate) registry: registry::Registry,
    /// Current load, published by the control thread.
    pub(crate) load: Arc<ShardedLock<load::Load>>,
    pub(crate) metrics: Arc<metrics::Metrics>,
    /// Time of the last reply to a heartbeat, in microseconds of `clock`; zero before the first reply.
    pub(crate) last_reply: AtomicU64,
    /// Wakes the heartbeat task before its interval has elapsed.
    pub(crate) announce_now: Arc<Notify>,
    pub(crate) log: Logger,
}

impl AgentContext {
    /// Returns the load that the control thread last published.
    pub(crate) fn load(&self) -> load::Load {
        *self.load.read().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
