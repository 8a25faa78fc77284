//! The `sycamorestile` command line.
//!
//! Each subcommand is a module of [`commands`]; the library crates implement the system itself.

mod commands;
mod exit;
mod logging;

use std::process::ExitCode;

use bpaf::{Parser, construct};

/// Line width of help texts, in columns.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let options = construct!(commands::Invocation {
        log(logging::options()),
        command(commands::command()),
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Load balancer for expert-parallel model groups")
    .footer("Exit codes: 0 success, 1 failure, 2 invalid command line or input file.");
    match options.run_inner(bpaf::Args::current_args()) {
        Ok(invocation) => commands::run(invocation),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let code = if failure.exit_code() == 0 {
                exit::SUCCESS
            } else {
                exit::USAGE
            };
            ExitCode::from(code)
        }
    }
}
