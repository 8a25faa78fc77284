//! Endpoints that stop within the head of a response, or within what frames its body.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::support::cluster;

/// Number of endpoints. One that failed lately is left out for a moment.
const ENDPOINTS: usize = 8;
/// How often one call is sent at most.
const MAX_SENDS: usize = 100;

/// Returns the whole responses of an endpoint, and how many bytes of each come before a body that ends with its connection.
fn responses() -> Vec<(String, Option<usize>)> {
    let mut responses = Vec::new();
    for (status, headers) in [
        (200, "Content-Type: application/json\r\n"),
        (201, "Location: /slips/1\r\n"),
        (302, "Location: /elsewhere\r\n"),
        (404, ""),
        (500, ""),
        (503, "Retry-After: 1\r\n"),
    ] {
        let head = format!("HTTP/1.1 {status} X\r\n{headers}");
        responses.push((format!("{head}Content-Length: 7\r\n\r\n{{\"a\":1}}"), None));
        let chunks = "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n";
        responses.push((format!("{head}{chunks}"), None));
        let unframed = format!("{head}Connection: close\r\n\r\n");
        responses.push((format!("{unframed}{{\"a\":1}}"), Some(unframed.len())));
    }
    responses
}

/// Reads a request. Returns `None` if the connection ends before.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<()> {
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line).ok()? > 2 {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        line.clear();
    }
    reader.read_exact(&mut vec![0; length]).ok()
}

/// Starts an endpoint that answers each request with `response` and closes the connection.
fn start_endpoint(response: Arc<Mutex<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let mut reader = BufReader::new(stream);
            // The agent asks whether the endpoint accepts connections, without a request.
            if read_request(&mut reader).is_some() {
                let text = response.lock().unwrap_or_else(PoisonError::into_inner).clone();
                // The agent may have left.
                let _result = reader.into_inner().write_all(text.as_bytes());
            }
        }
    });
    addr
}

// Guards against a head that breaks off and is passed on as if it were complete, with an empty or a short body, or that sends the
// call elsewhere.
#[test]
fn response_that_breaks_off_in_its_head_is_no_answer() {
    let response = Arc::new(Mutex::new(String::new()));
    let mut cluster = cluster::Cluster::start(1);
    let endpoints: Vec<(String, SocketAddr)> = (0..ENDPOINTS)
        .map(|n| (format!("cut-{n}"), start_endpoint(Arc::clone(&response))))
        .collect();
    cluster.add_service("cut", "/work", &endpoints);
    let headers = [("sycamorestile-organisation", "acme")];
    let (mut wrong, mut answered) = (Vec::new(), 0);
    for (whole, unframed) in responses() {
        let end = unframed.unwrap_or(whole.len());
        let cuts = (0..end).filter(|cut| whole[cut.saturating_sub(2)..(cut + 2).min(whole.len())].contains('\n'));
        for cut in cuts {
            whole[..cut].clone_into(&mut response.lock().unwrap_or_else(PoisonError::into_inner));
            // Each call has a content of its own, since one that breaks several endpoints would be quarantined.
            let body = format!("{{\"call\":\"{answered}\"}}");
            let answer = (0..MAX_SENDS).find_map(|_| {
                let answer = cluster.caller(0).call("POST", "/cut/work", &headers, &body);
                let answer = answer.expect("the entry responds");
                if answer.status == 503 {
                    thread::sleep(Duration::from_millis(50));
                }
                (answer.status != 503).then_some(answer)
            });
            let answer = answer.expect("an endpoint is asked");
            answered += 1;
            if answer.status < 500 || answer.outcome != "unknown" {
                wrong.push(format!("{:?}: {} {}", &whole[..cut], answer.status, answer.outcome));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {answered} wrong: {wrong:#?}", wrong.len());
}
