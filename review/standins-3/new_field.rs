//! The settings file has a field that the pages don't explain, and that is empty.

use crate::replica::Options;
use crate::system::{System, free_addr};

pub fn run(case: &str) -> i32 {
    let mut system = System::new(case);
    let options = Options {
        id: "ledger-0".to_owned(),
        addr: free_addr().to_string(),
        work_ms: 60,
        pieces: 10,
        form: "length".to_owned(),
        ..Options::default()
    };
    system.start_replica("ledger", options, None);
    system.register(0, "ready");
    system.configure();
    if system.has_trouble {
        system.more_listen_fields = r#","intake":"""#;
        system.note("`listen` has the further field `intake`, which is empty");
    }
    let are_ready = system.start_gateways(3);
    let exits: Vec<_> = (0..3).map(|index| system.gateway_exit(index)).collect();
    system.note(&format!("ready: {are_ready}; exit codes of gateways that have ended by themselves: {exits:?}"));
    if are_ready {
        system.send("look", 0, "GET", "/look/saldo", 4_000, "");
    }
    system.wait_for_clients();
    system.write_record();
    system.note(&format!("answers: {}", system.summary()));
    if exits.iter().any(Option::is_some) {
        system.note("BROKEN: a program doesn't start");
        return 1;
    }
    if are_ready { 0 } else { 2 }
}
