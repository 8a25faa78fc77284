//! The agent: the only way to its endpoint.
//!
//! Its control thread owns the [attempt queue](sycamorestile_core::attempt_queue) and with it the truth about what
//! began here. Each attempt runs in a task that asks the queue, settles the claim if there is a key, calls the endpoint
//! and appends the answer to a frame log. Readers follow that log from any frame, so an entry whose connection went
//! silent resumes over a new one and loses nothing.

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

/// Time for which a leaving agent waits until the answers of keyed calls are recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a leaving agent waits until ended answers are fetched.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a leaving agent goes on refusing, so that every entry hears of it before the address is closed. Longer
/// than the announcing interval with one time-out.
const DRAIN_LINGER: Duration = Duration::from_millis(1_200);
/// Interval at which a leaving agent looks whether it is done.
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
    /// [`error::StartError`] when an address can't be listened on or a thread can't be started.
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
        let (tx, rx) = channel::bounded(control::QUEUE);
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

    /// Address for attempts.
    pub fn calls(&self) -> SocketAddr {
        self.calls.addr()
    }

    /// Address for control.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address for health and metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics.addr()
    }

    /// Leaves: refuses what has not begun, finishes what has, and returns when nothing is left.
    pub async fn drain(&self) {
        info!(self.cx.log, "agent leaving");
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
        // While the table is out answers can't be recorded; a repeated key then ends unknown, which is true.
        let _recorded_in_time = time::timeout(RECORD_TIMEOUT, recorded).await;
        let fetched = async {
            while !self.cx.registry.all_fetched() {
                time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // An answer that nobody fetches in this time has lost its entry; the entry's caller is told so there.
        let _fetched_in_time = time::timeout(FETCH_TIMEOUT, fetched).await;
        self.calls.drain(FETCH_TIMEOUT).await;
        info!(self.cx.log, "agent left");
    }
}
