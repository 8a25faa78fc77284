//! The `sycamorestile standin` command.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use serde::Serialize;
use sycamorestile_standins::engine;
use sycamorestile_standins::ledger;
use sycamorestile_standins::platform;

use crate::commands::{self, daemon};

/// Options of `sycamorestile standin`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) enum Options {
    /// Run the platform's table, object store, instance list and weight store
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("ADDR"))]
        addr: SocketAddr,
    },
    /// Run the ranks of one model group
    #[bpaf(command)]
    Engine {
        /// Address of the first rank; the others use the following ports
        #[bpaf(argument("ADDR"))]
        addr: SocketAddr,
        /// Number of ranks
        #[bpaf(argument("N"), fallback(4))]
        ranks: u32,
        /// Maximum number of sequences in a rank's batch
        #[bpaf(argument("N"), fallback(16))]
        slots: usize,
        /// Duration of a step with empty batches, in microseconds
        #[bpaf(long("step-us"), argument("US"), fallback(5_000))]
        step_us: u64,
        /// Step time added by each sequence in the fullest batch, in microseconds
        #[bpaf(long("step-per-answer-us"), argument("US"), fallback(100))]
        step_per_answer_us: u64,
    },
    /// Run the replicas of a plain booking service
    #[bpaf(command)]
    Ledger {
        /// Address of the first replica; the others use the following ports
        #[bpaf(argument("ADDR"))]
        addr: SocketAddr,
        /// Number of replicas
        #[bpaf(argument("N"), fallback(3))]
        replicas: u32,
    },
}

/// Addresses printed as one JSON line once the stand-in accepts connections.
#[derive(Debug, Serialize)]
struct ReadyLine {
    addrs: Vec<SocketAddr>,
}

pub(crate) fn run(options: &Options) -> Result<(), commands::CommandError> {
    daemon::build_runtime()?.block_on(async {
        let signals = daemon::StopSignals::install()?;
        match options {
            Options::Platform { addr } => {
                let platform = platform::Platform::start(*addr)
                    .await
                    .map_err(commands::CommandError::failure)?;
                serve(vec![platform.addr()], signals).await
            }
            Options::Engine {
                addr,
                ranks,
                slots,
                step_us,
                step_per_answer_us,
            } => {
                let started = engine::Engine::start(engine::EngineOptions {
                    first_addr: *addr,
                    ranks: *ranks,
                    slots: *slots,
                    step_time: Duration::from_micros(*step_us),
                    step_time_per_sequence: Duration::from_micros(*step_per_answer_us),
                });
                let engine = started.await.map_err(commands::CommandError::failure)?;
                serve(engine.addrs(), signals).await
            }
            Options::Ledger { addr, replicas } => {
                let ledger = ledger::Ledger::start(*addr, *replicas)
                    .await
                    .map_err(commands::CommandError::failure)?;
                serve(ledger.addrs(), signals).await
            }
        }
    })
}

async fn serve(addrs: Vec<SocketAddr>, mut signals: daemon::StopSignals) -> Result<(), commands::CommandError> {
    daemon::print_line(&ReadyLine { addrs })?;
    signals.wait().await;
    Ok(())
}
