//! Endpoints that drain, lapse, and come back.

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
        state,
    }
}

fn ready(roster: &EndpointSet) -> Vec<String> {
    roster.ready().iter().map(|e| e.id.to_string()).collect()
}

fn roster() -> EndpointSet {
    let mut roster = EndpointSet::default();
    for id in ["e1", "e2", "e3"] {
        roster.put(endpoint(id, EndpointState::Ready));
    }
    roster
}

#[test]
fn a_draining_endpoint_gets_nothing_new() {
    let mut roster = roster();
    roster.put(endpoint("e2", EndpointState::Draining));
    assert_eq!(ready(&roster), ["e1", "e3"]);
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_table_works() {
    let mut roster = roster();
    assert!(roster.remove("e2", Time::from_millis(5_000)));
    assert_eq!(ready(&roster), ["e1", "e3"]);
    assert!(!roster.remove("e2", Time::from_millis(5_000)));
}

#[test]
fn entries_that_lapsed_in_an_outage_have_two_seconds_to_come_back() {
    let mut roster = roster();
    roster.table_recovered(Time::from_millis(10_000));
    assert!(!roster.remove("e1", Time::from_millis(10_010)));
    assert!(!roster.remove("e2", Time::from_millis(10_010)));
    assert_eq!(ready(&roster), ["e1", "e2", "e3"], "a living endpoint stays in use");
    roster.put(endpoint("e1", EndpointState::Ready));
    roster.expire(Time::from_millis(12_001));
    assert_eq!(ready(&roster), ["e1", "e3"], "what stays away is gone");
    assert_eq!(roster.next_expiry(), None);
}

#[test]
fn a_whole_read_removes_what_it_lacks() {
    let mut roster = roster();
    roster.replace(vec![endpoint("e3", EndpointState::Ready)], Time::from_millis(1_000));
    assert_eq!(ready(&roster), ["e3"]);
}

#[test]
fn an_endpoint_that_was_leaving_before_the_outage_does_not_come_back_by_it() {
    let mut roster = roster();
    roster.put(endpoint("e2", EndpointState::Draining));
    roster.table_recovered(Time::from_millis(10_000));
    assert!(roster.remove("e2", Time::from_millis(10_010)));
}
