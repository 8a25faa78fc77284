//! Which codings of a response a caller accepts.

use rstest::rstest;
use sycamorestile_core::direct::coding;

// Guards against a caller that gets coded bytes because it sent the header by which it refuses them.
#[rstest]
#[case::none("gzip", &[], false)]
#[case::identity("gzip", &["identity"], false)]
#[case::empty("gzip", &[""], false)]
#[case::other("gzip", &["br, deflate"], false)]
#[case::begins_like_it("gzip", &["gzip2"], false)]
#[case::same("gzip", &["gzip"], true)]
#[case::other_case("GZip", &["gZIP"], true)]
#[case::former_name("x-gzip", &["gzip"], true)]
#[case::former_name_accepted("gzip", &["X-Gzip"], true)]
#[case::weight("gzip", &["br;q=0.9, gzip;q=0.001"], true)]
#[case::weight_with_spaces("gzip", &["gzip ; Q = 1"], true)]
#[case::weight_zero("gzip", &["gzip;q=0"], false)]
#[case::weight_zero_in_full("gzip", &["gzip;q=0.000"], false)]
#[case::weight_negative("gzip", &["gzip;q=-1"], false)]
#[case::weight_above_one("gzip", &["gzip;q=2"], false)]
#[case::weight_not_a_number("gzip", &["gzip;q=NaN"], false)]
#[case::weight_missing("gzip", &["gzip;q="], false)]
#[case::any("gzip", &["*"], true)]
#[case::any_but_it("gzip", &["*, gzip;q=0"], false)]
#[case::any_refused("gzip", &["identity, *;q=0"], false)]
#[case::any_refused_but_it("gzip", &["*;q=0, gzip"], true)]
#[case::second_field("gzip", &["identity", "gzip"], true)]
#[case::contradiction("gzip", &["gzip", "gzip;q=0"], false)]
#[case::both("gzip, br", &["gzip, br"], true)]
#[case::one_of_two("gzip, br", &["gzip"], false)]
#[case::nothing_named("", &["*"], false)]
#[case::identity_named("identity", &["identity, *"], false)]
fn coding_is_accepted_only_by_what_the_header_says(
    #[case] coding: &str,
    #[case] accepted: &[&str],
    #[case] expected: bool,
) {
    assert_eq!(coding::is_accepted(&[coding], accepted), expected);
}

#[test]
fn response_without_a_coding_is_accepted_by_everyone() {
    for accepted in [&[][..], &["gzip"], &["identity;q=0"], &["*;q=0"]] {
        assert!(coding::is_accepted(&[], accepted));
    }
}

// Guards against a body that ends with its connection and is taken for a framed one, since it has a Transfer-Encoding.
#[rstest]
#[case::none(&[], false, false)]
#[case::chunked(&["chunked"], true, false)]
#[case::other_case(&["Chunked"], true, false)]
#[case::identity(&["identity"], false, false)]
#[case::coded(&["gzip"], false, true)]
#[case::coded_and_chunked(&["gzip, chunked"], true, true)]
#[case::in_two_fields(&["gzip", "chunked"], true, true)]
#[case::coded_last(&["chunked, gzip"], false, true)]
#[case::nothing_named(&[""], false, true)]
fn only_chunks_frame_a_body(#[case] codings: &[&str], #[case] is_chunked: bool, #[case] is_coded: bool) {
    assert_eq!(
        (coding::is_chunked(codings), coding::is_transfer_coded(codings)),
        (is_chunked, is_coded)
    );
}
