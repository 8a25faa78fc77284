//! Versions of the declarations that others have accepted, and a table that holds older ones again.

use std::sync::Arc;

use sycamorestile_core::direct::accepted_versions::{AcceptedVersions, Told};
use sycamorestile_core::time::Time;

const fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn told(version: u64, is_starting: bool) -> Told {
    Told { version, is_starting }
}

fn peer(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// Guards against an instance that takes what it reads first for the newest, although a peer knows better.
#[test]
fn first_read_confirms_nothing_before_a_running_peer_has_answered() {
    let mut versions = AcceptedVersions::default();
    versions.record_others(2);
    assert!(!versions.record_read(1, ms(10), ms(10)));
    assert_eq!(versions.asks_until(), Some(ms(1_010)));
    versions.record_peer(&peer("g-2"), told(2, false), ms(20));
    assert!(!versions.record_read(1, ms(30), ms(30)));
    assert!(versions.contradicts(1, ms(30)));
    assert!(
        versions.record_read(2, ms(40), ms(40)),
        "the operator has written again"
    );
}

#[test]
fn peer_with_the_same_version_settles_it() {
    let mut versions = AcceptedVersions::default();
    versions.record_others(2);
    assert!(!versions.record_read(1, ms(10), ms(10)));
    versions.record_peer(&peer("g-2"), told(1, false), ms(20));
    assert!(versions.record_read(1, ms(30), ms(30)));
    assert_eq!(versions.asks_until(), None);
}

/// Guards against instances that wait for each other when all have started at once.
#[test]
fn starting_peers_that_agree_are_enough_when_three_have_answered() {
    let mut versions = AcceptedVersions::default();
    versions.record_others(7);
    assert!(!versions.record_read(1, ms(10), ms(10)));
    for name in ["g-2", "g-3", "g-3", "g-2"] {
        versions.record_peer(&peer(name), told(1, true), ms(20));
    }
    assert!(!versions.may_rely(ms(30)), "two have answered, each of them twice");
    versions.record_peer(&peer("g-4"), told(1, true), ms(40));
    assert!(versions.may_rely(ms(50)));
}

#[test]
fn instance_that_nobody_answers_relies_on_the_table_after_a_second() {
    let mut versions = AcceptedVersions::default();
    versions.record_others(3);
    assert!(!versions.record_read(1, ms(10), ms(10)));
    assert!(!versions.record_read(1, ms(900), ms(900)));
    assert!(versions.record_read(1, ms(1_010), ms(1_010)));
}

#[test]
fn instance_without_peers_relies_on_the_table_at_once() {
    let mut versions = AcceptedVersions::default();
    versions.record_others(0);
    assert!(versions.record_read(1, ms(10), ms(10)));
}

/// Guards against keys that are refused at each change, since a peer has read it a moment earlier.
#[test]
fn peer_that_reads_a_change_first_does_not_refute_an_earlier_read() {
    let mut versions = AcceptedVersions::default();
    versions.record_others(0);
    assert!(versions.record_read(1, ms(10), ms(10)));
    versions.record_peer(&peer("g-2"), told(2, false), ms(1_000));
    assert!(
        versions.record_read(1, ms(990), ms(1_020)),
        "it was current before the change was known"
    );
    assert!(
        !versions.record_read(1, ms(1_010), ms(1_030)),
        "the table has lost the change"
    );
}
