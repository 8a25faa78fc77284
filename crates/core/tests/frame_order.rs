//! Late, doubled, reordered and foreign frames never enter an answer.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::attempt_id;
use sycamorestile_core::event_splitter;
use sycamorestile_core::frame_order;

#[test]
fn an_answer_is_made_of_its_own_frames_in_order() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut order = frame_order::FrameOrder::new(attempt_id::AttemptId::new(1));
        let mut taken = Vec::new();
        for _ in 0..400 {
            let attempt = attempt_id::AttemptId::new(rng.random_range(1..3));
            let seq = frame_order::FrameSeq(rng.random_range(0..20));
            let next = order.next_seq();
            let verdict = order.check(attempt, seq);
            match verdict {
                frame_order::FrameDisposition::Accept => taken.push(seq.0),
                frame_order::FrameDisposition::OtherAttempt => assert_eq!(attempt, attempt_id::AttemptId::new(2)),
                frame_order::FrameDisposition::Duplicate => assert!(seq < next),
                frame_order::FrameDisposition::Gap => assert!(seq > next),
            }
        }
        let expected: Vec<u32> = (0..taken.len() as u32).collect();
        assert_eq!(taken, expected, "seed {seed}");
    }
}

#[test]
fn events_are_the_same_however_the_bytes_are_cut() {
    let stream = b"data: 1\r\n\r\ndata: {\"a\":2}\n\nevent: end\ndata: {}\n\n".to_vec();
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut split = event_splitter::EventSplitter::default();
        let mut events = Vec::new();
        let mut rest = &*stream;
        while !rest.is_empty() {
            let cut = rng.random_range(1..=rest.len());
            events.extend(split.push(&rest[..cut]).expect("short events"));
            rest = &rest[cut..];
        }
        assert_eq!(events.len(), 3, "seed {seed}");
        assert_eq!(events[0], b"data: 1\n\n");
        assert_eq!(events.iter().filter(|e| event_splitter::is_end_event(e)).count(), 1);
        assert!(event_splitter::is_end_event(&events[2]));
    }
}

#[test]
fn an_event_without_end_is_refused() {
    let mut split = event_splitter::EventSplitter::default();
    let long = vec![b'x'; event_splitter::MAX_EVENT_BYTES + 1];
    assert_eq!(split.push(&long), Err(event_splitter::EventTooLong));
}
