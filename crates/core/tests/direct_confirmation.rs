//! Confirmations of the declarations, which one gateway of a failure domain shares with the others.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use sycamorestile_core::direct::confirmation;
use sycamorestile_core::direct::freshness;
use sycamorestile_core::time::Time;

/// Time within which a revoked key must stop being honoured.
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
    assert!(
        second.is_reader(ms(0)),
        "instances with a later name are not its reader"
    );
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
    // A reading from before the own read confirms nothing new.
    assert_eq!(watch.to_local_time(Duration::from_secs(9), ms(1_100)), None);
    // More time passed on the table's clock than locally, so the clock was restarted.
    assert_eq!(watch.to_local_time(Duration::from_secs(60), ms(1_100)), None);
    let local = watch
        .to_local_time(Duration::from_millis(10_500), ms(2_000))
        .expect("the reading follows the own read");
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
    let read_at = read_at.expect("the last confirmation gets old");
    // Two calls of 0.7 s may fail before keys are no longer honoured.
    assert!(
        freshness.allows_keys(ms(read_at + 1_400), REVOCATION_LIMIT),
        "read at {read_at} ms"
    );
    assert!(
        !watch.should_read(Some(Duration::from_secs(9)), false, ms(read_at + 100)),
        "a read was requested 100 ms ago"
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
    /// With any delays and any drift of the clocks, the local time of a confirmation is never later than the read.
    #[test]
    fn converted_times_are_never_later_than_the_read(
        origin in 0_u64..1_000_000,
        drift in -150.0..150.0_f64,
        own_sent in 0_u64..10_000,
        request_ms in 0_u64..2_000,
        read_after in 0_u64..100_000,
        received_after in 0_u64..5_000,
    ) {
        // Reading of the table's clock at a local time.
        let table = |own_ms: u64| {
            Duration::from_secs_f64((origin as f64 + own_ms as f64 * (1.0 + drift * 1e-6)) / 1e3)
        };
        let mut watch = watch("gateway-2");
        // The table responds some time after the call was sent.
        watch.record_read(ms(own_sent), table(own_sent + request_ms));
        let read_at = own_sent + request_ms + read_after;
        let now = ms(read_at + received_after);
        if let Some(local) = watch.to_local_time(table(read_at), now) {
            prop_assert!(local <= ms(read_at), "{local:?} is later than the read at {read_at} ms");
        }
    }
}
