//! The `sycamorestile agent` command.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;
use sycamorestile_node::agent;
use sycamorestile_node::clock;
use sycamorestile_node::settings::agent_settings;
use sycamorestile_node::settings::load;

use crate::commands::{self, daemon};
use crate::logging;

/// Options of `sycamorestile agent`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    #[bpaf(external(logging::options))]
    log: logging::LogOptions,
    /// Settings file in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

/// Addresses printed as one JSON line once the agent accepts connections.
#[derive(Debug, Serialize)]
struct ReadyLine {
    calls: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
}

pub(crate) fn run(options: &Options, log: &logging::LogOptions) -> Result<(), commands::CommandError> {
    let settings = load::load(&options.settings, agent_settings::AgentSettings::validate)
        .map_err(commands::CommandError::usage)?;
    let logger = options.log.or(log).logger();
    daemon::build_runtime()?.block_on(async {
        let mut signals = daemon::StopSignals::install()?;
        let started = agent::Agent::start(settings, clock::Clock::start(), logger).await;
        let agent = started.map_err(commands::CommandError::failure)?;
        daemon::print_line(&ReadyLine {
            calls: agent.calls(),
            control: agent.control(),
            metrics: agent.metrics(),
        })?;
        signals.wait().await;
        agent.drain().await;
        Ok(())
    })
}
