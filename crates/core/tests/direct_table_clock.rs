//! Conversion of the table's clock to local time.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::table_clock::TableClock;
use sycamorestile_core::time::Time;

/// Simulates calls that wait up to 2 s, with random delays in both directions, while the table's clock runs faster by
/// `drift`. Returns by how many milliseconds a converted time was at most later than the response was made, and the mean
/// lag behind it.
fn simulate(seed: u64, drift: f64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut clock = TableClock::default();
    let (mut now, mut max_error, mut lag, mut count) = (1_000.0_f64, f64::MIN, 0.0, 0.0);
    for call in 0..500 {
        let sent = now;
        let wait = if clock.is_stale() {
            0.0
        } else {
            rng.random_range(0.0..2_000.0)
        };
        let request_ms = if call % 50 == 7 {
            300.0
        } else {
            rng.random_range(0.5..3.0)
        };
        let answered_at = sent + request_ms + wait;
        now = answered_at
            + if call % 31 == 3 {
                400.0
            } else {
                rng.random_range(0.5..3.0)
            };
        let reading = Duration::from_secs_f64((answered_at * (1.0 + drift) + 77_000.0) / 1_000.0);
        let local = clock.to_local_time(Time::from_micros((sent * 1_000.0) as u64), reading);
        let local = local.as_micros() as f64 / 1_000.0;
        max_error = max_error.max(local - answered_at);
        lag += answered_at - local;
        count += 1.0;
    }
    (max_error, lag / count)
}

#[test]
fn a_converted_time_is_never_later_than_the_response() {
    for seed in 0..50 {
        for drift in [-100e-6, 0.0, 100e-6] {
            let (max_error, _) = simulate(seed, drift);
            // Allows for rounding to whole microseconds.
            assert!(
                max_error <= 0.002,
                "seed {seed}, drift {drift}: {max_error} ms later than the response"
            );
        }
    }
}

#[test]
fn a_converted_time_lags_less_than_calls_wait() {
    for seed in 0..20 {
        let (_, lag) = simulate(seed, 0.0);
        assert!(
            lag < 100.0,
            "seed {seed}: {lag} ms mean lag, while calls wait 1,000 ms on average"
        );
    }
}

#[test]
fn a_restarted_clock_is_sampled_again() {
    let mut clock = TableClock::default();
    clock.to_local_time(Time::from_millis(1_000), Duration::from_secs(500));
    let local = clock.to_local_time(Time::from_millis(9_000), Duration::from_secs(2));
    assert_eq!(local, Time::from_millis(9_000));
}
