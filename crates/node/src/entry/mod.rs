//! The entry: callers' HTTP, operators' RPCs, and the choices between them and the agents.
//!
//! The control thread owns the [board](sycamorestile_core::entry_board) and publishes snapshots of it. Each call runs
//! in a task that drives one [`Call`](sycamorestile_core::call::Call) machine: it does the sending and waiting that the
//! machine asks for and reports what happened.

mod agent_client;
mod call_driver;
mod caller_response;
mod config_store;
mod context;
mod control;
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
use crate::entry::control::Control;
use crate::entry::declare_error::DeclareError;
use crate::error;
use crate::health;
use crate::http_server;
use crate::metrics;
use crate::settings::entry_settings;

/// Time for which a leaving entry waits until connections without a call have closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a leaving entry goes on refusing, so that the platform's balancer sees that it is not ready before the
/// address is closed.
const DRAIN_LINGER: Duration = Duration::from_secs(1);
/// Interval at which a leaving entry looks whether it is done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    cx: Arc<EntryContext>,
    callers: http_server::Server,
    metrics: http_server::Server,
    operators: SocketAddr,
    control: SocketAddr,
}

impl Entry {
    /// Starts an entry on the current runtime.
    ///
    /// # Errors
    ///
    /// [`error::StartError`] when an address can't be listened on or a thread can't be started.
    pub async fn start(
        settings: entry_settings::EntrySettings,
        clock: clock::Clock,
        log: Logger,
    ) -> Result<Self, error::StartError> {
        let mut rng: ChaCha8Rng = settings.seed.map_or_else(rand::make_rng, ChaCha8Rng::seed_from_u64);
        let epoch = rng.random();
        let metrics = Arc::new(metrics::Metrics::default());
        let ready = Arc::new(AtomicBool::new(false));
        let (tx, rx) = channel::bounded(control::QUEUE);
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
        info!(cx.log, "entry started"; "callers" => %callers.addr(), "operators" => %operators, "control" => %control);
        Ok(Self {
            cx,
            callers,
            metrics,
            operators,
            control,
        })
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for control.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address for health and metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics.addr()
    }

    /// Declares objects as an operator would.
    ///
    /// # Errors
    ///
    /// A [`DeclareError`] when the change is not known to be accepted.
    pub async fn declare(&self, id: name::Name, edits: Vec<transaction::GuardedEdit>) -> Result<(), DeclareError> {
        operator::declare(&self.cx, id, edits)
            .await
            .map(drop)
            .map_err(DeclareError::from)
    }

    /// Number of agents that are heard of, in service and at the revision in force.
    pub fn ready_agents(&self) -> usize {
        let snapshot = self.cx.snapshot();
        let now = self.cx.clock.now();
        let revision = snapshot.config.revision();
        let members = snapshot.members.members().iter();
        members
            .filter(|m| m.liveness(now) == membership::Liveness::Live && m.view.revision >= revision)
            .count()
    }

    /// Leaves: fails readiness, refuses new calls, finishes those in flight, and returns when nothing is left.
    pub async fn drain(&self) {
        info!(self.cx.log, "entry leaving"; "in_flight" => self.cx.in_flight.load(Ordering::Acquire));
        self.cx.control.drain();
        time::sleep(DRAIN_LINGER).await;
        while self.cx.in_flight.load(Ordering::Acquire) > 0 {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.callers.drain(CLOSE_TIMEOUT).await;
        info!(self.cx.log, "entry left");
    }
}
