//! Confirmations of the declarations that one gateway of a failure domain reads and the others take over.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use sycamorestile_core::direct::confirmation;
use sycamorestile_core::direct::freshness;
use sycamorestile_core::time::Time;

/// Time within which a revoked key must stop.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

fn watch(name: &str) -> confirmation::ConfirmationWatch {
    confirmation::ConfirmationWatch::new(Arc::from(name), confirmation::reader_interval(REVOCATION_LIMIT))
}

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

const fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn the_next_instance_reads_when_the_reader_stops_confirming() {
    let mut second = watch("gateway-2");
    assert!(second.is_reader(ms(0)));
    second.record_peer(&name("gateway-3"), 1, ms(0));
    assert!(second.is_reader(ms(0)), "names that come later do not read for it");
    second.record_peer(&name("gateway-1"), 1, ms(100));
    assert!(!second.is_reader(ms(2_000)));
    assert!(second.is_reader(ms(3_000)));
}

#[test]
fn a_repeated_reading_does_not_keep_a_reader_alive() {
    let mut second = watch("gateway-2");
    for step in 0..20 {
        second.record_peer(&name("gateway-1"), 7, ms(step * 250));
    }
    assert!(second.is_reader(ms(5_000)));
}

#[test]
fn readings_need_an_own_read_of_the_same_clock() {
    let mut watch = watch("gateway-2");
    assert_eq!(watch.to_local_time(Duration::from_secs(10), ms(100)), None);
    watch.record_read(ms(1_000), Duration::from_secs(10));
    // Read before the own read: of no use.
    assert_eq!(watch.to_local_time(Duration::from_secs(9), ms(1_100)), None);
    // Ahead of what can have passed: the clock is another one.
    assert_eq!(watch.to_local_time(Duration::from_secs(60), ms(1_100)), None);
    let local = watch
        .to_local_time(Duration::from_millis(10_500), ms(2_000))
        .expect("it is placed");
    assert!(local <= ms(1_500) && local >= ms(1_499), "{local:?}");
}

#[test]
fn an_instance_reads_well_before_its_keys_expire() {
    let mut watch = watch("gateway-2");
    let mut freshness = freshness::Freshness::default();
    freshness.confirm(ms(0));
    let read_at = (0..5_000).step_by(250).find(|at| {
        let now = ms(*at);
        watch.should_read(freshness.age(now), false, now)
    });
    let read_at = read_at.expect("it asks");
    // Two calls of 0.7 s may fail before keys are no longer honoured.
    assert!(
        freshness.allows_keys(ms(read_at + 1_400), REVOCATION_LIMIT),
        "asked at {read_at} ms"
    );
    assert!(
        !watch.should_read(Some(Duration::from_secs(9)), false, ms(read_at + 100)),
        "one read at a time"
    );
}

#[test]
fn a_newer_version_is_read_at_once() {
    let mut watch = watch("gateway-2");
    assert!(watch.should_read(Some(Duration::ZERO), true, ms(10)));
    assert!(!watch.should_read(Some(Duration::ZERO), true, ms(20)));
    assert!(watch.should_read(Some(Duration::ZERO), true, ms(900)));
}

proptest! {
    /// Whatever the delays and the drift of the clocks, a confirmation is never placed later than the table was read.
    #[test]
    fn converted_times_are_never_later_than_the_read(
        origin in 0_u64..1_000_000,
        drift in -150.0..150.0_f64,
        own_sent in 0_u64..10_000,
        request_ms in 0_u64..2_000,
        read_after in 0_u64..100_000,
        received_after in 0_u64..5_000,
    ) {
        // The table's clock, seen from the instance's own line.
        let table = |own_ms: u64| {
            Duration::from_secs_f64((origin as f64 + own_ms as f64 * (1.0 + drift * 1e-6)) / 1e3)
        };
        let mut watch = watch("gateway-2");
        // The table was read some time after the call was sent.
        watch.record_read(ms(own_sent), table(own_sent + request_ms));
        let read_at = own_sent + request_ms + read_after;
        let now = ms(read_at + received_after);
        if let Some(local) = watch.to_local_time(table(read_at), now) {
            prop_assert!(local <= ms(read_at), "{local:?} against {read_at}");
        }
    }
}
