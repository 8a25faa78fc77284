//! Calls that crash each endpoint which runs them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::support::caller;
use crate::support::cluster;

/// Endpoints of the service. All crash if nothing is done.
const ENDPOINTS: usize = 10;
/// Number of crashes after which the call may reach endpoints only for [`KNOWLEDGE_BOUND`].
const TOLERATED_CRASHES: usize = 3;
/// Time after which what one entry knows must have reached all others.
const KNOWLEDGE_BOUND: Duration = Duration::from_secs(3);
/// The body that crashes endpoints.
const CRASHING_BODY: &str = "crash";

/// Starts an endpoint that refuses connections once it has got [`CRASHING_BODY`], and counts that.
fn start_endpoint(crashes: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            if !respond(stream, &crashes) {
                return;
            }
        }
    });
    addr
}

/// Responds to one request. Returns `false` if it is the crashing one, and drops the connection without a response
/// after the listener.
fn respond(stream: TcpStream, crashes: &AtomicUsize) -> bool {
    let mut reader = BufReader::new(stream);
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        line.clear();
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body is complete");
    if body == CRASHING_BODY.as_bytes() {
        crashes.fetch_add(1, Ordering::SeqCst);
        // The connection closes a moment after the listener.
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20));
            drop(reader);
        });
        return false;
    }
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
    reader
        .into_inner()
        .write_all(response.as_bytes())
        .expect("the agent reads");
    true
}

fn send(caller: &caller::Caller, body: &str) -> caller::Response {
    let headers = [("sycamorestile-organisation", "acme")];
    caller
        .call("POST", "/frail/work", &headers, body)
        .expect("the entry responds")
}

#[test]
fn call_that_crashes_endpoints_is_stopped_at_all_entries() {
    let crashes = Arc::new(AtomicUsize::new(0));
    let mut cluster = cluster::Cluster::start(2);
    let endpoints: Vec<(String, SocketAddr)> = (0..ENDPOINTS)
        .map(|n| (format!("frail-{n}"), start_endpoint(Arc::clone(&crashes))))
        .collect();
    cluster.add_service("frail", "/work", &endpoints);
    let (first, second) = (cluster.caller(0), cluster.caller(1));
    for _ in 0..2 * TOLERATED_CRASHES {
        if crashes.load(Ordering::SeqCst) >= TOLERATED_CRASHES {
            break;
        }
        send(&first, CRASHING_BODY);
    }
    thread::sleep(KNOWLEDGE_BOUND);
    let before = crashes.load(Ordering::SeqCst);
    let mut refusals = Vec::new();
    for number in 0..ENDPOINTS {
        refusals.push(send(if number % 2 == 0 { &first } else { &second }, CRASHING_BODY));
        let sound = send(&first, &format!("sound {number}"));
        assert_eq!((sound.status, sound.outcome.as_str()), (200, "done"), "{sound:?}");
    }
    let late = crashes.load(Ordering::SeqCst) - before;
    assert_eq!(late, 0, "after {before} crashes and the bound");
    let last = refusals.last().expect("a refusal");
    assert_eq!((last.status, last.outcome.as_str()), (503, "not-run"), "{last:?}");
    assert!(last.retry_after.is_some_and(|wait| wait > 60), "{last:?}");
}
