//! Group commit: how many writes of the table a booking costs.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::claim_batch;
use sycamorestile_core::time;

/// Time that a write takes.
const WRITE: Duration = Duration::from_millis(5);
/// Time that a booking takes at the endpoint.
const BOOKING: Duration = Duration::from_millis(10);

struct Driven {
    writes: u64,
    bookings: u64,
    /// Longest wait for a claim.
    longest: Duration,
}

/// One agent under so many keyed bookings a second for 20 s. Each booking writes its claim, then its answer.
fn drive(rate: f64, write: Duration) -> Driven {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut batch: claim_batch::ClaimBatch<Option<time::Time>> = claim_batch::ClaimBatch::default();
    let mut arrivals = time::Time::ZERO;
    let mut answers: Vec<time::Time> = Vec::new();
    let mut writing: Option<(time::Time, Vec<Option<time::Time>>)> = None;
    let mut driven = Driven {
        writes: 0,
        bookings: 0,
        longest: Duration::ZERO,
    };
    for tick in 0..200_000_u64 {
        let now = time::Time::from_micros(tick * 100);
        while arrivals <= now {
            batch.push(Some(arrivals));
            driven.bookings += 1;
            let gap = -rng.random::<f64>().max(1e-12).ln() / rate;
            arrivals = arrivals + Duration::from_secs_f64(gap);
        }
        while answers.first().is_some_and(|due| *due <= now) {
            answers.remove(0);
            batch.push(None);
        }
        if writing.as_ref().is_some_and(|(end, _)| *end <= now) {
            let (_, rows) = writing.take().expect("a write is under way");
            batch.finish_write(now, false);
            for claimed in rows.into_iter().flatten() {
                driven.longest = driven.longest.max(now.since(claimed));
                answers.push(now + BOOKING);
            }
        }
        if let Some(rows) = batch.take_due(now) {
            writing = Some((now + write, rows));
        }
    }
    driven.writes = batch.write_count();
    driven
}

#[test]
fn writes_a_booking_fall_with_the_rate() {
    for (rate, most) in [(10.0, 2.0), (100.0, 1.6), (1_000.0, 0.25)] {
        let driven = drive(rate, WRITE);
        let each = driven.writes as f64 / driven.bookings as f64;
        let a_second = driven.writes as f64 / 20.0;
        println!(
            "{rate} bookings/s: {each:.2} writes a booking, {a_second:.0} writes/s, longest claim {} ms",
            driven.longest.as_millis()
        );
        assert!(each <= most, "{each} writes a booking at {rate}/s");
        assert!(a_second <= 250.0, "{a_second} writes/s");
        assert!(driven.longest <= Duration::from_millis(60), "{:?}", driven.longest);
    }
}

#[test]
fn a_slow_table_gets_larger_batches_and_not_more_writes() {
    let slow = drive(500.0, Duration::from_millis(80));
    let writes = slow.writes as f64 / 20.0;
    println!("80 ms a write, 500 bookings/s: {writes:.0} writes/s");
    assert!(writes <= 13.0, "{writes} writes/s");
}
