//! Responses of servers that the client of the table and of ranks must survive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use sycamorestile_table::client::{CallError, Client};
use tokio::runtime::Builder;

/// Starts a server that reads one request on each connection and sends `head`, and then `rest` without end.
fn start_endless(head: &'static str, rest: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let rest = rest.clone();
            thread::spawn(move || {
                let mut buf = [0; 1_024];
                let _request = stream.read(&mut buf).expect("a request");
                stream.write_all(head.as_bytes()).expect("the head is sent");
                while stream.write_all(rest.as_bytes()).is_ok() {}
            });
        }
    });
    addr
}

#[test]
fn response_without_end_is_given_up_before_it_fills_the_memory() {
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let addr = start_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk);
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let begin = Instant::now();
    let mut client = Client::new(addr);
    let timeout = Duration::from_secs(60);
    let result = runtime.block_on(client.get("/report", timeout));
    assert!(matches!(result, Err(CallError::ResponseTooLarge)), "{result:?}");
    assert!(begin.elapsed() < timeout / 2, "{:?}", begin.elapsed());
}
