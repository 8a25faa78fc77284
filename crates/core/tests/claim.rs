//! Claims: what their rows mean, and that rows survive the table.

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

fn row(attempt: u128, progress: claim::ClaimState) -> claim::ClaimRow {
    claim::ClaimRow {
        digest: "d".into(),
        owner: owner(attempt),
        progress,
    }
}

fn answer() -> claim::StoredResponse {
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
fn rows_survive_the_tables_json(#[case] attempt: u128) {
    let row = row(attempt, claim::ClaimState::Answered(answer()));
    let value = serde_json::to_value(&row).unwrap();
    let back: claim::ClaimRow = serde_json::from_value(value).unwrap();
    assert_eq!(back, row);
}

#[rstest]
#[case::no_row(None, None, claim::ClaimDecision::Free)]
#[case::own_row(Some(row(1, claim::ClaimState::Open)), None, claim::ClaimDecision::Held)]
#[case::foreign_row(Some(row(2, claim::ClaimState::Open)), None, claim::ClaimDecision::OwnedBy(owner(2)))]
#[case::disproved(Some(row(2, claim::ClaimState::Open)), Some(2), claim::ClaimDecision::TakeOver)]
#[case::another_disproved(
    Some(row(2, claim::ClaimState::Open)),
    Some(3),
    claim::ClaimDecision::OwnedBy(owner(2))
)]
#[case::released(Some(row(2, claim::ClaimState::Released)), None, claim::ClaimDecision::TakeOver)]
#[case::own_released(Some(row(1, claim::ClaimState::Released)), None, claim::ClaimDecision::TakeOver)]
#[case::answered(
    Some(row(2, claim::ClaimState::Answered(answer()))),
    Some(2),
    claim::ClaimDecision::Answered(answer())
)]
fn a_row_means(
    #[case] row: Option<claim::ClaimRow>,
    #[case] disproved: Option<u128>,
    #[case] expected: claim::ClaimDecision,
) {
    let mine = owner(1);
    let wanted = claim::ClaimRequest {
        digest: "d",
        owner: &mine,
        disproved: disproved.map(attempt_id::AttemptId::new),
    };
    assert_eq!(claim::decide(row.as_ref(), &wanted), expected);
}

#[test]
fn another_body_is_never_answered() {
    let mine = owner(1);
    let wanted = claim::ClaimRequest {
        digest: "other",
        owner: &mine,
        disproved: Some(attempt_id::AttemptId::new(2)),
    };
    for progress in [
        claim::ClaimState::Open,
        claim::ClaimState::Released,
        claim::ClaimState::Answered(answer()),
    ] {
        assert_eq!(
            claim::decide(Some(&row(2, progress)), &wanted),
            claim::ClaimDecision::Reused
        );
    }
}
