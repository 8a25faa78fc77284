//! Invalid requests are rejected with a typed problem before any endpoint is called.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::support::caller;
use crate::support::cluster;

struct InvalidRequest<'a> {
    name: &'a str,
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
    status: u16,
    slug: &'a str,
}

const ORG: (&str, &str) = ("sycamorestile-organisation", "acme");
const DEADLINE: &str = "sycamorestile-deadline-ms";
const BOOKINGS: &str = "/ledger/bookings";
const COMPLETIONS: &str = "/assistant/v1/completions";
/// Size of a body that is larger than what the sockets of a connection buffer.
const LARGE_BODY_BYTES: usize = 8 << 20;
const BOOKING: &str = r#"{"account":"bad","cents":1}"#;

const fn case<'a>(
    name: &'a str,
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
    status: u16,
    slug: &'a str,
) -> InvalidRequest<'a> {
    InvalidRequest {
        name,
        method,
        path,
        headers,
        body,
        status,
        slug,
    }
}

/// Requests whose parts are all constants.
const CASES: [InvalidRequest<'static>; 15] = [
    case(
        "unknown service",
        "POST",
        "/nowhere/x",
        &[ORG],
        "",
        404,
        "unknown-service",
    ),
    case("no service", "GET", "/", &[ORG], "", 404, "unknown-service"),
    case(
        "undeclared path",
        "POST",
        "/ledger/other",
        &[ORG],
        BOOKING,
        404,
        "undeclared-path",
    ),
    case(
        "wrong method",
        "DELETE",
        BOOKINGS,
        &[ORG],
        "",
        405,
        "method-not-allowed",
    ),
    case(
        "missing organisation",
        "POST",
        BOOKINGS,
        &[],
        BOOKING,
        400,
        "missing-organisation",
    ),
    case(
        "bad organisation",
        "POST",
        BOOKINGS,
        &[("sycamorestile-organisation", "No!")],
        BOOKING,
        400,
        "bad-header",
    ),
    case(
        "repeated organisation",
        "POST",
        BOOKINGS,
        &[ORG, ORG],
        BOOKING,
        400,
        "bad-header",
    ),
    case(
        "bad class",
        "POST",
        BOOKINGS,
        &[ORG, ("sycamorestile-class", "royal")],
        BOOKING,
        400,
        "bad-header",
    ),
    case(
        "bad deadline",
        "POST",
        BOOKINGS,
        &[ORG, (DEADLINE, "soon")],
        BOOKING,
        400,
        "bad-deadline",
    ),
    case(
        "zero deadline",
        "POST",
        BOOKINGS,
        &[ORG, (DEADLINE, "0")],
        BOOKING,
        400,
        "bad-deadline",
    ),
    case(
        "negative deadline",
        "POST",
        BOOKINGS,
        &[ORG, (DEADLINE, "-5")],
        BOOKING,
        400,
        "bad-deadline",
    ),
    case("no JSON", "POST", COMPLETIONS, &[ORG], "{", 400, "bad-body"),
    case(
        "no prompt",
        "POST",
        COMPLETIONS,
        &[ORG],
        r#"{"max_tokens":3}"#,
        400,
        "bad-body",
    ),
    case(
        "bad tokens",
        "POST",
        COMPLETIONS,
        &[ORG],
        r#"{"prompt":"a","max_tokens":-3}"#,
        400,
        "bad-body",
    ),
    case(
        "reserved field",
        "POST",
        COMPLETIONS,
        &[ORG],
        r#"{"prompt":"a","resume_from":3}"#,
        400,
        "bad-body",
    ),
];

fn check(caller: &caller::Caller, request: &InvalidRequest<'_>) {
    let response = caller
        .call(request.method, request.path, request.headers, request.body)
        .expect(request.name);
    assert_eq!(response.status, request.status, "{}: {response:?}", request.name);
    assert_eq!(response.outcome, "not-run", "{}", request.name);
    assert_eq!(
        response.json()["type"],
        format!("/problems/{}", request.slug),
        "{}",
        request.name
    );
    assert_eq!(response.json()["status"], request.status, "{}", request.name);
}

#[test]
fn bad_input_is_refused_before_any_endpoint_is_called() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    for request in &CASES {
        check(&caller, request);
    }
    let large = "x".repeat(5_000);
    check(
        &caller,
        &case("large body", "POST", BOOKINGS, &[ORG], &large, 413, "body-too-large"),
    );
    let long_key = "k".repeat(200);
    let headers = [ORG, ("idempotency-key", long_key.as_str())];
    check(
        &caller,
        &case("long key", "POST", BOOKINGS, &headers, BOOKING, 400, "bad-header"),
    );
    assert_eq!(caller.bookings("bad"), 0);
}

/// Sends `head` and a body of [`LARGE_BODY_BYTES`], and returns the response.
fn send_large_body(addr: SocketAddr, head: &str, is_chunked: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("the entry listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("the read timeout is set");
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {LARGE_BODY_BYTES}")
    };
    let head = format!("POST {head}Host: a\r\nConnection: close\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let part = vec![b'x'; 1 << 20];
    for _ in 0..LARGE_BODY_BYTES / part.len() {
        if is_chunked {
            stream.write_all(b"100000\r\n").expect("the entry reads on");
        }
        stream.write_all(&part).expect("the entry reads on");
        if is_chunked {
            stream.write_all(b"\r\n").expect("the entry reads on");
        }
    }
    let mut response = Vec::new();
    // The connection may end in a reset after the response.
    let _read = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn large_body_of_a_refused_call_does_not_hide_the_response() {
    let cluster = cluster::Cluster::start(1);
    let addr = cluster.entries[0].process.addr("callers").parse().expect("an address");
    let organisation = "Sycamorestile-Organisation: acme\r\n";
    let bookings = format!("{BOOKINGS} HTTP/1.1\r\n{organisation}");
    let cases = [
        (bookings.clone(), false, 413),
        (bookings, true, 413),
        (format!("/nowhere/x HTTP/1.1\r\n{organisation}"), false, 404),
        (format!("/nowhere/x HTTP/1.1\r\n{organisation}"), true, 404),
        (format!("{BOOKINGS} HTTP/1.1\r\n"), false, 400),
        (
            format!("{BOOKINGS} HTTP/1.1\r\n{organisation}{DEADLINE}: soon\r\n"),
            true,
            400,
        ),
    ];
    for (head, is_chunked, status) in cases {
        let response = send_large_body(addr, &head, is_chunked);
        let expected = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&expected), "{head:?}: {response:?}");
    }
}

#[test]
fn an_organisation_over_its_limit_gets_429_with_retry_after() {
    let cluster = cluster::Cluster::start(1);
    let caller = cluster.caller(0);
    let headers = [("sycamorestile-organisation", "small")];
    let mut refused = 0;
    for _ in 0..20 {
        let response = caller
            .call("GET", "/ledger/accounts/a", &headers, "")
            .expect("the entry responds");
        if response.status == 429 {
            refused += 1;
            assert_eq!(response.outcome, "not-run");
            assert!(response.retry_after.is_some_and(|secs| secs >= 1), "{response:?}");
            assert!(response.json()["retry_after_ms"].as_u64() > Some(0));
        }
    }
    assert!(refused > 0, "20 calls in a row exceed 2 per second");
}
