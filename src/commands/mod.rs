//! Subcommands, one module each.

mod agent;
mod check;
mod daemon;
mod entry;
mod operator;
mod plan;
mod standalone;
mod standin;
mod summary;

use std::process::ExitCode;

use bpaf::Bpaf;
use miette::Report;

use crate::exit;
use crate::logging;

/// A parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Invocation {
    pub(crate) log: logging::LogOptions,
    pub(crate) command: Command,
}

/// Subcommands of `sycamorestile`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub(crate) enum Command {
    /// Run an entry, which serves callers over HTTP and operators over gRPC
    #[bpaf(command)]
    Entry(#[bpaf(external(entry::options))] entry::Options),
    /// Run an agent, the only client of the endpoint beside it
    #[bpaf(command)]
    Agent(#[bpaf(external(agent::options))] agent::Options),
    /// Run an entry, agents and stand-ins in one process
    #[bpaf(command)]
    Standalone(#[bpaf(external(standalone::options))] standalone::Options),
    /// Call the operators' API of a running entry
    #[bpaf(command)]
    Operator(#[bpaf(external(operator::options))] operator::Options),
    /// Validate a settings or declarations file
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Replay a recorded expert load through the planner and the baseline planners
    #[bpaf(command)]
    Plan(#[bpaf(external(plan::options))] plan::Options),
    /// Run a stand-in for the platform, a model engine or a plain service
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::options))] standin::Options),
    /// Count how the requests in the logs of gateways ended, and which streams were late
    #[bpaf(command)]
    Summary(#[bpaf(external(summary::options))] summary::Options),
}

/// A failed command, by the exit code that it causes.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line or an input file is invalid.
    Usage(Report),
    /// The command failed while it ran.
    Failure(Report),
}

impl CommandError {
    /// Wraps an error of the command line or an input file.
    pub(crate) fn usage(error: impl Into<Report>) -> Self {
        Self::Usage(error.into())
    }

    /// Wraps an error that occurred while the command ran.
    pub(crate) fn failure(error: impl Into<Report>) -> Self {
        Self::Failure(error.into())
    }
}

/// Runs a command, prints its error if it fails and returns its exit code.
pub(crate) fn run(invocation: Invocation) -> ExitCode {
    let log = invocation.log;
    let result = match invocation.command {
        Command::Entry(options) => entry::run(&options, &log),
        Command::Agent(options) => agent::run(&options, &log),
        Command::Standalone(options) => standalone::run(&options, &log),
        Command::Operator(options) => operator::run(options),
        Command::Check(options) => check::run(&options),
        Command::Plan(options) => plan::run(&options),
        Command::Standin(options) => standin::run(&options),
        Command::Summary(options) => summary::run(&options),
    };
    let (report, code) = match result {
        Ok(()) => return ExitCode::from(exit::SUCCESS),
        Err(CommandError::Usage(report)) => (report, exit::USAGE),
        Err(CommandError::Failure(report)) => (report, exit::FAILURE),
    };
    eprintln!("{report:?}");
    ExitCode::from(code)
}
