//! Routing at one entry: detection of slow endpoints, required features, and calls with an idempotency key.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::agent_view;
use sycamorestile_core::claim;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::config::service;
use sycamorestile_core::config::state;
use sycamorestile_core::dispatcher;
use sycamorestile_core::incarnation;
use sycamorestile_core::load;
use sycamorestile_core::membership;
use sycamorestile_core::name;
use sycamorestile_core::prefix_memory;
use sycamorestile_core::problem;
use sycamorestile_core::revision;
use sycamorestile_core::time;

fn name(text: &str) -> name::Name {
    name::Name::new(text).unwrap()
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns two services with two endpoints each, whose heartbeats arrived at `now` and reported the given numbers of
/// running calls.
fn cluster(running: [u32; 2], now: time::Time) -> (state::ConfigState, membership::Membership) {
    let mut objects = Vec::new();
    let mut members = membership::Membership::default();
    for service in ["fast", "slow"] {
        objects.push(declaration::Declaration::Service(service::Service {
            name: name(service),
            kind: service::ServiceKind::Plain,
            routes: Vec::new(),
            deadline_ms: 1,
            max_body_bytes: 1,
        }));
        for (index, running) in running.into_iter().enumerate() {
            let endpoint = name(&format!("{service}-{index}"));
            objects.push(declaration::Declaration::Endpoint(endpoint::Endpoint {
                name: endpoint.clone(),
                service: name(service),
                failure_domain: name("d"),
                address: addr(),
                slots: 4,
                rank_of: None,
                features: if index == 1 {
                    vec![endpoint::Feature::Resume]
                } else {
                    Vec::new()
                },
            }));
            let view = agent_view::AgentView {
                endpoint,
                incarnation: incarnation::Incarnation::new(1),
                seq: 1,
                calls: addr(),
                control: addr(),
                load: load::Load {
                    running,
                    slots: 4,
                    hold_us: 100_000,
                    ..load::Load::default()
                },
                leaving: false,
                entries: 0,
                revision: revision::Revision::new(1),
            };
            members.record_heartbeat(view, Duration::ZERO, now);
        }
    }
    let entries = objects.into_iter().map(|object| state::VersionedObject {
        key: object.key(),
        version: revision::Revision::new(1),
        object,
    });
    (
        state::ConfigState::from_objects(revision::Revision::new(1), entries.collect()),
        members,
    )
}

fn request(service: &str) -> dispatcher::RouteRequest {
    dispatcher::RouteRequest {
        service: Some(name(service)),
        ..dispatcher::RouteRequest::default()
    }
}

#[test]
fn slowness_is_relative_to_endpoints_of_the_same_service() {
    let now = time::Time::from_millis(10_000);
    let (config, members) = cluster([8, 0], now);
    let mut dispatcher = dispatcher::Dispatcher::new(name("d"));
    let first_frame_millis = [
        ("fast-0", 1),
        ("fast-1", 1),
        ("fast-2", 1),
        ("slow-0", 100),
        ("slow-1", 100),
    ];
    for (endpoint, millis) in first_frame_millis {
        dispatcher.record_sent(
            &name(endpoint),
            &prefix_memory::PrefixHashes::default(),
            time::Time::from_millis(1),
        );
        dispatcher.record_first_frame(&name(endpoint), Duration::from_millis(millis));
        dispatcher.record_ended(&name(endpoint));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = dispatcher.route(&request("slow"), &config, &members, now, &mut rng);
    assert_eq!(
        chosen,
        Ok(name("slow-1")),
        "slow-0 has no free slot, and neither endpoint counts as impaired"
    );
}

#[test]
fn only_endpoints_with_the_feature_that_are_not_excluded_are_chosen() {
    let now = time::Time::from_millis(10);
    let (config, members) = cluster([0, 4], now);
    let dispatcher = dispatcher::Dispatcher::new(name("d"));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let resuming = dispatcher::RouteRequest {
        feature: Some(endpoint::Feature::Resume),
        ..request("slow")
    };
    let chosen = dispatcher.route(&resuming, &config, &members, now, &mut rng);
    assert_eq!(chosen, Ok(name("slow-1")));
    let with_exclusion = dispatcher::RouteRequest {
        excluded: vec![name("slow-1")],
        ..resuming
    };
    let refused = dispatcher
        .route(&with_exclusion, &config, &members, now, &mut rng)
        .unwrap_err();
    assert_eq!(refused.kind, problem::ProblemKind::NoEndpoint);
    assert!(refused.retry_after.is_some());
}

#[test]
fn calls_with_one_key_go_to_one_endpoint_regardless_of_load_and_entry() {
    let now = time::Time::from_millis(10);
    let with_key = |key: &str| dispatcher::RouteRequest {
        claim: Some(claim::ClaimKey {
            service: name("fast"),
            organisation: name("acme"),
            key: key.into(),
        }),
        ..request("fast")
    };
    let mut endpoints = Vec::new();
    for n in 0..50 {
        let key = format!("key-{n}");
        let choose = |running, seed| {
            let (config, members) = cluster(running, now);
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            dispatcher::Dispatcher::new(name("d")).route(&with_key(&key), &config, &members, now, &mut rng)
        };
        let endpoint = choose([0, 4], 1);
        assert_eq!(endpoint, choose([4, 0], 2));
        endpoints.push(endpoint.unwrap());
    }
    endpoints.sort();
    endpoints.dedup();
    assert_eq!(endpoints.len(), 2, "the keys are distributed over both endpoints");
}
