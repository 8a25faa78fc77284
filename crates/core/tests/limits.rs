//! Limits of organisations over all entries of a failure domain, without a coordinator: how far they are over or under.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::limits;
use sycamorestile_core::name;
use sycamorestile_core::time;

/// Entries of the domain.
const ENTRIES: usize = 8;
/// Declared limit.
const LIMIT: limits::Limit = limits::Limit {
    calls_per_second: 200.0,
    burst: 40.0,
};
/// Interval of digests between entries.
const EXCHANGE: Duration = Duration::from_millis(500);
/// Length of a run.
const SECONDS: u64 = 30;

fn name(text: &str) -> name::Name {
    name::Name::new(text).unwrap()
}

/// A spread of demand over entries and time.
struct Case {
    what: &'static str,
    /// Least mean share of the limit.
    least: f64,
    /// Calls a second asked at an entry in a second.
    wanted: fn(usize, u64) -> f64,
}

/// Calls admitted a second by the whole domain, as a share of the limit, after a warm-up of 5 s.
struct Admitted {
    mean: f64,
    /// Busiest single second.
    most: f64,
}

/// Drives the domain. `wanted` gives the calls a second asked at an entry in a given second.
fn drive<F>(connected: bool, wanted: F) -> Admitted
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
            let chance = wanted(entry, second) / 1_000.0;
            if rng.random_bool(chance.min(1.0)) && limiter.try_acquire(&org, LIMIT, now).is_ok() {
                admitted[second as usize] += 1;
            }
        }
        if connected && milli % EXCHANGE.as_millis() as u64 == 0 {
            exchange(&mut limiters, now);
        }
    }
    let judged = &admitted[5..];
    let share = |count: u32| f64::from(count) / LIMIT.calls_per_second;
    Admitted {
        mean: judged.iter().map(|count| share(*count)).sum::<f64>() / judged.len() as f64,
        most: judged.iter().map(|count| share(*count)).fold(0.0, f64::max),
    }
}

fn exchange(limiters: &mut [limits::Limiter], now: time::Time) {
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
fn the_domain_stays_near_the_limit_however_demand_is_spread() {
    let cases = [
        Case {
            what: "even",
            least: 0.9,
            wanted: |_, _| 75.0,
        },
        Case {
            what: "skewed",
            least: 0.9,
            wanted: |entry, _| if entry == 0 { 530.0 } else { 10.0 },
        },
        Case {
            what: "moving",
            least: 0.7,
            wanted: |entry, second| {
                if (second / 5) as usize % ENTRIES == entry {
                    600.0
                } else {
                    0.0
                }
            },
        },
    ];
    for Case { what, least, wanted } in cases {
        let connected = drive(true, wanted);
        println!(
            "{what}, three times the limit asked: mean {:.3}, busiest second {:.3}",
            connected.mean, connected.most
        );
        assert!(
            connected.mean >= least && connected.mean <= 1.05,
            "{what}: {}",
            connected.mean
        );
        assert!(connected.most <= 1.2, "{what}: {}", connected.most);
    }
}

#[test]
fn a_domain_whose_entries_hear_nothing_of_each_other_stays_below_the_limit() {
    let even = drive(false, |_, _| 75.0);
    let skewed = drive(false, |entry, _| if entry == 0 { 530.0 } else { 10.0 });
    println!("cut off: even {:.3}, skewed {:.3}", even.mean, skewed.mean);
    assert!((0.95..=1.05).contains(&even.mean), "{}", even.mean);
    // The busy entry has its equal share only; the others use up what they ask for.
    assert!((0.3..=1.05).contains(&skewed.mean), "{}", skewed.mean);
}

#[test]
fn below_the_limit_nobody_is_refused() {
    let half = drive(true, |_, _| 12.0);
    let asked = 12.0 * ENTRIES as f64 / LIMIT.calls_per_second;
    assert!(half.mean >= asked * 0.97, "{} of {asked}", half.mean);
}

#[test]
fn only_organisations_that_call_take_memory() {
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
