//! Placing the table's clock on our own time line.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::table_clock::TableClock;
use sycamorestile_core::time::Time;

/// Calls that wait up to 2 s, with random delays both ways, while the table's clock runs by `drift` faster. Gives back by
/// how many milliseconds a placement was ever later than the truth, and the mean lag behind it.
fn play(seed: u64, drift: f64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut clock = TableClock::default();
    let (mut now, mut worst, mut lag, mut count) = (1_000.0_f64, f64::MIN, 0.0, 0.0);
    for call in 0..500 {
        let sent = now;
        let wait = if clock.is_stale() {
            0.0
        } else {
            rng.random_range(0.0..2_000.0)
        };
        let there = if call % 50 == 7 {
            300.0
        } else {
            rng.random_range(0.5..3.0)
        };
        let made = sent + there + wait;
        now = made
            + if call % 31 == 3 {
                400.0
            } else {
                rng.random_range(0.5..3.0)
            };
        let reading = Duration::from_secs_f64((made * (1.0 + drift) + 77_000.0) / 1_000.0);
        let placed = clock.to_local_time(Time::from_micros((sent * 1_000.0) as u64), reading);
        let placed = placed.as_micros() as f64 / 1_000.0;
        worst = worst.max(placed - made);
        lag += made - placed;
        count += 1.0;
    }
    (worst, lag / count)
}

#[test]
fn a_placement_is_never_later_than_the_truth() {
    for seed in 0..50 {
        for drift in [-100e-6, 0.0, 100e-6] {
            let (worst, _) = play(seed, drift);
            // Rounding to whole microseconds.
            assert!(
                worst <= 0.002,
                "seed {seed}, drift {drift}: {worst} ms later than the truth"
            );
        }
    }
}

#[test]
fn a_placement_lags_less_than_the_time_that_calls_wait() {
    for seed in 0..20 {
        let (_, lag) = play(seed, 0.0);
        assert!(
            lag < 100.0,
            "seed {seed}: {lag} ms behind on average, calls wait 1,000 ms on average"
        );
    }
}

#[test]
fn a_clock_that_began_anew_is_placed_anew() {
    let mut clock = TableClock::default();
    clock.to_local_time(Time::from_millis(1_000), Duration::from_secs(500));
    let placed = clock.to_local_time(Time::from_millis(9_000), Duration::from_secs(2));
    assert_eq!(placed, Time::from_millis(9_000));
}
