//! Reports of ranks that a coordinator must not compute by.

use std::sync::Arc;

use rstest::rstest;
use sycamorestile_expert_map::held_switch::{MapActivation, RankView};
use sycamorestile_map_agent::rank_adapter::{ImplausibleReport, Membership, Report};

fn report() -> Report {
    Report {
        membership: Some(Membership {
            group: Arc::from("g"),
            rank: 3,
            size: 12,
        }),
        view: RankView {
            epoch: 1,
            is_open: true,
            pass: 812,
            in_force: 4_096,
            prepared: None,
            armed: None,
            held: None,
            sequence: 2,
        },
        slowness: 1.0,
        started_at_ms: 1_790_000_000_000,
    }
}

fn in_group(rank: u32, size: u32) -> Report {
    let mut report = report();
    if let Some(membership) = &mut report.membership {
        (membership.rank, membership.size) = (rank, size);
    }
    report
}

fn with_view(change: impl Fn(&mut RankView)) -> Report {
    let mut report = report();
    change(&mut report.view);
    report
}

fn with_slowness(slowness: f64) -> Report {
    Report { slowness, ..report() }
}

// Guards against map agents that end for want of memory, or compute beyond the range of numbers, by a faulty rank's report.
#[rstest]
#[case::group_without_ranks(in_group(0, 0), ImplausibleReport::GroupSize(0))]
#[case::group_beyond_memory(in_group(3, u32::MAX), ImplausibleReport::GroupSize(u32::MAX))]
#[case::rank_beyond_its_group(in_group(12, 12), ImplausibleReport::Rank { rank: 12, size: 12 })]
#[case::last_pass(with_view(|v| v.pass = u64::MAX), ImplausibleReport::Counter(u64::MAX))]
#[case::last_epoch(with_view(|v| v.epoch = u64::MAX), ImplausibleReport::Counter(u64::MAX))]
#[case::last_map(with_view(|v| v.in_force = u64::MAX), ImplausibleReport::Counter(u64::MAX))]
#[case::last_held_pass(with_view(|v| v.held = Some(u64::MAX)), ImplausibleReport::Counter(u64::MAX))]
#[case::last_prepared_map(with_view(|v| v.prepared = Some(u64::MAX)), ImplausibleReport::Counter(u64::MAX))]
#[case::armed_for_the_last_pass(
    with_view(|v| v.armed = Some(MapActivation { version: 1, pass: u64::MAX })),
    ImplausibleReport::Counter(u64::MAX)
)]
#[case::no_time(with_slowness(0.0), ImplausibleReport::Slowness)]
#[case::negative_time(with_slowness(-1.0), ImplausibleReport::Slowness)]
#[case::no_number(with_slowness(f64::NAN), ImplausibleReport::Slowness)]
fn implausible_report_is_refused(#[case] report: Report, #[case] expected: ImplausibleReport) {
    assert_eq!(report.check(), Err(expected));
}

#[rstest]
#[case::usual(report())]
#[case::largest_group(in_group(4_095, 4_096))]
#[case::slow(with_slowness(40.0))]
#[case::in_no_group(Report { membership: None, ..report() })]
fn plausible_report_is_accepted(#[case] report: Report) {
    assert_eq!(report.check(), Ok(()));
}
