//! Tests of the HTTP server with raw connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sycamorestile_node::http_server::{Server, full_response, read_body};
use sycamorestile_node::request_body::RequestBody;
use tokio::runtime::Runtime;

/// Largest body that the handler accepts, in bytes.
const MAX_BODY_BYTES: usize = 1 << 10;

/// Length of a response that the socket buffers do not hold, in bytes.
const LARGE_RESPONSE_BYTES: usize = 32 << 20;

/// Starts a server that answers 413 to larger bodies, and 200 to others.
fn start(runtime: &Runtime) -> Server {
    let handler = |req: http::Request<RequestBody>| async move {
        match read_body(req.into_body(), MAX_BODY_BYTES).await {
            Ok(_) => full_response(200, "text/plain", "ok"),
            Err(e) => full_response(413, "text/plain", e.to_string()),
        }
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    runtime
        .block_on(Server::start("test", addr, handler))
        .expect("the server starts")
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the server listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("the read timeout is set");
    stream
}

/// Returns what the server sends until it closes the connection.
fn read_all(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    // The connection may end in a reset after the response.
    let _read = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn a_body_that_is_too_large_gets_a_readable_response() {
    let runtime = Runtime::new().expect("a runtime is created");
    let server = start(&runtime);
    let mut stream = connect(server.addr());
    let len = 64 << 20;
    let head = format!("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let chunk = vec![b'x'; 1 << 20];
    for _ in 0..len / chunk.len() {
        stream.write_all(&chunk).expect("the server reads on");
    }
    let response = read_all(&mut stream);
    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
}

#[test]
fn connections_that_were_accepted_before_a_stop_are_served() {
    let runtime = Runtime::new().expect("a runtime is created");
    let server = start(&runtime);
    // The connections are established before the stop, and their requests arrive shortly after it.
    let mut streams: Vec<TcpStream> = (0..20).map(|_| connect(server.addr())).collect();
    runtime.block_on(async {
        let draining = server.drain(Duration::from_secs(2));
        let sending = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for stream in &mut streams {
                let sent = stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                sent.expect("the connection is open");
            }
        };
        tokio::join!(draining, sending);
    });
    for (n, stream) in streams.iter_mut().enumerate() {
        let response = read_all(stream);
        assert!(response.starts_with("HTTP/1.1 200"), "connection {n}: {response:?}");
    }
    assert!(TcpStream::connect(server.addr()).is_err(), "the listener is closed");
}

/// Guards against connections that are closed as idle although a request head has begun on them.
#[test]
fn heads_that_began_before_a_stop_are_served() {
    let runtime = Runtime::new().expect("a runtime is created");
    let server = start(&runtime);
    let mut new = connect(server.addr());
    let mut kept = connect(server.addr());
    kept.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("the connection is open");
    let mut first = [0; 1024];
    let len = kept.read(&mut first).expect("a response");
    assert!(first[..len].starts_with(b"HTTP/1.1 200"));
    let streams = [&mut new, &mut kept];
    runtime.block_on(async {
        for stream in &streams {
            let mut stream: &TcpStream = stream;
            stream.write_all(b"GET / HT").expect("the connection is open");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let draining = server.drain(Duration::from_secs(2));
        let sending = async {
            tokio::time::sleep(Duration::from_millis(600)).await;
            for stream in &streams {
                let mut stream: &TcpStream = stream;
                // A connection that is closed shows by its missing response.
                let _sent = stream.write_all(b"TP/1.1\r\nHost: a\r\n\r\n");
            }
        };
        tokio::join!(draining, sending);
    });
    drop(runtime);
    for stream in streams {
        let response = read_all(stream);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
}

/// Guards against responses that are cut off since a stop waits for a fixed time until slow callers have read them.
#[test]
fn responses_that_are_still_being_written_are_completed_by_a_stop() {
    let runtime = Runtime::new().expect("a runtime is created");
    let body = "x".repeat(LARGE_RESPONSE_BYTES);
    let handler = move |_: http::Request<RequestBody>| {
        let response = full_response(200, "text/plain", body.clone());
        async move { response }
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let started = runtime.block_on(Server::start("test", addr, handler));
    let server = started.expect("the server starts");
    let mut stream = connect(server.addr());
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("the connection is open");
    let reader = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(2));
        read_all(&mut stream).len()
    });
    runtime.block_on(async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.drain(Duration::from_secs(1)).await;
    });
    drop(runtime);
    let len = reader.join().expect("the reader finishes");
    assert!(len > LARGE_RESPONSE_BYTES, "{len} bytes");
}
