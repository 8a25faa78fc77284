//! Startup, shutdown and the traffic thread of a gateway.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use sycamorestile_core::direct::{drain, outage, pacing, placement, restrictions, retry_share};
use sycamorestile_table::{adapter, boot_clock};
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time;

use crate::context;
use crate::control;
use crate::error;
use crate::fact_exchange;
use crate::handle;
use crate::header_adapter;
use crate::metrics;
use crate::owed_counts;
use crate::peers;
use crate::pool;
use crate::server;
use crate::service_map;
use crate::settings;

/// The time for which a draining gateway still accepts connections. The platform's balancer checks readiness once a
/// second and stops sending new connections after two failed checks.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2_600);
/// How long a gateway that accepts no more connections waits for requests on those that are open.
const FINISH_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which a draining gateway checks whether all requests are complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The same interval while the last connections are served.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a gateway with the platform's `header_adapter` and `adapter`.
///
/// The gateway drains on SIGTERM or SIGINT, and the function returns when no request is in flight or the grace period
/// is over.
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
    let callers = server::bind("callers", settings.callers)?;
    let monitoring_listener = server::bind("monitoring", settings.monitoring)?;
    let (drain_tx, draining) = watch::channel(false);
    let peers_addr = settings.peers;
    let (retry_limit, started) = (settings.retry_limit, boot_clock::now());
    let instance = Arc::clone(&settings.instance);
    let cx = Rc::new(context::GatewayContext {
        settings,
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
        buffered_bytes: Rc::default(),
        request_body_bytes: Rc::default(),
        owed: owed_counts::OwedCounts::default(),
        draining,
        drain_started: Cell::new(None),
        log,
    });
    let bind = |source| error::GatewayError::Bind {
        what: "peers",
        addr: peers_addr,
        source,
    };
    let socket = Rc::new(UdpSocket::bind(peers_addr).await.map_err(bind)?);
    tokio::task::spawn_local(peers::run(Rc::clone(&cx), Rc::clone(&socket), control.peer_reads));
    tokio::task::spawn_local(fact_exchange::run(Rc::clone(&cx), socket, control.fact_rows));
    let (close_tx, close_rx) = oneshot::channel::<()>();
    let closing = async move {
        // A dropped sender means that the process is exiting, which is treated the same.
        let _closing = close_rx.await;
    };
    let accepting = tokio::task::spawn_local(server::accept(
        Rc::clone(&cx),
        cx.owed.clone(),
        callers,
        handle::handle,
        closing,
    ));
    tokio::task::spawn_local(server::accept(
        Rc::clone(&cx),
        owed_counts::OwedCounts::default(),
        monitoring_listener,
        handle::handle_monitoring,
        std::future::pending(),
    ));
    info!(cx.log, "gateway started"; "instance" => cx.settings.instance.as_ref(),
        "failure_domain" => cx.settings.failure_domain.as_ref(), "callers" => %cx.settings.callers,
        "table" => %cx.settings.table, "is_system_start" => cx.settings.is_system_start);
    wait_for_stop(&cx).await?;
    cx.drain_started.set(Some(boot_clock::now()));
    drain_tx.send_replace(true);
    drain(&cx).await;
    drop(close_tx);
    finish_connections(&cx, accepting).await;
    info!(cx.log, "gateway stopped"; "in_flight" => cx.owed.requests(),
        "open" => cx.owed.connections(), "heads" => cx.owed.heads(), "unwritten" => cx.owed.unwritten());
    Ok(())
}

/// Waits for a signal to stop.
async fn wait_for_stop(cx: &context::GatewayContext) -> Result<(), error::GatewayError> {
    let failed = error::GatewayError::Signals;
    let mut term = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(failed)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => warn!(cx.log, "ignored SIGHUP; changed settings take effect at the next start"),
        }
    }
}

/// Serves until the platform's balancer sends no more connections and no request is in flight, but no longer than the
/// grace period allows.
async fn drain(cx: &context::GatewayContext) {
    info!(cx.log, "gateway draining"; "in_flight" => cx.owed.requests(),
        "open" => cx.owed.connections(), "heads" => cx.owed.heads(), "unwritten" => cx.owed.unwritten());
    let end = time::Instant::now() + cx.settings.stop_grace.saturating_sub(drain::CLOSE_MARGIN);
    time::sleep(ACCEPT_WHILE_DRAINING).await;
    while cx.owed.requests() > 0 && time::Instant::now() < end {
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Serves the requests on connections that were accepted before the listener was closed. A connection without a request
/// is closed after a moment.
async fn finish_connections(cx: &context::GatewayContext, accepting: JoinHandle<()>) {
    // The task only ends early if it panics, in which case there is nothing to wait for.
    let _accepted = accepting.await;
    let end = time::Instant::now() + FINISH_TIMEOUT;
    while cx.owed.connections() > 0 && time::Instant::now() < end {
        time::sleep(FINISH_POLL_INTERVAL).await;
    }
}
