//! Context shared by the entry's tasks.

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::sync::ShardedLock;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use sycamorestile_core::attempt_id;
use sycamorestile_core::direct::crash_facts;
use sycamorestile_core::dispatcher;
use sycamorestile_platform::client;
use tokio::sync::Notify;

use crate::clock;
use crate::entry::control_handle;
use crate::entry::snapshot;
use crate::metrics;

/// Context shared by the tasks of one entry.
#[derive(Debug)]
pub(crate) struct EntryContext {
    pub(crate) clock: clock::Clock,
    pub(crate) control: control_handle::Control,
    /// Latest snapshot, published by the control thread.
    pub(crate) snapshot: Arc<ShardedLock<Arc<snapshot::Snapshot>>>,
    /// Locked only for single decisions and never across an await point.
    pub(crate) dispatcher: Mutex<dispatcher::Dispatcher>,
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) metrics: Arc<metrics::Metrics>,
    pub(crate) platform: client::Client,
    /// Wakes the gossip task when peers lack changes.
    pub(crate) push_now: Notify,
    /// Number of calls whose response is not complete.
    pub(crate) in_flight: AtomicUsize,
    /// Maximum number of calls in flight.
    pub(crate) max_calls: usize,
    pub(crate) log: Logger,
}

impl EntryContext {
    /// Returns the latest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn publish(&self, snapshot: snapshot::Snapshot) {
        *self.snapshot.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, dispatcher::Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this entry knows of crashes of endpoints.
    pub(crate) fn crash_facts(&self) -> crash_facts::CrashFacts {
        self.dispatcher().crashes.facts(self.clock.now())
    }

    /// Merges what another entry knows of crashes of endpoints.
    pub(crate) fn merge_crashes(&self, facts: &crash_facts::CrashFacts) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher();
        dispatcher.crashes.refresh(now);
        if dispatcher.crashes.merge(facts, Duration::ZERO, now).learned {
            info!(self.log, "learned of crashed endpoints from a peer"; "crashes" => facts.crashes.len());
        }
    }

    pub(crate) fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn new_attempt(&self) -> attempt_id::AttemptId {
        attempt_id::AttemptId::new(self.rng().random())
    }
}
