//! The `sycamorestile entry` command.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;
use sycamorestile_node::clock;
use sycamorestile_node::entry;
use sycamorestile_node::settings::entry_settings;
use sycamorestile_node::settings::load;

use crate::commands::{self, daemon};
use crate::logging;

/// Options of `sycamorestile entry`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    #[bpaf(external(logging::options))]
    log: logging::LogOptions,
    /// Settings file in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

/// Addresses printed as one JSON line once the entry accepts connections.
#[derive(Debug, Serialize)]
struct ReadyLine {
    callers: SocketAddr,
    operators: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
}

pub(crate) fn run(options: &Options, log: &logging::LogOptions) -> Result<(), commands::CommandError> {
    let settings = load::load(&options.settings, entry_settings::EntrySettings::validate)
        .map_err(commands::CommandError::usage)?;
    let logger = options.log.or(log).logger();
    daemon::build_runtime()?.block_on(async {
        let mut signals = daemon::StopSignals::install()?;
        let started = entry::Entry::start(settings, clock::Clock::start(), logger).await;
        let entry = started.map_err(commands::CommandError::failure)?;
        daemon::print_line(&ReadyLine {
            callers: entry.callers(),
            operators: entry.operators(),
            control: entry.control(),
            metrics: entry.metrics(),
        })?;
        signals.wait().await;
        entry.drain().await;
        Ok(())
    })
}
