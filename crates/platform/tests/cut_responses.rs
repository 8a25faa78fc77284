//! Responses of the platform that break off in their head or body.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use sycamorestile_platform::client::Client;
use sycamorestile_platform::row::ReadRequest;

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

/// Starts a server that answers each request with `response` and closes the connection. Returns its address and the number of
/// its requests.
fn start_server(response: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream);
            if read_request(&mut reader).is_some() {
                counter.fetch_add(1, Ordering::SeqCst);
                // The client may have left.
                let _sent = reader.into_inner().write_all(response.as_bytes());
            }
        }
    });
    (addr, requests)
}

/// Guards against a response that breaks off and counts as one, or that sends a call of the platform elsewhere.
#[test]
fn response_that_breaks_off_is_no_response() {
    let body = r#"{"rows":[]}"#;
    let sound = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (elsewhere, requests) = start_server(sound.clone());
    let redirection =
        format!("HTTP/1.1 302 Found\r\nLocation: http://{elsewhere}/table/read\r\nContent-Length: 0\r\n\r\n");
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n{body}\r\n0\r\n\r\n");
    for whole in [sound, redirection, chunked] {
        // The last chunk shows that the body is complete, also without the line break after it.
        let end = whole.find("0\r\n\r\n").filter(|_| whole.contains("chunked"));
        for cut in 0..end.map_or(whole.len(), |at| at + 2) {
            let (addr, _) = start_server(whole[..cut].to_owned());
            let reply = Client::new(addr).read(&ReadRequest::default());
            let error = reply.expect_err(&whole[..cut]);
            assert!(error.is_outcome_unknown(), "{:?}: {error:?}", &whole[..cut]);
        }
        let (addr, _) = start_server(whole.clone());
        assert_eq!(
            Client::new(addr).read(&ReadRequest::default()).is_ok(),
            whole.contains(" 200 "),
            "{whole}"
        );
    }
    assert_eq!(requests.load(Ordering::SeqCst), 0, "no call goes elsewhere");
}
