//! Endpoints that answer with something that isn't theirs, or is no answer.

use std::time::Instant;

use crate::support::{cluster, raw_endpoint};

/// Number of endpoints. One that failed lately is left out for a moment.
const ENDPOINTS: usize = 8;
/// What a node may spend, in MB.
const AGENT_MEMORY_MB: u64 = 128;
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

// Guards against a status that is none and reaches a caller as an answer.
#[test]
fn status_that_is_none_is_no_answer() {
    let lines = [
        "HTTP/1.1 000 X",
        "HTTP/1.1 001 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 0 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 -20 X",
        "HTTP/1.1 2x0 X",
        "HTTP/1.1  X",
        "HTTP/1.1",
        "HTTP/0.0 200 X",
        "HTTP/2.0 200 X",
        "HTTP/1.1 100 X",
        "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x",
        "HTTP/1.1 103 X",
        "HTTP/1.1 199 X",
    ];
    let taken = taken_for_answers(&lines.map(|line| format!("{line}\r\n{REST}")));
    assert!(taken.is_empty(), "{taken:#?}");
}

// Guards against an agent that keeps bytes which are no answer until it runs out of memory, or whose other calls end with them.
#[test]
fn endless_bytes_are_no_answer_and_disturb_no_other_call() {
    let response = raw_endpoint::RawResponse::default();
    let mut cluster = cluster::Cluster::start(1);
    response.add_service(&mut cluster, "endless", ENDPOINTS);
    let sound = raw_endpoint::RawResponse::default();
    sound.set(&format!("HTTP/1.1 200 X\r\n{REST}"));
    sound.add_service(&mut cluster, "sound", ENDPOINTS);
    let text = "no answer at all ".repeat(200);
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 X\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let events = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let forms: [(&str, String, String); 11] = [
        ("text", String::new(), text.clone()),
        ("empty lines", String::new(), "\r\n".repeat(2_000)),
        ("header value", format!("{head}X-Long: "), text.clone()),
        ("headers", head.to_owned(), "X-More: 1\r\n".repeat(300)),
        ("interim", String::new(), "HTTP/1.1 103 X\r\n\r\n".repeat(200)),
        ("chunks", chunked.clone(), chunk.clone()),
        ("chunk length", chunked.clone(), "0".repeat(4_000)),
        ("chunk extension", format!("{chunked}1;"), text.clone()),
        (
            "trailers",
            format!("{chunked}1\r\nx\r\n0\r\n"),
            "X-More: 1\r\n".repeat(300),
        ),
        ("unframed", format!("{head}\r\n"), text),
        ("event line", events, chunk),
    ];
    let mut wrong = Vec::new();
    for (number, (form, first, rest)) in forms.iter().enumerate() {
        response.set_endless(first, rest);
        let begin = Instant::now();
        let answer = raw_endpoint::call(&cluster, "/endless/work", &format!("{{\"call\":\"{number}\"}}"));
        let took = begin.elapsed();
        if answer.status < 500 || answer.outcome != "unknown" {
            wrong.push(format!("{form}: {} {} after {took:?}", answer.status, answer.outcome));
        }
        let other = raw_endpoint::call(&cluster, "/sound/work", &format!("{{\"call\":\"{number}\"}}"));
        if other.status != 200 {
            wrong.push(format!("beside {form}: {} {}", other.status, other.outcome));
        }
    }
    let peak = cluster
        .agents
        .iter()
        .map(|agent| agent.process.resident_kb() >> 10)
        .max();
    println!("agents use {peak:?} MB at most");
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(peak.is_some_and(|mb| mb < AGENT_MEMORY_MB), "{peak:?} MB");
}
