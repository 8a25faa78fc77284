//! Placement of the requests of several gateways on the ranks of one group.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::endpoint::{Endpoint, EndpointState};
use sycamorestile_core::direct::placement::{Placement, ReportedLoad};
use sycamorestile_core::time::Time;

const RANKS: usize = 12;
const GATEWAYS: usize = 8;

fn endpoints() -> Vec<Arc<Endpoint>> {
    let endpoint = |n: usize| Endpoint {
        id: Arc::from(format!("rank-{n:02}")),
        service: Arc::from("model"),
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: Arc::from(["a", "b", "c"][n % 3]),
        slots: 12,
        slowness_percent: 100,
        started_at_ms: None,
        state: EndpointState::Ready,
    };
    (0..RANKS).map(|n| Arc::new(endpoint(n))).collect()
}

/// Simulates 60 streams a second, with a mean duration of 2 s, through eight gateways that share their counts every
/// 100 ms or never. Returns the ratio of the largest to the mean load of ranks, averaged over time.
fn imbalance(shares_counts: bool, seed: u64) -> f64 {
    let endpoints = endpoints();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gateways: Vec<Placement> = (0..GATEWAYS).map(|_| Placement::default()).collect();
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    let (mut sum, mut samples) = (0.0, 0);
    for ms in 0..10_000_u64 {
        let now = Time::from_millis(1_000 + ms);
        let ended: Vec<(u64, usize, usize)> = running.iter().copied().filter(|r| r.0 <= ms).collect();
        running.retain(|r| r.0 > ms);
        for (_, gateway, rank) in ended {
            gateways[gateway].attempt_ended(&endpoints[rank].id);
        }
        if rng.random::<f64>() < 0.06 {
            let gateway = rng.random_range(0..GATEWAYS);
            let chance = rng.random();
            let chosen = gateways[gateway].choose(&endpoints, &[], "a", chance, now);
            let id = Arc::clone(&chosen.expect("all twelve endpoints are usable").id);
            let rank = endpoints
                .iter()
                .position(|e| e.id == id)
                .expect("the chosen endpoint is a candidate");
            gateways[gateway].attempt_started(&id);
            running.push((ms + rng.random_range(500..3_500), gateway, rank));
        }
        if shares_counts && ms % 100 == 0 {
            let counts: Vec<_> = gateways.iter().map(Placement::own_in_flight).collect();
            for (n, gateway) in gateways.iter_mut().enumerate() {
                for (m, counts) in counts.iter().enumerate().filter(|(m, _)| *m != n) {
                    gateway.record_peer_counts(&Arc::from(format!("gateway-{m}")), counts.clone(), now);
                }
            }
        }
        if ms > 3_000 {
            let mut loads = [0.0; RANKS];
            for (_, _, rank) in &running {
                loads[*rank] += 1.0;
            }
            let mean = loads.iter().sum::<f64>() / RANKS as f64;
            sum += loads.iter().copied().fold(0.0, f64::max) / mean.max(0.1);
            samples += 1;
        }
    }
    sum / f64::from(samples)
}

#[test]
fn sharing_counts_between_gateways_levels_the_ranks() {
    for seed in 1..=5 {
        let (shared, unshared) = (imbalance(true, seed), imbalance(false, seed));
        println!("seed {seed}: largest over mean load {shared:.3} with shared counts, {unshared:.3} without");
        // The mean is ten streams a rank, so each stream above it adds 0.1. At most two above the mean are expected.
        assert!(shared < 1.25, "seed {seed}: {shared}");
        assert!(shared < unshared, "seed {seed}: {shared} is no better than {unshared}");
    }
}

