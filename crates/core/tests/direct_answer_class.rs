//! What an endpoint's answer proves.

use rstest::rstest;
use sycamorestile_core::direct::answer_class::{AnswerClass, AnswerFacts, classify};

#[rstest]
#[case::answer(200, Some(true), false, true, AnswerClass::Answer)]
#[case::late_answer_to_another(200, Some(false), false, true, AnswerClass::Foreign)]
#[case::late_refusal_of_another(503, Some(false), true, false, AnswerClass::Foreign)]
#[case::success_without_mark(200, Some(true), false, false, AnswerClass::Foreign)]
#[case::success_without_attempt(200, None, false, true, AnswerClass::Foreign)]
#[case::full(503, Some(true), true, false, AnswerClass::Refused)]
#[case::full_without_attempt(503, None, true, false, AnswerClass::Refused)]
#[case::other_endpoint(421, None, false, false, AnswerClass::Refused)]
#[case::promise_without_proof(503, Some(true), false, true, AnswerClass::Ambiguous)]
#[case::too_many_without_proof(429, Some(true), false, true, AnswerClass::Ambiguous)]
#[case::failure(500, Some(true), false, true, AnswerClass::Failed)]
#[case::timed_out_there(504, Some(true), false, true, AnswerClass::Failed)]
#[case::not_found_there(404, Some(true), false, true, AnswerClass::Answer)]
fn answers_are_classified(
    #[case] status: u16,
    #[case] is_ours: Option<bool>,
    #[case] not_run: bool,
    #[case] is_marked: bool,
    #[case] expected: AnswerClass,
) {
    let facts = AnswerFacts {
        status,
        is_ours,
        not_run,
        is_marked,
    };
    assert_eq!(classify(facts), expected);
}
