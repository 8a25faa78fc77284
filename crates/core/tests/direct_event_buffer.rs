//! Splitting of streams between events.

use proptest::prelude::*;
use rstest::rstest;
use sycamorestile_core::direct::event_buffer::{EventBuffer, EventFault};

fn stream(events: &[(u32, String)], ending: &str) -> Vec<u8> {
    let text = events
        .iter()
        .map(|(id, data)| format!("id: {id}{ending}data: {data}{ending}{ending}"));
    text.collect::<String>().into_bytes()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn output_equals_input(
        data in prop::collection::vec("[a-z ]{0,20}", 1..20),
        cuts in prop::collection::vec(1_usize..40, 1..40),
        crlf in any::<bool>(),
    ) {
        let events: Vec<(u32, String)> = data.into_iter().enumerate().map(|(n, d)| (n as u32 + 1, d)).collect();
        let input = stream(&events, if crlf { "\r\n" } else { "\n" });
        let (mut buffer, mut out, mut rest) = (EventBuffer::default(), Vec::new(), input.as_slice());
        for len in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*len).min(rest.len()));
            out.extend_from_slice(&buffer.push(part).expect("events are short"));
            rest = after;
            // The output ends with a complete event, whose identifier is the last one.
            let text = String::from_utf8(out.clone()).expect("the stream is text");
            let last = text.lines().filter_map(|l| l.strip_prefix("id: ")).next_back();
            prop_assert_eq!(buffer.last_id(), last);
        }
        prop_assert_eq!(out, input);
        prop_assert!(!buffer.has_partial());
    }
}

#[test]
fn a_partial_event_is_held_back() {
    let mut buffer = EventBuffer::after(Some("3".to_owned()));
    let out = buffer.push(b"id: 4\ndata: a\n\nid: 5\nda").expect("short");
    assert_eq!(out.as_ref(), b"id: 4\ndata: a\n\n");
    assert_eq!(buffer.last_id(), Some("4"));
    assert!(buffer.has_partial());
    buffer.discard_partial();
    assert!(!buffer.has_partial());
    let out = buffer.push(b"id: 5\ndata: b\n\n").expect("short");
    assert_eq!(out.as_ref(), b"id: 5\ndata: b\n\n");
}

#[test]
fn an_event_over_the_size_limit_is_an_error() {
    let mut buffer = EventBuffer::default();
    let long = vec![b'x'; 2 << 20];
    buffer.push(&long).unwrap_err();
}

// Guards against the text of an error that is forwarded as an event.
#[rstest]
#[case::text("internal error\n\n")]
#[case::head("HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\n")]
#[case::json("{\n  \"id\": 7\n}\n\n")]
#[case::indented(" data: x\n\n")]
fn what_is_no_event_is_held_back_with_all_that_follows(#[case] text: &str) {
    let mut buffer = EventBuffer::default();
    let mixed = format!("id: 1\ndata: a\n\n{text}id: 2\ndata: b\n\n");
    let out = buffer.push(mixed.as_bytes()).expect("the first event");
    assert_eq!(
        (out.as_ref(), buffer.fault()),
        (&b"id: 1\ndata: a\n\n"[..], Some(EventFault::NotAnEvent))
    );
    assert_eq!(buffer.push(b"id: 2\ndata: b\n\n"), Err(EventFault::NotAnEvent));
    buffer.discard_partial();
    let out = buffer.push(b"id: 2\ndata: b\n\n").expect("another endpoint goes on");
    assert_eq!(out.as_ref(), b"id: 2\ndata: b\n\n");
}

// Guards against a check that holds back what a stream of events may consist of.
#[rstest]
#[case::comment(": keep\n\n")]
#[case::blank_lines("\n\n\n")]
#[case::data_alone("data: a\n\n")]
#[case::field_without_value("data\n\n")]
#[case::field_without_value_with_carriage_return("data\r\n\r\n")]
#[case::unknown_field_first("x-weight-versions: 7\nid: 9\ndata: a\n\n")]
#[case::end("event: end\n\n")]
#[case::other_identifier("id: a7\ndata: a\n\n")]
fn all_kinds_of_events_are_released(#[case] text: &str) {
    let mut buffer = EventBuffer::after(Some("8".to_owned()));
    let out = buffer.push(text.as_bytes()).expect("events");
    assert_eq!((out.as_ref(), buffer.fault()), (text.as_bytes(), None));
}

// Guards against pieces that come twice or are missing where another endpoint goes on.
#[rstest]
#[case::goes_on(3, None)]
#[case::the_last_one_again(2, Some(EventFault::OutOfOrder))]
#[case::from_the_beginning(1, Some(EventFault::OutOfOrder))]
#[case::one_is_missing(4, Some(EventFault::OutOfOrder))]
fn another_endpoint_goes_on_with_the_next_event(#[case] first: u32, #[case] expected: Option<EventFault>) {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n").expect("events");
    buffer.discard_partial();
    let pushed = buffer.push(format!("id: {first}\ndata: c\n\n").as_bytes());
    assert_eq!(pushed.err(), expected);
}
