//! Plays the cases of the second review: starts gateways as the deploy file does, with stand-ins for the platform's store,
//! replicas and clients.
//!
//! Usage: `cases NAME FOLDER`, in the root of the repository. `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod client;
mod encoded;
mod env;
mod http;
mod json;
mod rank;
mod record;
mod replica;
mod restored;
mod silent;
mod split;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let scratch = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&scratch) {
        eprintln!("no temporary folder: {e}");
        return ExitCode::from(2);
    }
    let case = env::Case {
        record: record::Record::create(&folder),
        scratch: scratch.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    case.record.line(&format!("case {name}, trouble: {}", case.has_trouble));
    let verdict = match name.as_str() {
        "encoded" => encoded::play(&case),
        "rank" => rank::play(&case),
        "restored" => restored::play(&case),
        "silent" => silent::play(&case),
        "split" => split::play(&case),
        _ => env::Verdict::NotRun(format!("no case {name}")),
    };
    // The logs of the gateways are kept only for a case that could not run.
    if !matches!(verdict, env::Verdict::NotRun(_)) && std::env::var_os("KEEP").is_none() {
        let _removed = std::fs::remove_dir_all(&scratch);
    }
    let (text, code) = match verdict {
        env::Verdict::Held => ("the rule held".to_owned(), 0),
        env::Verdict::Broken(what) => (format!("the rule was broken: {what}"), 1),
        env::Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    case.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
