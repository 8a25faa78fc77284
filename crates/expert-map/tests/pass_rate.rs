//! Tests of measuring a group's pass rate.

use std::time::Duration;

use sycamorestile_expert_map::pass_rate::PassRate;

/// Reports one pass every 50 ms for `passes` passes, beginning after pass `first`, and returns the time of the last.
fn report_passes(rate: &mut PassRate, epoch: u64, first: u64, passes: u64, start: Duration) -> Duration {
    for n in 0..passes {
        rate.observe(epoch, first + n, start + Duration::from_millis(50 * n));
    }
    start + Duration::from_millis(50 * passes)
}

#[test]
fn a_late_report_of_an_old_pass_does_not_raise_the_rate() {
    let mut rate = PassRate::default();
    let now = report_passes(&mut rate, 1, 100, 100, Duration::ZERO);
    // An instance that was suspended for 4 s delivers the report that it read before.
    rate.observe(1, 120, now);
    report_passes(&mut rate, 1, 200, 20, now);
    assert!(
        (15.0..25.0).contains(&rate.per_second()),
        "{} passes/s",
        rate.per_second()
    );
}

#[test]
fn a_new_epoch_restarts_the_measurement() {
    let mut rate = PassRate::default();
    let now = report_passes(&mut rate, 1, 1_000, 100, Duration::ZERO);
    report_passes(&mut rate, 2, 0, 20, now);
    assert!(
        (15.0..25.0).contains(&rate.per_second()),
        "{} passes/s",
        rate.per_second()
    );
}
