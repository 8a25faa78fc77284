//! Helpers shared by the commands: the async runtime, shutdown signals and JSON output lines.

use std::io::{self, Write};

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

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

/// The signals that ask a daemon to stop: SIGTERM and SIGINT.
///
/// They are handled from [`StopSignals::install`] on. A daemon installs them before it accepts connections, since a signal
/// without a handler would cut them off.
pub(crate) struct StopSignals {
    term: Signal,
    interrupt: Signal,
}

impl StopSignals {
    pub(crate) fn install() -> Result<Self, commands::CommandError> {
        let install = |kind| signal(kind).map_err(|e| commands::CommandError::failure(DaemonError::Signals(e)));
        Ok(Self {
            term: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals, also for one that came before.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
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
