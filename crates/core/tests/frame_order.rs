//! Sequence check of frames with duplicates, gaps and frames of other attempts, and splitting of event streams.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::attempt_id;
use sycamorestile_core::event_splitter;
use sycamorestile_core::event_stream;
use sycamorestile_core::frame_order;

#[test]
fn only_the_frames_of_the_attempt_are_accepted_in_order() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut order = frame_order::FrameOrder::new(attempt_id::AttemptId::new(1));
        let mut accepted = Vec::new();
        for _ in 0..400 {
            let attempt = attempt_id::AttemptId::new(rng.random_range(1..3));
            let seq = frame_order::FrameSeq(rng.random_range(0..20));
            let next = order.next_seq();
            let disposition = order.check(attempt, seq);
            match disposition {
                frame_order::FrameDisposition::Accept => accepted.push(seq.0),
                frame_order::FrameDisposition::OtherAttempt => assert_eq!(attempt, attempt_id::AttemptId::new(2)),
                frame_order::FrameDisposition::Duplicate => assert!(seq < next),
                frame_order::FrameDisposition::Gap => assert!(seq > next),
            }
        }
        let expected: Vec<u32> = (0..accepted.len() as u32).collect();
        assert_eq!(accepted, expected, "seed {seed}");
    }
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_chunked() {
    let stream = b"data: 1\r\n\r\ndata: {\"a\":2}\n\nevent: end\ndata: {}\n\n".to_vec();
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut splitter = event_splitter::EventSplitter::default();
        let mut events = Vec::new();
        let mut rest = &*stream;
        while !rest.is_empty() {
            let chunk_len = rng.random_range(1..=rest.len());
            events.extend(splitter.push(&rest[..chunk_len]).expect("the events are short"));
            rest = &rest[chunk_len..];
        }
        assert_eq!(events.len(), 3, "seed {seed}");
        assert_eq!(events[0], b"data: 1\n\n");
        assert_eq!(events.iter().filter(|e| event_splitter::is_end_event(e)).count(), 1);
        assert!(event_splitter::is_end_event(&events[2]));
    }
}

#[test]
fn an_event_that_is_too_long_is_an_error() {
    let mut splitter = event_splitter::EventSplitter::default();
    let long = vec![b'x'; event_stream::MAX_EVENT_BYTES + 1];
    assert_eq!(splitter.push(&long), Err(event_splitter::EventTooLong));
}