#[test]
fn an_unreachable_endpoint_is_avoided_during_its_backoff() {
    let endpoints = endpoints();
    let mut placement = Placement::default();
    let now = Time::from_millis(1_000);
    placement.record_failure(&endpoints[0].id, now);
    for n in 0..100 {
        let chosen = placement
            .choose(&endpoints, &[], "a", f64::from(n) / 100.0, now)
            .expect("other endpoints are usable");
        assert_ne!(chosen.id, endpoints[0].id);
    }
    assert!(
        placement.choose(&endpoints[..1], &[], "a", 0.5, now).is_some(),
        "an endpoint in backoff is chosen if there is no other"
    );
    let later = Time::from_millis(1_600);
    placement.attempt_started(&endpoints[1].id);
    let among = [Arc::clone(&endpoints[0]), Arc::clone(&endpoints[1])];
    for _ in 0..20 {
        placement.record_success(&endpoints[0].id, None, later);
    }
    assert_eq!(
        placement.choose(&among, &[], "b", 0.0, later).map(|e| &e.id),
        Some(&endpoints[0].id)
    );
}

#[test]
fn a_load_report_counts_only_while_it_is_recent() {
    let endpoints = endpoints();
    let mut placement = Placement::default();
    let load = ReportedLoad {
        running: 12,
        waiting: 5,
    };
    placement.record_success(&endpoints[0].id, Some(load), Time::from_millis(1_000));
    assert_eq!(placement.in_flight(&endpoints[0].id, Time::from_millis(1_100)), 17);
    assert_eq!(placement.in_flight(&endpoints[0].id, Time::from_millis(3_000)), 0);
}

#[test]
fn counts_of_silent_peers_expire() {
    let endpoints = endpoints();
    let mut placement = Placement::default();
    placement.record_peer_counts(
        &Arc::from("g"),
        vec![(Arc::clone(&endpoints[0].id), 9)],
        Time::from_millis(1_000),
    );
    assert_eq!(placement.in_flight(&endpoints[0].id, Time::from_millis(1_500)), 9);
    assert_eq!(placement.in_flight(&endpoints[0].id, Time::from_millis(4_000)), 0);
    assert_eq!(placement.live_peers(Time::from_millis(4_000)), 0);
}

#[test]
fn a_slow_rank_gets_few_requests() {
    // All ranks of a group wait for the slowest one, so a rank that takes ten times as long must get less than a tenth
    // of the requests that the others get, and it must not keep a full group open for more.
    let mut all = endpoints();
    let slow = Arc::make_mut(&mut all[0]);
    slow.slowness_percent = 1_000;
    let slow_id = Arc::clone(&slow.id);
    let mut placement = Placement::default();
    let mut to_slow = 0;
    let total = 10 * all.len() as u32;
    for n in 0..total {
        let chance = f64::from(n) / f64::from(total);
        let chosen = placement
            .choose(&all, &[], "a", chance, Time::from_millis(1_000))
            .expect("an endpoint is usable");
        to_slow += u32::from(chosen.id == slow_id);
        placement.attempt_started(&chosen.id);
    }
    assert!(to_slow <= 1, "{to_slow} of {total} requests at the slow rank");
    assert!(
        placement.service_load(&all, Time::from_millis(1_000)).min_load > 0.7,
        "the idle slow rank counts as capacity"
    );
}

// Guards against a slow rank that gets requests because the others are full, and then slows all ranks of its group.
#[test]
fn full_ranks_are_preferred_to_a_slow_one() {
    let mut all = endpoints();
    Arc::make_mut(&mut all[0]).slowness_percent = 1_200;
    let mut placement = Placement::default();
    for endpoint in &all[1..] {
        for _ in 0..endpoint.slots * 2 {
            placement.attempt_started(&endpoint.id);
        }
    }
    for chance in 0..1_000 {
        let chosen = placement.choose(&all, &[], "a", f64::from(chance) / 1_000.0, Time::ZERO);
        assert_ne!(chosen.expect("an endpoint").id, all[0].id);
    }
    let slow_only = placement.choose(&all[..1], &[], "a", 0.5, Time::ZERO);
    assert_eq!(slow_only.expect("the slow rank serves alone").id, all[0].id);
}
