//! What an endpoint's answer proves.

use rstest::rstest;
use sycamorestile_core::direct::response_class::{ResponseClass, ResponseFacts, classify};

#[rstest]
#[case::answer(200, Some(true), false, true, ResponseClass::Response)]
#[case::late_answer_to_another(200, Some(false), false, true, ResponseClass::Untrusted)]
#[case::late_refusal_of_another(503, Some(false), true, false, ResponseClass::Untrusted)]
#[case::success_without_mark(200, Some(true), false, false, ResponseClass::Untrusted)]
#[case::success_without_attempt(200, None, false, true, ResponseClass::Untrusted)]
#[case::full(503, Some(true), true, false, ResponseClass::Refused)]
#[case::full_without_attempt(503, None, true, false, ResponseClass::Refused)]
#[case::other_endpoint(421, None, false, false, ResponseClass::Refused)]
#[case::promise_without_proof(503, Some(true), false, true, ResponseClass::Ambiguous)]
#[case::too_many_without_proof(429, Some(true), false, true, ResponseClass::Ambiguous)]
#[case::failure(500, Some(true), false, true, ResponseClass::Failed)]
#[case::timed_out_there(504, Some(true), false, true, ResponseClass::Failed)]
#[case::not_found_there(404, Some(true), false, true, ResponseClass::Response)]
fn answers_are_classified(
    #[case] status: u16,
    #[case] matches_attempt: Option<bool>,
    #[case] not_run: bool,
    #[case] is_authentic: bool,
    #[case] expected: ResponseClass,
) {
    let facts = ResponseFacts {
        status,
        matches_attempt,
        not_run,
        is_authentic,
    };
    assert_eq!(classify(facts), expected);
}
