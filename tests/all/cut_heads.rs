//! Endpoints that stop within the head of a response, or within what frames its body.

use crate::support::{cluster, raw_endpoint};

/// Number of endpoints. One that failed lately is left out for a moment.
const ENDPOINTS: usize = 8;

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

// Guards against a head that breaks off and is passed on as if it were complete, with an empty or a short body, or that sends the
// call elsewhere.
#[test]
fn response_that_breaks_off_in_its_head_is_no_answer() {
    let response = raw_endpoint::RawResponse::default();
    let mut cluster = cluster::Cluster::start(1);
    response.add_service(&mut cluster, "cut", ENDPOINTS);
    let (mut wrong, mut answered) = (Vec::new(), 0);
    for (whole, unframed) in responses() {
        let end = unframed.unwrap_or(whole.len());
        let cuts = (0..end).filter(|cut| whole[cut.saturating_sub(2)..(cut + 2).min(whole.len())].contains('\n'));
        for cut in cuts {
            response.set(&whole[..cut]);
            // Each call has a content of its own, since one that breaks several endpoints would be quarantined.
            let answer = raw_endpoint::call(&cluster, "/cut/work", &format!("{{\"call\":\"{answered}\"}}"));
            answered += 1;
            if answer.status < 500 || answer.outcome != "unknown" {
                wrong.push(format!("{:?}: {} {}", &whole[..cut], answer.status, answer.outcome));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {answered} wrong: {wrong:#?}", wrong.len());
}
