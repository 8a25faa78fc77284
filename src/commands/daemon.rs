//! Helpers shared by the commands: the async runtime, shutdown signals and JSON output lines.

use std::io::{self, Write};

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

use crate::commands;

/// Worker threads that carry traffic. The control plane runs on a thread of its own.
const TRAFFIC_THREADS: usize = 2;

/// An error of the process environment.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum DaemonError {
    /// The async runtime could not be started.
    #[error("failed to start the traffic threads")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("failed to install the signal handlers")]
    Signals(#[source] io::Error),
    /// A line could not be written to standard output.
    #[error("failed to write to standard output")]
    Output(#[source] io::Error),
}

/// Builds the async runtime that carries traffic.
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
