//! Endpoints that answer with something that isn't theirs, or is no answer.

use crate::support::{cluster, raw_endpoint};

/// Number of endpoints. One that failed lately is left out for a moment.
const ENDPOINTS: usize = 8;
/// A sound response, but for its status line and some of its headers.
const REST: &str = "Content-Type: application/json\r\nContent-Length: 7\r\n\r\n{\"a\":1}";

/// Answers a call with each of the responses, and returns those whose outcome isn't unknown.
fn taken_for_answers(responses: &[String]) -> Vec<String> {
    let response = raw_endpoint::RawResponse::default();
    let mut cluster = cluster::Cluster::start(1);
    response.add_service(&mut cluster, "odd", ENDPOINTS);
    let mut taken = Vec::new();
    for (number, text) in responses.iter().enumerate() {
        response.set(text);
        let answer = raw_endpoint::call(&cluster, "/odd/work", &format!("{{\"call\":\"{number}\"}}"));
        if answer.status < 500 || answer.outcome != "unknown" {
            taken.push(format!("{text:?}: {} {}", answer.status, answer.outcome));
        }
    }
    taken
}

// Guards against coded bytes that are told as a plain body, since the coding isn't forwarded.
#[test]
fn coded_response_is_no_answer() {
    let codings = [
        "Content-Encoding: gzip\r\n",
        "Content-Encoding: identity\r\n",
        "Content-Encoding:\r\n",
        "Content-Encoding: identity\r\nContent-Encoding: br\r\n",
    ];
    let responses = [200, 201, 404, 500].iter().flat_map(|status| {
        let coded = codings.map(|coding| format!("HTTP/1.1 {status} X\r\n{coding}{REST}"));
        let body =
            "Content-Type: application/json\r\nTransfer-Encoding: gzip, chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n";
        coded.into_iter().chain([format!("HTTP/1.1 {status} X\r\n{body}")])
    });
    let taken = taken_for_answers(&responses.collect::<Vec<String>>());
    assert!(taken.is_empty(), "{taken:#?}");
}
