//! Route lookup, API keys and the freshness of the declarations.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sycamorestile_core::direct::{access, credentials, declarations, freshness, route, route_table};
use sycamorestile_core::problem::ProblemKind;
use sycamorestile_core::time::Time;

/// Time within which a revoked key must stop being honoured.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

fn route(host: &str, prefix: &str, is_public: bool) -> Arc<route::Route> {
    Arc::new(route::Route {
        name: Arc::from(format!("{host}{prefix}")),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        kind: route::RouteKind::Safe,
        targets: vec![route::Target {
            service: Arc::from("ledger"),
            weight: 1.0,
        }],
        timeout: Duration::from_secs(1),
        max_attempts: 2,
        objectives: None,
        priority: 1,
        is_public,
    })
}

fn declared() -> declarations::Declarations {
    let organisation = Arc::new(credentials::Organisation {
        name: Arc::from("acme"),
        priority: None,
    });
    declarations::Declarations {
        version: 7,
        routes: route_table::RouteTable::new(vec![
            route("a.example", "/lots/", false),
            route("a.example", "/lots/old/", false),
            route("a.example", "/open/", true),
            route("b.example", "/lots/", false),
        ]),
        credentials: Some(credentials::Credentials::new(vec![(Arc::from("key-1"), organisation)])),
        ..declarations::Declarations::default()
    }
}

#[rstest]
#[case::longest("a.example", "/lots/old/7", Some("a.example/lots/old/"))]
#[case::shorter("a.example", "/lots/new/7", Some("a.example/lots/"))]
#[case::exact("a.example", "/lots/", Some("a.example/lots/"))]
#[case::host_with_port("A.Example:8080", "/lots/x", Some("a.example/lots/"))]
#[case::partial_segment("a.example", "/lotsx/", None)]
#[case::prefix_without_slash("a.example", "/lots", None)]
#[case::other_host("c.example", "/lots/", None)]
#[case::root("a.example", "/", None)]
fn find_returns_the_longest_matching_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let declared = declared();
    let found = declared.routes.find(host, path).map(|r| r.name.as_ref());
    assert_eq!(found, expected);
}

fn authorize(
    confirmed_ms: Option<u64>,
    now_ms: u64,
    path: &str,
    key: Option<&str>,
) -> Result<Option<String>, ProblemKind> {
    let mut freshness = freshness::Freshness::default();
    if let Some(ms) = confirmed_ms {
        freshness.confirm(Time::from_millis(ms));
    }
    let declared = declared();
    let declarations = confirmed_ms.map(|_| &declared);
    let request = access::AccessRequest {
        host: "a.example",
        path,
        key,
    };
    let result = access::authorize(
        declarations,
        &freshness,
        REVOCATION_LIMIT,
        Time::from_millis(now_ms),
        request,
    );
    result.map(|g| g.organisation.map(|o| o.name.to_string()))
}

#[rstest]
#[case::valid_key(Some(0), 1_000, "/lots/1", Some("key-1"), Ok(Some("acme")))]
#[case::unknown_key(Some(0), 1_000, "/lots/1", Some("key-2"), Err(ProblemKind::UnknownKey))]
#[case::no_key(Some(0), 1_000, "/lots/1", None, Err(ProblemKind::UnknownKey))]
#[case::public_route(Some(0), 1_000, "/open/1", None, Ok(None))]
#[case::no_route(Some(0), 1_000, "/else/1", Some("key-1"), Err(ProblemKind::UnknownRoute))]
#[case::key_not_confirmed(Some(0), 5_000, "/lots/1", Some("key-1"), Err(ProblemKind::KeysUnconfirmed))]
#[case::unknown_key_not_confirmed(Some(0), 5_000, "/lots/1", Some("key-2"), Err(ProblemKind::KeysUnconfirmed))]
#[case::public_route_not_confirmed(Some(0), 60_000, "/open/1", None, Ok(None))]
#[case::no_route_not_confirmed(Some(0), 60_000, "/else/1", None, Err(ProblemKind::NotReady))]
#[case::no_declarations(None, 1_000, "/lots/1", Some("key-1"), Err(ProblemKind::NotReady))]
fn requests_are_authorized(
    #[case] confirmed_ms: Option<u64>,
    #[case] now_ms: u64,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, ProblemKind>,
) {
    let expected = expected.map(|name| name.map(str::to_owned));
    assert_eq!(authorize(confirmed_ms, now_ms, path, key), expected);
}

#[test]
fn an_older_confirmation_does_not_replace_a_newer_one() {
    let mut freshness = freshness::Freshness::default();
    freshness.confirm(Time::from_millis(3_000));
    freshness.confirm(Time::from_millis(1_000));
    assert_eq!(freshness.age(Time::from_millis(4_000)), Some(Duration::from_secs(1)));
}

#[test]
fn keys_are_rejected_before_the_revocation_limit() {
    let mut freshness = freshness::Freshness::default();
    freshness.confirm(Time::from_millis(0));
    for ms in (0..10_000).step_by(50) {
        let allowed = freshness.allows_keys(Time::from_millis(ms), REVOCATION_LIMIT);
        assert!(
            !allowed || ms < 5_000,
            "a key is honoured {ms} ms after it was last confirmed"
        );
    }
}

#[test]
fn targets_are_chosen_in_proportion_to_their_weights() {
    let mut split = (*route("a.example", "/", true)).clone();
    split.targets = vec![
        route::Target {
            service: Arc::from("old"),
            weight: 90.0,
        },
        route::Target {
            service: Arc::from("new"),
            weight: 10.0,
        },
    ];
    let chosen = (0..1_000).filter(|n| {
        let chance = f64::from(*n) / 1_000.0;
        split
            .target(chance, |_| true)
            .is_some_and(|t| t.service.as_ref() == "new")
    });
    assert_eq!(chosen.count(), 100);
    let only = split.target(0.95, |service| service == "old");
    assert_eq!(
        only.map(|t| t.service.as_ref()),
        Some("old"),
        "a service without endpoints is not chosen"
    );
    assert!(split.target(0.5, |_| false).is_none());
}
