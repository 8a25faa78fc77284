//! Group commit of claims: number of writes per keyed call, and time until a claim is written.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::claim_batch;
use sycamorestile_core::time;

/// Duration of a write to the table.
const WRITE_DURATION: Duration = Duration::from_millis(5);
/// Duration of a booking at the endpoint.
const BOOKING_DURATION: Duration = Duration::from_millis(10);

struct RunStats {
    writes: u64,
    bookings: u64,
    /// Longest time from the request for a claim to the end of its write.
    longest_claim: Duration,
}

/// Simulates one agent for 20 s with `rate` keyed bookings per second. Each booking writes its claim and its response.
fn simulate(rate: f64, write_duration: Duration) -> RunStats {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut batch: claim_batch::ClaimBatch<Option<time::Time>> = claim_batch::ClaimBatch::default();
    let mut next_arrival = time::Time::ZERO;
    let mut responses: Vec<time::Time> = Vec::new();
    let mut write_in_progress: Option<(time::Time, Vec<Option<time::Time>>)> = None;
    let mut stats = RunStats {
        writes: 0,
        bookings: 0,
        longest_claim: Duration::ZERO,
    };
    for tick in 0..200_000_u64 {
        let now = time::Time::from_micros(tick * 100);
        while next_arrival <= now {
            batch.push(Some(next_arrival));
            stats.bookings += 1;
            let gap = -rng.random::<f64>().max(1e-12).ln() / rate;
            next_arrival = next_arrival + Duration::from_secs_f64(gap);
        }
        while responses.first().is_some_and(|due| *due <= now) {
            responses.remove(0);
            batch.push(None);
        }
        if write_in_progress.as_ref().is_some_and(|(end, _)| *end <= now) {
            let (_, rows) = write_in_progress.take().expect("a write is in progress");
            batch.finish_write(now, false);
            for pushed_at in rows.into_iter().flatten() {
                stats.longest_claim = stats.longest_claim.max(now.since(pushed_at));
                responses.push(now + BOOKING_DURATION);
            }
        }
        if let Some(rows) = batch.take_due(now) {
            write_in_progress = Some((now + write_duration, rows));
        }
    }
    stats.writes = batch.write_count();
    stats
}

#[test]
fn writes_per_booking_fall_as_the_rate_rises() {
    for (rate, max_per_booking) in [(10.0, 2.0), (100.0, 1.6), (1_000.0, 0.25)] {
        let stats = simulate(rate, WRITE_DURATION);
        let per_booking = stats.writes as f64 / stats.bookings as f64;
        let per_second = stats.writes as f64 / 20.0;
        println!(
            "{rate} bookings/s: {per_booking:.2} writes per booking, {per_second:.0} writes/s, longest claim {} ms",
            stats.longest_claim.as_millis()
        );
        assert!(
            per_booking <= max_per_booking,
            "{per_booking} writes per booking at {rate}/s"
        );
        assert!(per_second <= 250.0, "{per_second} writes/s");
        assert!(
            stats.longest_claim <= Duration::from_millis(60),
            "{:?}",
            stats.longest_claim
        );
    }
}

#[test]
fn a_slow_table_receives_larger_batches_instead_of_more_writes() {
    let slow = simulate(500.0, Duration::from_millis(80));
    let writes = slow.writes as f64 / 20.0;
    println!("80 ms per write, 500 bookings/s: {writes:.0} writes/s");
    assert!(writes <= 13.0, "{writes} writes/s");
}
