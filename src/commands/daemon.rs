//! What the daemons' commands share: runtime, signals, the ready line.

use std::io::{self, Write};

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

use crate::commands;

/// Threads for traffic. Control has a thread of its own.
const TRAFFIC_THREADS: usize = 2;

/// Why a daemon could not be run.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum DaemonError {
    /// The traffic threads can't be started.
    #[error("the traffic threads can't be started")]
    Runtime(#[source] io::Error),
    /// Signals can't be waited for.
    #[error("signals can't be waited for")]
    Signals(#[source] io::Error),
    /// The ready line can't be written.
    #[error("the ready line can't be written to standard output")]
    Output(#[source] io::Error),
}

/// The runtime of traffic.
pub(crate) fn build_runtime() -> Result<Runtime, commands::CommandError> {
    let mut builder = Builder::new_multi_thread();
    let built = builder.worker_threads(TRAFFIC_THREADS).enable_all().build();
    built.map_err(|e| commands::CommandError::failure(DaemonError::Runtime(e)))
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn shutdown_signal() -> Result<(), commands::CommandError> {
    let failed = |e| commands::CommandError::failure(DaemonError::Signals(e));
    let mut term = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Prints one JSON line to standard output.
pub(crate) fn print_line<T>(value: &T) -> Result<(), commands::CommandError>
where
    T: Serialize,
{
    let line =
        serde_json::to_string(value).map_err(|e| commands::CommandError::failure(DaemonError::Output(e.into())))?;
    let mut out = io::stdout().lock();
    let written = writeln!(out, "{line}").and_then(|()| out.flush());
    written.map_err(|e| commands::CommandError::failure(DaemonError::Output(e)))
}
