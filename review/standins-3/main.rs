//! Stand-ins and cases of the third review. `main CASE FOLDER` plays a case; it exits with 0 if the rule held, 1 if it was
//! broken and 2 if the case couldn't run.

mod crashing_request;
mod cut_answer;
mod http;
mod json;
mod link;
mod long_prompt;
mod new_field;
mod replica;
mod revoked_key;
mod store;
mod system;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    // A case that can't run ends with a panic.
    let played = std::panic::catch_unwind(|| match args.first().map(String::as_str) {
        Some("replica") => replica::Options::from_args(&args[1..]).map_or(2, replica::run),
        Some("cut-answer") if args.len() == 2 => cut_answer::run(&args[1]),
        Some("long-prompt") if args.len() == 2 => long_prompt::run(&args[1]),
        Some("revoked-key") if args.len() == 2 => revoked_key::run(&args[1]),
        Some("new-field") if args.len() == 2 => new_field::run(&args[1]),
        Some("crashing-request") if args.len() == 2 => crashing_request::run(&args[1]),
        _ => 2,
    });
    ExitCode::from(played.unwrap_or(2) as u8)
}
