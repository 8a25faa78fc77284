//! Stand-ins for the cases of this review: the platform's store, replicas and clients, and the drivers of the cases.
//!
//! `standins CASE FOLDER` runs a case, writes `FOLDER/record.txt`, and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod client;
mod env;
mod group;
mod http;
mod json;
mod record;
mod replica;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = record::Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case {case}, trouble {}", u8::from(trouble)));
    let name = case.clone();
    let in_case = record.clone();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
        cases::run(&name, trouble, &in_case)
    }));
    let code = match outcome {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(e)) => {
            record.line(&format!("could not run: {e}"));
            2
        }
        Err(_) => {
            record.line("could not run: the driver panicked");
            2
        }
    };
    let text = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    record.line(&format!("result {code}: {text}"));
    println!("{text}");
    std::process::exit(code);
}
