//! Detection of service outages and of single stalled connections.

use std::sync::Arc;
use std::time::Duration;

use sycamorestile_core::direct::outage;
use sycamorestile_core::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn id(n: usize) -> Arc<str> {
    Arc::from(format!("rank-{n}"))
}

/// Simulates a request every 20 ms during an outage of `outage_ms` and returns how many of them were sent.
fn sent_during_outage(outage_ms: u64) -> usize {
    let mut detector = outage::OutageDetector::default();
    detector.record_progress(&id(0), at(0));
    detector.record_failure(&id(0), at(1));
    detector.record_failure(&id(1), at(2));
    let mut sent = 0;
    for (n, ms) in (10..outage_ms).step_by(20).enumerate() {
        if detector.next_action(at(ms)) != outage::OutageAction::Reject {
            sent += 1;
            // The probe is refused as well.
            detector.record_failure(&id(n % 12), at(ms + 1));
        }
    }
    sent
}

#[test]
fn only_probes_are_sent_during_an_outage() {
    // 50 requests a second for 5 s. A probe every 250 ms is needed to detect the end of the outage.
    let sent = sent_during_outage(5_000);
    assert!(
        (15..=22).contains(&sent),
        "{sent} of 250 requests were sent during the outage"
    );
}

#[test]
fn one_failing_endpoint_is_no_outage() {
    let mut detector = outage::OutageDetector::default();
    detector.record_progress(&id(0), at(0));
    for ms in 1..50 {
        detector.record_failure(&id(3), at(ms));
    }
    assert_eq!(detector.next_action(at(60)), outage::OutageAction::Allow);
}

#[test]
fn progress_ends_the_outage() {
    let mut detector = outage::OutageDetector::default();
    detector.record_failure(&id(0), at(0));
    detector.record_failure(&id(1), at(0));
    assert!(detector.is_unavailable(at(10)));
    detector.record_progress(&id(0), at(20));
    assert_eq!(detector.next_action(at(20)), outage::OutageAction::Allow);
}

#[test]
fn a_connection_counts_as_stalled_only_while_its_service_makes_progress() {
    let mut detector = outage::OutageDetector::default();
    detector.record_progress(&id(0), at(0));
    let silence = Duration::from_secs(1);
    // All streams of the group are silent: the group is held or stalled.
    assert!(!detector.is_stalled_connection(silence, at(1_000)));
    detector.record_progress(&id(0), at(950));
    assert!(detector.is_stalled_connection(silence, at(1_000)));
    // A silence of a few passes is normal.
    assert!(!detector.is_stalled_connection(Duration::from_millis(200), at(1_000)));
}

/// Returns a detector that has seen `count` responses begin within `took_ms`, and progress at endpoint 0 until `until`.
fn detector_with_responses(count: u64, took_ms: u64, until: u64) -> outage::OutageDetector {
    let mut detector = outage::OutageDetector::default();
    for n in 0..count {
        detector.record_response_start(&id(0), Duration::from_millis(took_ms), at(n));
    }
    detector.record_progress(&id(0), at(until));
    detector
}

#[test]
fn a_request_at_a_silent_endpoint_counts_as_stalled_while_others_respond() {
    let detector = detector_with_responses(20, 150, 1_000);
    assert!(detector.is_stalled_request("rank-1", Duration::from_millis(900), at(1_000)));
    assert!(!detector.is_stalled_request("rank-1", Duration::from_millis(500), at(1_000)));
    // The whole group is silent, so its request would wait as long at another rank.
    assert!(!detector.is_stalled_request("rank-1", Duration::from_millis(1_900), at(2_000)));
}

#[test]
fn a_request_in_the_queue_of_a_busy_endpoint_is_not_stalled() {
    let mut detector = detector_with_responses(20, 150, 1_000);
    // The endpoint continues its other streams.
    detector.record_progress(&id(1), at(900));
    assert!(!detector.is_stalled_request("rank-1", Duration::from_millis(900), at(1_000)));
    // All endpoints of the service take long to begin a response.
    let detector = detector_with_responses(20, 1_200, 1_000);
    assert!(!detector.is_stalled_request("rank-1", Duration::from_millis(1_100), at(1_000)));
}
