//! Streams that break off at an endpoint, which answers with something else when it is asked to go on.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use rstest::rstest;

use crate::support::cluster;

/// Number of events before the stream breaks off.
const BEGUN: usize = 3;
/// Number of events of a complete stream.
const EVENTS: usize = 6;
/// How often one call is sent to the endpoint at most.
const MAX_SENDS: usize = 50;

/// What the endpoint answers first, and when it is asked to go on after [`BEGUN`] events.
#[derive(Debug, Clone)]
struct Script {
    begun: String,
    status: u16,
    media_type: Option<&'static str>,
    body: String,
    is_chunked: bool,
}

fn events(range: Range<usize>) -> String {
    range.fold(String::new(), |mut text, n| {
        // Writing to a string can't fail.
        let _result = write!(text, "data: {{\"piece\":{n}}}\n\n");
        text
    })
}

/// Returns the end event of a stream.
fn end() -> String {
    "event: end\ndata: {}\n\n".to_owned()
}

fn read_body(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line).ok()? > 2 {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        line.clear();
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn response(body: &str, script: &Script) -> String {
    let position = format!("\"resume_from\":{BEGUN}}}");
    if body.contains("resume_from") && !body.contains(&position) {
        return "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    if !body.contains("resume_from") {
        let (len, text) = (script.begun.len(), &script.begun);
        let head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        return format!("{head}{len:x}\r\n{text}\r\n");
    }
    let media_type = script
        .media_type
        .map(|t| format!("Content-Type: {t}\r\n"))
        .unwrap_or_default();
    let (status, len, text) = (script.status, script.body.len(), &script.body);
    if script.is_chunked && len > 0 {
        let head = format!("HTTP/1.1 {status} X\r\n{media_type}Transfer-Encoding: chunked\r\n\r\n");
        return format!("{head}{len:x}\r\n{text}\r\n0\r\n\r\n");
    }
    format!("HTTP/1.1 {status} X\r\n{media_type}Content-Length: {len}\r\n\r\n{text}")
}

/// Starts an endpoint whose streams break off, and which then answers as `script` says.
fn start_endpoint(script: Arc<Mutex<Script>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let mut reader = BufReader::new(stream);
            // The agent asks whether the endpoint accepts connections, without a request.
            let Some(body) = read_body(&mut reader) else { continue };
            let script = script.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let text = response(&body, &script);
            // The agent may have left.
            let _result = reader.into_inner().write_all(text.as_bytes());
        }
    });
    addr
}

/// A cluster with an endpoint whose streams break off.
struct Broken {
    cluster: cluster::Cluster,
    script: Arc<Mutex<Script>>,
}

impl Broken {
    fn start() -> Self {
        let script = Arc::new(Mutex::new(Script {
            begun: events(0..BEGUN),
            status: 500,
            media_type: None,
            body: String::new(),
            is_chunked: false,
        }));
        let mut cluster = cluster::Cluster::start(1);
        let endpoint = ("broken-0".to_owned(), start_endpoint(Arc::clone(&script)));
        cluster.add_service("broken", "/work", &[endpoint]);
        Self { cluster, script }
    }

    /// Returns the status and the body of a call.
    fn call(&self, script: &Script) -> (u16, String) {
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script.clone();
        let headers = [("sycamorestile-organisation", "acme")];
        for _ in 0..MAX_SENDS {
            let response = self
                .cluster
                .caller(0)
                .call("POST", "/broken/work", &headers, "{\"a\":1}");
            let response = response.expect("the entry responds");
            // An endpoint that failed lately may be left out for a moment.
            if response.status != 503 {
                return (response.status, response.body);
            }
            thread::sleep(std::time::Duration::from_millis(100));
        }
        panic!("the endpoint is not asked");
    }
}

/// Returns errors by media type.
fn errors() -> Vec<(Option<&'static str>, &'static str)> {
    vec![
        (None, ""),
        (None, "internal error\n\n"),
        (Some("text/plain"), "no model\n\nretry later\n\n"),
        (Some("application/json"), "{\n\n\"error\": 7\n\n}\n\n"),
        (Some("text/html"), "<html>\n\n<h1>502</h1>\n\n</html>\n\n"),
        (Some("text/event-stream"), ""),
        (Some("text/event-stream"), "internal error\n\n"),
        (Some("text/event-stream"), "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
        (
            Some("text/event-streams"),
            "data: {\"piece\":3}\n\nevent: end\ndata: {}\n\n",
        ),
    ]
}

// Guards against callers of the product's own path that find an error in the middle of their stream, or a stream that ends with it as
// if it were complete.
#[test]
fn error_that_an_endpoint_answers_in_place_of_the_rest_does_not_reach_the_stream() {
    let broken = Broken::start();
    let mut failures = Vec::new();
    for status in [200, 201, 202, 206, 400, 429, 500, 502, 503] {
        for (media_type, body) in errors() {
            for is_chunked in [false, true] {
                let script = Script {
                    begun: events(0..BEGUN),
                    status,
                    media_type,
                    body: body.to_owned(),
                    is_chunked,
                };
                let (got_status, got) = broken.call(&script);
                let rest = got.strip_prefix(&events(0..BEGUN));
                if got_status != 200 || !rest.is_some_and(|rest| rest.starts_with("event: error\n")) {
                    failures.push(format!("{script:?}: {got_status} {got:?}"));
                }
            }
        }
    }
    // An error that is an event stream itself, up to its end.
    for status in [201, 206, 404, 500, 503] {
        let script = Script {
            begun: events(0..BEGUN),
            status,
            media_type: Some("text/event-stream"),
            body: events(BEGUN..EVENTS) + &end(),
            is_chunked: true,
        };
        let (_, got) = broken.call(&script);
        if got.contains("event: end") {
            failures.push(format!("{script:?}: {got:?}"));
        }
    }
    assert!(failures.is_empty(), "{} failed: {failures:#?}", failures.len());
}

// Guards against a check of continuations that refuses sound ones.
#[rstest]
fn sound_rest_of_a_stream_is_joined(
    #[values("text/event-stream", "text/event-stream; charset=utf-8", "Text/Event-Stream")] media_type: &'static str,
    #[values("", ": comment\n\n", "retry: 10\n")] before: &str,
) {
    let broken = Broken::start();
    let script = Script {
        begun: events(0..BEGUN),
        status: 200,
        media_type: Some(media_type),
        body: format!("{before}{}{}", events(BEGUN..EVENTS), end()),
        is_chunked: true,
    };
    let (status, got) = broken.call(&script);
    assert_eq!((status, got), (200, events(0..BEGUN) + &script.body));
}

// Guards against pieces that are missing since something else than events was counted as such.
#[test]
fn comments_do_not_count_where_a_stream_is_resumed() {
    let broken = Broken::start();
    let begun = events(0..1) + ": waiting\n\n" + "retry: 10\n\n" + &events(1..BEGUN) + ": waiting\n\n";
    let script = Script {
        begun: begun.clone(),
        status: 200,
        media_type: Some("text/event-stream"),
        body: events(BEGUN..EVENTS) + &end(),
        is_chunked: true,
    };
    let (status, got) = broken.call(&script);
    assert_eq!((status, got), (200, begun + &script.body));
}
