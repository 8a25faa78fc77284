//! Classification of endpoints' responses.

use rstest::rstest;
use sycamorestile_core::direct::response_class::{ResponseClass, ResponseFacts, classify, is_continuation};

#[rstest]
#[case::response(200, Some(true), false, true, ResponseClass::Response)]
#[case::response_to_another_attempt(200, Some(false), false, true, ResponseClass::Untrusted)]
#[case::refusal_of_another_attempt(503, Some(false), true, false, ResponseClass::Untrusted)]
#[case::success_that_is_not_authentic(200, Some(true), false, false, ResponseClass::Untrusted)]
#[case::success_without_attempt(200, None, false, true, ResponseClass::Untrusted)]
#[case::refusal(503, Some(true), true, false, ResponseClass::Refused)]
#[case::refusal_without_attempt(503, None, true, false, ResponseClass::Refused)]
#[case::misdirected_request(421, None, false, false, ResponseClass::Refused)]
#[case::unavailable_without_proof(503, Some(true), false, true, ResponseClass::Ambiguous)]
#[case::too_many_requests_without_proof(429, Some(true), false, true, ResponseClass::Ambiguous)]
#[case::server_error(500, Some(true), false, true, ResponseClass::Failed)]
#[case::endpoint_timed_out(504, Some(true), false, true, ResponseClass::Failed)]
#[case::not_found(404, Some(true), false, true, ResponseClass::Response)]
fn responses_are_classified(
    #[case] status: u16,
    #[case] matches_attempt: Option<bool>,
    #[case] not_run: bool,
    #[case] is_authentic: bool,
    #[case] expected: ResponseClass,
) {
    let facts = ResponseFacts {
        status,
        matches_attempt,
        is_first_response: true,
        not_run,
        is_authentic,
        is_encoded: false,
    };
    assert_eq!(classify(facts), expected);
}

// Guards against a refusal of an earlier request that counts for the next one, since it names none.
#[rstest]
fn later_response_that_names_no_attempt_is_not_trusted(
    #[values(200, 400, 408, 421, 429, 500, 503)] status: u16,
    #[values(true, false)] not_run: bool,
    #[values(true, false)] is_authentic: bool,
) {
    let facts = ResponseFacts {
        status,
        matches_attempt: None,
        is_first_response: false,
        not_run,
        is_authentic,
        is_encoded: false,
    };
    assert_eq!(classify(facts), ResponseClass::Untrusted);
}

// Guards against an error that is taken for the rest of a stream since its status is a success.
#[rstest]
#[case(200, None, true)]
#[case(200, Some("text/event-stream"), true)]
#[case(200, Some("Text/Event-Stream ; charset=utf-8"), true)]
#[case(200, Some("application/json"), false)]
#[case(200, Some("text/plain"), false)]
#[case(200, Some(""), false)]
#[case(201, None, false)]
#[case(204, None, false)]
#[case(206, Some("text/event-stream"), false)]
#[case(500, Some("text/event-stream"), false)]
fn only_a_stream_of_events_continues_a_stream(
    #[case] status: u16,
    #[case] media_type: Option<&str>,
    #[case] expected: bool,
) {
    assert_eq!(is_continuation(status, media_type), expected);
}
