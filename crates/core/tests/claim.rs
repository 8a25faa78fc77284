//! Decisions on claims by the rows of the table, and serialisation of the rows.

use rstest::rstest;
use sycamorestile_core::attempt_id;
use sycamorestile_core::claim;
use sycamorestile_core::incarnation;
use sycamorestile_core::name;

fn owner(attempt: u128) -> claim::Owner {
    claim::Owner {
        attempt: attempt_id::AttemptId::new(attempt),
        endpoint: name::Name::new("ledger-0").unwrap(),
        incarnation: incarnation::Incarnation::new(u64::MAX),
    }
}

fn row(attempt: u128, state: claim::ClaimState) -> claim::ClaimRow {
    claim::ClaimRow {
        digest: "d".into(),
        owner: owner(attempt),
        progress: state,
    }
}

fn response() -> claim::StoredResponse {
    claim::StoredResponse {
        status: 201,
        content_type: Some("application/json".into()),
        body: b"{}".to_vec(),
    }
}

#[rstest]
#[case(1)]
#[case(u128::MAX)]
#[case(1 << 64)]
fn rows_round_trip_through_json(#[case] attempt: u128) {
    let row = row(attempt, claim::ClaimState::Answered(response()));
    let value = serde_json::to_value(&row).unwrap();
    let decoded: claim::ClaimRow = serde_json::from_value(value).unwrap();
    assert_eq!(decoded, row);
}

#[rstest]
#[case::no_row(None, None, claim::ClaimDecision::Free)]
#[case::own_row(Some(row(1, claim::ClaimState::Open)), None, claim::ClaimDecision::Held)]
#[case::row_of_another_attempt(Some(row(2, claim::ClaimState::Open)), None, claim::ClaimDecision::OwnedBy(owner(2)))]
#[case::disproved(Some(row(2, claim::ClaimState::Open)), Some(2), claim::ClaimDecision::TakeOver)]
#[case::third_attempt_disproved(
    Some(row(2, claim::ClaimState::Open)),
    Some(3),
    claim::ClaimDecision::OwnedBy(owner(2))
)]
#[case::released(Some(row(2, claim::ClaimState::Released)), None, claim::ClaimDecision::TakeOver)]
#[case::own_released(Some(row(1, claim::ClaimState::Released)), None, claim::ClaimDecision::TakeOver)]
#[case::answered(
    Some(row(2, claim::ClaimState::Answered(response()))),
    Some(2),
    claim::ClaimDecision::Answered(response())
)]
fn a_row_gives_the_decision(
    #[case] row: Option<claim::ClaimRow>,
    #[case] disproved: Option<u128>,
    #[case] expected: claim::ClaimDecision,
) {
    let requester = owner(1);
    let request = claim::ClaimRequest {
        digest: "d",
        owner: &requester,
        disproved: disproved.map(attempt_id::AttemptId::new),
    };
    assert_eq!(claim::decide(row.as_ref(), &request), expected);
}

#[test]
fn a_key_reused_for_a_different_call_is_rejected() {
    let requester = owner(1);
    let request = claim::ClaimRequest {
        digest: "other",
        owner: &requester,
        disproved: Some(attempt_id::AttemptId::new(2)),
    };
    for state in [
        claim::ClaimState::Open,
        claim::ClaimState::Released,
        claim::ClaimState::Answered(response()),
    ] {
        assert_eq!(
            claim::decide(Some(&row(2, state)), &request),
            claim::ClaimDecision::Reused
        );
    }
}
