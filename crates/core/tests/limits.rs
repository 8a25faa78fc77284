//! Accuracy of the rate limits of organisations that the entries of a failure domain enforce without a coordinator.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::limits;
use sycamorestile_core::name;
use sycamorestile_core::time;

/// Number of entries in the failure domain.
const ENTRIES: usize = 8;
/// Declared limit of the organisation.
const LIMIT: limits::Limit = limits::Limit {
    calls_per_second: 200.0,
    burst: 40.0,
};
/// Interval at which entries exchange their demand.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Duration of a run, in seconds.
const SECONDS: u64 = 30;

fn name(text: &str) -> name::Name {
    name::Name::new(text).unwrap()
}

/// Distribution of demand over entries and time.
struct Case {
    label: &'static str,
    /// Minimum of [`Admitted::mean`].
    min_mean: f64,
    /// Returns the offered rate at an entry in a given second, in calls per second.
    offered_rate: fn(usize, u64) -> f64,
}

/// Rate of admitted calls over the whole failure domain as a fraction of the limit, after a warm-up of 5 s.
struct Admitted {
    mean: f64,
    /// Maximum over all seconds.
    peak: f64,
}

/// Simulates the failure domain for [`SECONDS`]. `offered_rate` returns the offered rate at an entry in a given second,
/// in calls per second. Entries exchange their demand only if `connected` is set.
fn drive<F>(connected: bool, offered_rate: F) -> Admitted
where
    F: Fn(usize, u64) -> f64,
{
    let org = name("acme");
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut limiters: Vec<limits::Limiter> = (0..ENTRIES).map(|_| limits::Limiter::default()).collect();
    for limiter in &mut limiters {
        limiter.set_entries(ENTRIES as u32);
    }
    let mut admitted = vec![0_u32; SECONDS as usize];
    for milli in 0..SECONDS * 1_000 {
        let now = time::Time::from_millis(milli);
        let second = milli / 1_000;
        for (entry, limiter) in limiters.iter_mut().enumerate() {
            let chance = offered_rate(entry, second) / 1_000.0;
            if rng.random_bool(chance.min(1.0)) && limiter.try_acquire(&org, LIMIT, now).is_ok() {
                admitted[second as usize] += 1;
            }
        }
        if connected && milli % GOSSIP_INTERVAL.as_millis() as u64 == 0 {
            exchange_demands(&mut limiters, now);
        }
    }
    let measured = &admitted[5..];
    let share = |count: u32| f64::from(count) / LIMIT.calls_per_second;
    Admitted {
        mean: measured.iter().map(|count| share(*count)).sum::<f64>() / measured.len() as f64,
        peak: measured.iter().map(|count| share(*count)).fold(0.0, f64::max),
    }
}

fn exchange_demands(limiters: &mut [limits::Limiter], now: time::Time) {
    let demands: Vec<_> = limiters.iter().map(|limiter| limiter.demands(now)).collect();
    for (entry, limiter) in limiters.iter_mut().enumerate() {
        for (peer, demands) in demands.iter().enumerate() {
            if peer != entry {
                limiter.record_peer_demand(&name(&format!("entry-{peer}")), demands.clone(), now);
            }
        }
        limiter.tick(now);
    }
}

#[test]
fn the_domain_admits_close_to_the_limit_for_any_distribution_of_demand() {
    let cases = [
        Case {
            label: "even",
            min_mean: 0.9,
            offered_rate: |_, _| 75.0,
        },
        Case {
            label: "skewed",
            min_mean: 0.9,
            offered_rate: |entry, _| if entry == 0 { 530.0 } else { 10.0 },
        },
        Case {
            label: "moving",
            min_mean: 0.7,
            offered_rate: |entry, second| {
                if (second / 5) as usize % ENTRIES == entry {
                    600.0
                } else {
                    0.0
                }
            },
        },
    ];
    for Case {
        label,
        min_mean,
        offered_rate,
    } in cases
    {
        let connected = drive(true, offered_rate);
        println!(
            "{label}, demand of three times the limit: mean {:.3}, busiest second {:.3}",
            connected.mean, connected.peak
        );
        assert!(
            connected.mean >= min_mean && connected.mean <= 1.05,
            "{label}: {}",
            connected.mean
        );
        assert!(connected.peak <= 1.2, "{label}: {}", connected.peak);
    }
}

#[test]
fn disconnected_entries_do_not_exceed_the_limit_together() {
    let even = drive(false, |_, _| 75.0);
    let skewed = drive(false, |entry, _| if entry == 0 { 530.0 } else { 10.0 });
    println!("disconnected: even {:.3}, skewed {:.3}", even.mean, skewed.mean);
    assert!((0.95..=1.05).contains(&even.mean), "{}", even.mean);
    // The busy entry admits only its equal share. The other entries admit all of their low demand.
    assert!((0.3..=1.05).contains(&skewed.mean), "{}", skewed.mean);
}

#[test]
fn calls_below_the_limit_are_admitted() {
    let half = drive(true, |_, _| 12.0);
    let offered = 12.0 * ENTRIES as f64 / LIMIT.calls_per_second;
    assert!(half.mean >= offered * 0.97, "{} of {offered}", half.mean);
}

#[test]
fn only_organisations_that_send_calls_use_memory() {
    let mut limiter = limits::Limiter::default();
    let organisations: Vec<name::Name> = (0..20_000).map(|n| name(&format!("org-{n}"))).collect();
    for org in &organisations {
        assert_eq!(limiter.try_acquire(org, LIMIT, time::Time::ZERO), Ok(()));
    }
    assert_eq!(limiter.demands(time::Time::ZERO).len(), 20_000);
    let later = time::Time::ZERO + Duration::from_secs(61);
    assert_eq!(limiter.try_acquire(&organisations[7], LIMIT, later), Ok(()));
    limiter.tick(later);
    assert_eq!(limiter.demands(later).len(), 1);
}
