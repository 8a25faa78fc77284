//! Splitting of streams between events.

use proptest::prelude::*;
use sycamorestile_core::direct::event_buffer::EventBuffer;

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
