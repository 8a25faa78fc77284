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

/// Guards against a response of the table or of a rank that breaks off and counts as a whole one.
#[test]
fn response_that_breaks_off_is_no_response() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    for whole in [
        "HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
    ] {
        for cut in 0..whole.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
            let mut client = Client::new(listener.local_addr().expect("a local address"));
            let server = thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection");
                let mut buf = [0; 1_024];
                let _request = stream.read(&mut buf).expect("a request");
                stream.write_all(&whole.as_bytes()[..cut]).expect("the part is sent");
            });
            let result = runtime.block_on(client.get("/report", Duration::from_secs(5)));
            server.join().expect("the server ends");
            assert!(
                matches!(result, Err(CallError::ConnectionLost(_))),
                "{:?}: {result:?}",
                &whole[..cut]
            );
        }
    }
}
