//! The entry: serves callers over HTTP and operators over gRPC, and routes calls to agents.
//!
//! The control thread owns the [board](sycamorestile_core::entry_board) and publishes snapshots of it. Each call runs
//! in a task that drives one [`Call`](sycamorestile_core::call::Call) state machine: the task performs the I/O that the
//! state machine requests and reports the results.

mod agent_client;
mod call_driver;
mod caller_response;
mod config_store;
mod context;
mod control;
mod control_handle;
mod control_server;
pub mod declare_error;
mod message;
mod operator;
mod peers;
mod platform_reader;
mod server;
mod sink;
mod snapshot;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam::channel;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use sycamorestile_core::config::transaction;
use sycamorestile_core::dispatcher;
use sycamorestile_core::entry_board;
use sycamorestile_core::membership;
use sycamorestile_core::name;
use sycamorestile_platform::client;
use tokio::sync::Notify;
use tokio::time;

use crate::clock;
use crate::entry::context::EntryContext;
use crate::entry::control_handle::Control;
use crate::entry::declare_error::DeclareError;
use crate::error;
use crate::health;
use crate::http_server;
use crate::metrics;
use crate::settings::entry_settings;

/// Maximum time for which a draining entry waits until connections without a request are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which a draining entry waits until operators have the outcomes of their calls.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a draining entry keeps refusing calls, so that the platform's load balancer sees that the entry is
/// not ready before the address closes.
const DRAIN_LINGER: Duration = Duration::from_secs(1);
/// Interval at which a draining entry checks for completion.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    cx: Arc<EntryContext>,
    callers: http_server::Server,
    metrics: http_server::Server,
    operators: operator::OperatorServer,
    control: SocketAddr,
}

impl Entry {
    /// Starts an entry on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError`] if an address cannot be bound or a thread cannot be spawned.
    pub async fn start(
        settings: entry_settings::EntrySettings,
        clock: clock::Clock,
        log: Logger,
    ) -> Result<Self, error::StartError> {
        let mut rng: ChaCha8Rng = settings.seed.map_or_else(rand::make_rng, ChaCha8Rng::seed_from_u64);
        let epoch = rng.random();
        let metrics = Arc::new(metrics::Metrics::default());
        let ready = Arc::new(AtomicBool::new(false));
        let (tx, rx) = channel::bounded(control::QUEUE_CAPACITY);
        let mut board =
            entry_board::EntryBoard::new(settings.instance.clone(), settings.failure_domain.clone()).with_epoch(epoch);
        let platform = client::Client::new(settings.platform);
        let cx = Arc::new(EntryContext {
            clock,
            control: Control::new(tx),
            snapshot: Arc::default(),
            dispatcher: Mutex::new(dispatcher::Dispatcher::new(settings.failure_domain.clone())),
            rng: Mutex::new(rng),
            metrics: Arc::clone(&metrics),
            platform: platform.clone(),
            push_now: Notify::new(),
            in_flight: AtomicUsize::new(0),
            max_calls: settings.max_calls as usize,
            log,
        });
        let control = control_server::start(settings.control, Arc::clone(&cx)).await?;
        board.control = Some(control);
        control::start(rx, board, Arc::clone(&cx), Arc::clone(&ready))?;
        platform_reader::start(platform, Arc::clone(&cx))?;
        peers::start(&settings, control, Arc::clone(&cx));
        let callers = server::start(settings.callers, Arc::clone(&cx)).await?;
        let operators = operator::start(settings.operators, Arc::clone(&cx)).await?;
        let metrics = health::start(settings.metrics, ready, metrics).await?;
        info!(cx.log, "entry started"; "callers" => %callers.addr(), "operators" => %operators.addr(), "control" => %control);
        Ok(Self {
            cx,
            callers,
            metrics,
            operators,
            control,
        })
    }

    /// Returns the address that accepts calls.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address of the operator server.
    pub fn operators(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Returns the address of the control server.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the address of the health and metrics server.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics.addr()
    }

    /// Declares objects, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns a [`DeclareError`] if the change was not accepted or its outcome is unknown.
    pub async fn declare(&self, id: name::Name, edits: Vec<transaction::GuardedEdit>) -> Result<(), DeclareError> {
        operator::declare(&self.cx, id, edits)
            .await
            .map(drop)
            .map_err(DeclareError::from)
    }

    /// Returns the number of agents that are live and have applied the current revision.
    pub fn ready_agents(&self) -> usize {
        let snapshot = self.cx.snapshot();
        let now = self.cx.clock.now();
        let revision = snapshot.config.revision();
        let members = snapshot.members.members().iter();
        members
            .filter(|m| m.liveness(now) == membership::Liveness::Live && m.view.revision >= revision)
            .count()
    }

    /// Drains the entry: reports not ready, refuses new calls, completes those in flight, also those of operators, and
    /// returns when all are complete.
    pub async fn drain(&self) {
        info!(self.cx.log, "entry draining"; "in_flight" => self.cx.in_flight.load(Ordering::Acquire));
        self.cx.control.drain();
        time::sleep(DRAIN_LINGER).await;
        while self.cx.in_flight.load(Ordering::Acquire) > 0 {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        tokio::join!(
            self.callers.drain(CLOSE_TIMEOUT),
            self.operators.drain(OPERATOR_TIMEOUT)
        );
        info!(self.cx.log, "entry stopped");
    }
}
