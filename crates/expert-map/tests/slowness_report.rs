//! Tests of when a rank's slowness is reported.

use sycamorestile_expert_map::slowness_report::SlownessReport;

#[test]
fn a_slow_rank_and_its_recovery_are_reported_once() {
    let mut report = SlownessReport::default();
    assert_eq!(report.update(1.0), None);
    assert_eq!(report.update(12.0), Some(1_200));
    assert_eq!(report.update(12.1), None);
    assert_eq!(report.update(1.02), Some(100));
    assert_eq!(report.update(1.0), None);
}

#[test]
fn small_variations_and_invalid_values_are_not_reported() {
    let mut report = SlownessReport::default();
    for slowness in [1.1, 0.9, 1.25, 1.0, 0.0, -3.0, f64::NAN] {
        assert_eq!(report.update(slowness), None, "{slowness}");
    }
    assert_eq!(report.update(f64::INFINITY), Some(10_000));
}
