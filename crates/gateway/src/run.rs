//! Startup, shutdown and the traffic thread of a gateway.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use sycamorestile_connection::owed_counts;
use sycamorestile_core::direct::{drain, outage, pacing, placement, restrictions, retry_share};
use sycamorestile_core::time::Time;
use sycamorestile_table::{adapter, boot_clock};
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time;

use crate::context;
use crate::control;
use crate::error;
use crate::fact_exchange;
use crate::handle;
use crate::header_adapter;
use crate::metrics;
use crate::peers;
use crate::pool;
use crate::server;
use crate::service_map;
use crate::settings;

/// The interval at which a gateway that stops checks what its callers are owed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a gateway with the platform's `header_adapter` and `adapter`.
///
/// The gateway drains on SIGTERM or SIGINT, and the function returns when all its connections to callers are closed or the
/// grace period is over.
///
/// # Errors
///
/// Returns [`error::GatewayError`] if the gateway can't listen on an address, start a thread or handle signals.
pub fn run(
    settings: settings::Settings,
    header_adapter: header_adapter::HeaderAdapter,
    adapter: adapter::TableAdapter,
    log: Logger,
) -> Result<(), error::GatewayError> {
    let failed = |source| error::GatewayError::Thread {
        what: "traffic",
        source,
    };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let control = control::start(settings.clone(), adapter, log.clone())?;
    LocalSet::new().block_on(&runtime, traffic(settings, header_adapter, control, log))
}

/// Runs the traffic thread until the gateway has drained.
async fn traffic(
    settings: settings::Settings,
    header_adapter: header_adapter::HeaderAdapter,
    control: control::Control,
    log: Logger,
) -> Result<(), error::GatewayError> {
    // Before any connection can be accepted, since a signal without a handler would cut it off.
    let signals = StopSignals::new()?;
    let callers = server::bind("callers", settings.callers)?;
    let monitoring_listener = server::bind("monitoring", settings.monitoring)?;
    let (phase_tx, stop_phase) = watch::channel(drain::StopPhase::Running);
    let peers_addr = settings.peers;
    let (retry_limit, started) = (settings.retry_limit, boot_clock::now());
    let instance = Arc::clone(&settings.instance);
    let cx = Rc::new(context::GatewayContext {
        settings,
        started,
        header_adapter,
        snapshots: control.snapshots,
        own_row_written: control.own_row_written,
        placement: RefCell::new(placement::Placement::default()),
        restrictions: RefCell::new(restrictions::Restrictions::new(instance)),
        retry_shares: service_map::ServiceMap::new(move || retry_share::RetryShare::new(retry_limit, started)),
        outages: service_map::ServiceMap::new(outage::OutageDetector::default),
        pacings: service_map::ServiceMap::new(pacing::Pacing::default),
        crashes: RefCell::default(),
        broken_responses: RefCell::default(),
        fact_news: Notify::new(),
        pool: pool::Pool::default(),
        rng: RefCell::new(rand::make_rng::<ChaCha8Rng>()),
        metrics: metrics::Metrics::new(),
        response_account: Rc::default(),
        request_body_bytes: Rc::default(),
        owed: owed_counts::OwedCounts::default(),
        stop_phase,
        stop_requested: Cell::new(None),
        log,
    });
    let bind = |source| error::GatewayError::Bind {
        what: "peers",
        addr: peers_addr,
        source,
    };
    let socket = Rc::new(UdpSocket::bind(peers_addr).await.map_err(bind)?);
    tokio::task::spawn_local(peers::run(
        Rc::clone(&cx),
        Rc::clone(&socket),
        control.peer_reads,
        control.read_news,
    ));
    tokio::task::spawn_local(fact_exchange::run(Rc::clone(&cx), socket, control.fact_rows));
    let accepting = tokio::task::spawn_local(server::accept(Rc::clone(&cx), cx.owed.clone(), callers, handle::handle));
    tokio::task::spawn_local(server::accept(
        Rc::clone(&cx),
        owed_counts::OwedCounts::default(),
        monitoring_listener,
        handle::handle_monitoring,
    ));
    info!(cx.log, "gateway started"; "instance" => cx.settings.instance.as_ref(),
        "failure_domain" => cx.settings.failure_domain.as_ref(), "callers" => %cx.settings.callers,
        "table" => %cx.settings.table, "is_system_start" => cx.settings.is_system_start);
    signals.wait(&cx.log).await;
    stop(&cx, &phase_tx, accepting).await;
    let owed = cx.owed.owed();
    info!(cx.log, "gateway stopped"; "in_flight" => owed.requests, "open" => owed.connections, "heads" => owed.heads);
    Ok(())
}

/// The signals that a gateway handles. Their handlers stay installed until the process exits.
struct StopSignals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, error::GatewayError> {
        let install = |kind| signal(kind).map_err(error::GatewayError::Signals);
        Ok(Self {
            term: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop.
    async fn wait(mut self, log: &Logger) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => warn!(log, "ignored SIGHUP; changed settings take effect at the next start"),
            }
        }
    }
}

/// Passes through the phases of a stop, and returns when nothing is owed any more or the process is about to be killed.
async fn stop(cx: &context::GatewayContext, phase_tx: &watch::Sender<drain::StopPhase>, accepting: JoinHandle<()>) {
    let requested = boot_clock::now();
    cx.stop_requested.set(Some(requested));
    let mut accepting = Some(accepting);
    let mut phase = drain::StopPhase::Accepting;
    while phase != drain::StopPhase::Over {
        phase_tx.send_replace(phase);
        let owed = cx.owed.owed();
        info!(cx.log, "gateway draining"; "phase" => format!("{phase:?}"), "in_flight" => owed.requests,
            "open" => owed.connections, "heads" => owed.heads);
        if phase == drain::StopPhase::Finishing
            && let Some(accepting) = accepting.take()
        {
            // The connections that waited for it are open afterwards. The task only ends early if it panics, in which case
            // there is nothing to wait for.
            let _accepted = accepting.await;
        }
        phase = next_phase(cx, phase, requested).await;
    }
}

/// Waits until `phase` is over, and returns the next one.
async fn next_phase(cx: &context::GatewayContext, phase: drain::StopPhase, requested: Time) -> drain::StopPhase {
    loop {
        let since = boot_clock::now().since(requested);
        let next = drain::next_phase(phase, since, cx.settings.stop_grace, cx.owed.owed());
        if next != phase {
            return next;
        }
        time::sleep(STOP_POLL_INTERVAL).await;
    }
}
