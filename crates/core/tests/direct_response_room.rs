//! Tests of how much memory the responses on their way to callers may take.

use rstest::rstest;
use sycamorestile_core::direct::response_room::{HeldBytes, has_room, may_read, reads_whole};

const MB: usize = 1 << 20;

// Guards against callers who are refused since others read slowly, and against a bound that nobody keeps to.
#[rstest]
#[case::nothing_held(0, 0, true, true)]
#[case::held_by_one(63 * MB, 63 * MB, true, true)]
#[case::full_for_the_one_who_holds_it(64 * MB, 64 * MB, false, false)]
#[case::not_full_for_others(64 * MB, 0, true, true)]
#[case::shared_by_sixteen(64 * MB, 4 * MB, true, true)]
#[case::full_for_large_responses(72 * MB, 0, true, false)]
#[case::full_for_all(80 * MB, 0, false, false)]
fn new_requests_of_those_who_hold_much_are_refused_first(
    #[case] total: usize,
    #[case] of_organisation: usize,
    #[case] accepts_small: bool,
    #[case] accepts_large: bool,
) {
    let held = HeldBytes { total, of_organisation };
    assert_eq!(
        (has_room(held, false), has_room(held, true)),
        (accepts_small, accepts_large)
    );
}

// Guards against small responses that wait behind large ones, and large ones that exceed the bound since their requests were sent before.
#[rstest]
#[case::small(Some(65_536), 100 * MB, true)]
#[case::large(Some(65_537), 72 * MB, false)]
#[case::unknown(None, 72 * MB, false)]
#[case::unknown_with_room(None, 71 * MB, true)]
fn only_small_responses_are_read_without_room(
    #[case] len: Option<usize>,
    #[case] total: usize,
    #[case] expected: bool,
) {
    assert_eq!(may_read(len, total), expected);
}

// Guards against responses that could be replaced by another attempt, and are forwarded too early for that.
#[rstest]
#[case::room(7 * MB, 32 * MB, true)]
#[case::no_room(7 * MB, 33 * MB, false)]
#[case::small_without_room(65_536, 100 * MB, true)]
fn responses_are_read_completely_while_there_is_room(#[case] len: usize, #[case] total: usize, #[case] expected: bool) {
    assert_eq!(reads_whole(len, total), expected);
}

// Guards against callers who are refused because large responses to others have taken all the room.
#[test]
fn large_responses_leave_room_for_the_requests_of_others() {
    let total = (0..200 * MB).step_by(MB / 4).find(|total| !may_read(None, *total));
    let held = HeldBytes {
        total: total.expect("a bound"),
        of_organisation: 0,
    };
    assert!(has_room(held, false));
}
