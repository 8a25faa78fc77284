//! What the agent's tasks share.

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

/// Shared by the tasks of one agent.
#[derive(Debug)]
pub(crate) struct AgentContext {
    pub(crate) endpoint: name::Name,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) clock: clock::Clock,
    pub(crate) control: control::Control,
    pub(crate) claims: claims::Claims,
    pub(crate) registry: registry::Registry,
    /// Published by the control thread.
    pub(crate) load: Arc<ShardedLock<load::Load>>,
    pub(crate) metrics: Arc<metrics::Metrics>,
    /// When an entry last answered the agent's heartbeat, in microseconds of the clock; zero before any.
    pub(crate) last_reply: AtomicU64,
    /// Wakes the announcing tasks before their time.
    pub(crate) announce_now: Arc<Notify>,
    pub(crate) log: Logger,
}

impl AgentContext {
    /// The load that the control thread published last.
    pub(crate) fn load(&self) -> load::Load {
        *self.load.read().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
