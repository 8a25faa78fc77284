//! Identifiers of requests by their content.

use rstest::rstest;
use sycamorestile_core::direct::request_content::RequestContent;

const CONTENT: RequestContent<'static> = RequestContent {
    organisation: Some("acme"),
    method: "GET",
    host: "calls.example",
    target: "/lots/7?full=1",
    prompt: None,
    body: b"lot",
};

#[rstest]
#[case::organisation(RequestContent { organisation: Some("apex"), ..CONTENT })]
#[case::unknown_organisation(RequestContent { organisation: None, ..CONTENT })]
#[case::method(RequestContent { method: "PUT", ..CONTENT })]
#[case::host(RequestContent { host: "other.example", ..CONTENT })]
#[case::target(RequestContent { target: "/lots/7?full=2", ..CONTENT })]
#[case::prompt(RequestContent { prompt: Some("5afe:40"), ..CONTENT })]
#[case::body(RequestContent { body: b"Lot", ..CONTENT })]
#[case::boundary(RequestContent { target: "/lots/7?full=1l", body: b"ot", ..CONTENT })]
fn requests_that_differ_have_different_identifiers(#[case] other: RequestContent<'static>) {
    assert_ne!(other.identifier(), CONTENT.identifier());
}

#[test]
fn identifier_is_the_same_at_all_instances() {
    // Instances of different builds must agree, so that the value may not change.
    assert_eq!(CONTENT.identifier().as_ref(), "7dc86a9c8edb0ce4");
}
