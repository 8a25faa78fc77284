//! The agent: a proxy through which all traffic reaches its endpoint.
//!
//! The control thread owns the [attempt queue](sycamorestile_core::attempt_queue), which is the authority on which
//! attempts have begun. Each attempt runs in a task that waits for a slot, acquires the claim if the call has a key,
//! calls the endpoint and appends the response to a frame log. Readers can follow that log from any frame, so an entry
//! whose connection stalled resumes over a new one without losing frames.

mod announce;
mod attempt;
mod board;
mod claims;
mod context;
mod control;
mod control_server;
mod endpoint_call;
mod frame_log;
mod message;
mod registry;
mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use crossbeam::channel;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use sycamorestile_core::incarnation;
use sycamorestile_platform::client;
use tokio::sync::Notify;
use tokio::time;

use crate::agent::context::AgentContext;
use crate::agent::control::Control;
use crate::clock;
use crate::error;
use crate::health;
use crate::http_server;
use crate::metrics;
use crate::settings::agent_settings;

/// Maximum time for which a draining agent waits until the responses of calls with a key are stored.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which a draining agent waits until complete responses are fetched.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a draining agent keeps refusing attempts, so that every entry learns of the drain before the address
/// closes. Longer than the heartbeat interval plus one timeout.
const DRAIN_LINGER: Duration = Duration::from_millis(1_200);
/// Interval at which a draining agent checks for completion.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    cx: Arc<AgentContext>,
    calls: http_server::Server,
    metrics: http_server::Server,
    control: SocketAddr,
}

impl Agent {
    /// Starts an agent on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError`] if an address cannot be bound or a thread cannot be spawned.
    pub async fn start(
        settings: agent_settings::AgentSettings,
        clock: clock::Clock,
        log: Logger,
    ) -> Result<Self, error::StartError> {
        let mut rng = settings.seed.map_or_else(rand::make_rng, ChaCha8Rng::seed_from_u64);
        let incarnation = incarnation::Incarnation::new(rng.random());
        let metrics = Arc::new(metrics::Metrics::default());
        let ready = Arc::new(AtomicBool::new(false));
        let announce_now = Arc::new(Notify::new());
        let (tx, rx) = channel::bounded(control::QUEUE_CAPACITY);
        let control = Control::new(tx);
        let claims = claims::Claims::start(
            client::Client::new(settings.platform),
            clock,
            Arc::clone(&metrics),
            &log,
        )?;
        let load = control::start(rx, &settings, incarnation, clock, Arc::clone(&ready), log.clone())?;
        let cx = Arc::new(AgentContext {
            endpoint: settings.endpoint.clone(),
            incarnation,
            clock,
            control,
            claims,
            registry: registry::Registry::default(),
            load,
            metrics: Arc::clone(&metrics),
            last_reply: AtomicU64::new(0),
            announce_now,
            log,
        });
        let calls = server::start(settings.calls, Arc::clone(&cx)).await?;
        let control = control_server::start(settings.control, Arc::clone(&cx)).await?;
        let metrics = health::start(settings.metrics, ready, metrics).await?;
        let announced_calls = settings.announced_calls.unwrap_or(calls.addr());
        cx.control
            .set_addresses(announced_calls, settings.announced_control.unwrap_or(control));
        announce::start(&settings, Arc::clone(&cx));
        info!(cx.log, "agent started"; "calls" => %calls.addr(), "control" => %control, "incarnation" => %incarnation);
        Ok(Self {
            cx,
            calls,
            metrics,
            control,
        })
    }

    /// Returns the address that accepts attempts.
    pub fn calls(&self) -> SocketAddr {
        self.calls.addr()
    }

    /// Returns the address of the control server.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the address of the health and metrics server.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics.addr()
    }

    /// Drains the agent: refuses attempts that have not begun, completes the others and returns when all are complete.
    pub async fn drain(&self) {
        info!(self.cx.log, "agent draining");
        self.cx.control.drain();
        self.cx.announce_now.notify_waiters();
        time::sleep(DRAIN_LINGER).await;
        while self.cx.control.in_flight().await > 0 {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let recorded = async {
            while !self.cx.claims.is_idle() {
                time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Responses cannot be stored while the table is unavailable. A repeated key then results in outcome unknown,
        // which is correct.
        let _recorded_in_time = time::timeout(RECORD_TIMEOUT, recorded).await;
        let fetched = async {
            while !self.cx.registry.all_fetched() {
                time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // If a response is not fetched in time, its entry is gone, and that entry reports the failure to its caller.
        let _fetched_in_time = time::timeout(FETCH_TIMEOUT, fetched).await;
        self.calls.drain(FETCH_TIMEOUT).await;
        info!(self.cx.log, "agent stopped");
    }
}
