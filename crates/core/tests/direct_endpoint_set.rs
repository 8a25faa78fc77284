//! Endpoints that drain, and entries that expire and are written again.

use std::net::SocketAddr;
use std::sync::Arc;

use sycamorestile_core::direct::endpoint::{Endpoint, EndpointState};
use sycamorestile_core::direct::endpoint_set::EndpointSet;
use sycamorestile_core::time::Time;

fn endpoint(id: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: Arc::from(id),
        service: Arc::from("ledger"),
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: Arc::from("a"),
        slots: 6,
        slowness_percent: 100,
        started_at_ms: None,
        state,
    }
}

fn ready(endpoints: &EndpointSet) -> Vec<String> {
    endpoints.ready().iter().map(|e| e.id.to_string()).collect()
}

fn endpoints() -> EndpointSet {
    let mut endpoints = EndpointSet::default();
    for id in ["e1", "e2", "e3"] {
        endpoints.put(endpoint(id, EndpointState::Ready));
    }
    endpoints
}

#[test]
fn a_draining_endpoint_is_not_ready() {
    let mut endpoints = endpoints();
    endpoints.put(endpoint("e2", EndpointState::Draining));
    assert_eq!(ready(&endpoints), ["e1", "e3"]);
}

#[test]
fn an_entry_is_removed_at_once_while_the_table_is_available() {
    let mut endpoints = endpoints();
    assert!(endpoints.remove("e2", Time::from_millis(5_000)));
    assert_eq!(ready(&endpoints), ["e1", "e3"]);
    assert!(!endpoints.remove("e2", Time::from_millis(5_000)));
}

#[test]
fn entries_that_expired_in_an_outage_have_a_grace_period() {
    let mut endpoints = endpoints();
    endpoints.table_returned(Time::from_millis(10_000));
    assert!(!endpoints.remove("e1", Time::from_millis(10_010)));
    assert!(!endpoints.remove("e2", Time::from_millis(10_010)));
    assert_eq!(
        ready(&endpoints),
        ["e1", "e2", "e3"],
        "endpoints stay in use during the grace period"
    );
    endpoints.put(endpoint("e1", EndpointState::Ready));
    endpoints.expire(Time::from_millis(12_001));
    assert_eq!(
        ready(&endpoints),
        ["e1", "e3"],
        "an entry that stays missing is removed"
    );
    assert_eq!(endpoints.next_expiry(), None);
}

#[test]
fn replace_removes_entries_that_are_absent() {
    let mut endpoints = endpoints();
    endpoints.replace(vec![endpoint("e3", EndpointState::Ready)], Time::from_millis(1_000));
    assert_eq!(ready(&endpoints), ["e3"]);
}

#[test]
fn a_draining_endpoint_has_no_grace_period() {
    let mut endpoints = endpoints();
    endpoints.put(endpoint("e2", EndpointState::Draining));
    endpoints.table_returned(Time::from_millis(10_000));
    assert!(endpoints.remove("e2", Time::from_millis(10_010)));
}

#[test]
fn entries_that_expire_while_the_table_is_away_have_the_same_grace_period() {
    let mut endpoints = endpoints();
    endpoints.table_away();
    assert!(!endpoints.remove("e1", Time::from_millis(5_000)));
    endpoints.expire(Time::from_millis(9_000));
    assert_eq!(ready(&endpoints), ["e1", "e2", "e3"]);
    assert_eq!(endpoints.next_expiry(), None, "nothing can be written again yet");
    endpoints.table_returned(Time::from_millis(10_000));
    assert_eq!(endpoints.next_expiry(), Some(Time::from_millis(12_000)));
    endpoints.expire(Time::from_millis(12_000));
    assert_eq!(ready(&endpoints), ["e2", "e3"]);
}

#[test]
fn an_entry_that_is_removed_after_the_grace_period_has_none() {
    let mut endpoints = endpoints();
    endpoints.table_returned(Time::from_millis(10_000));
    assert!(endpoints.remove("e1", Time::from_millis(12_000)));
}
