//! Outages of the table: what gateways don't know, how soon they know it, and what their return asks of the table.

mod table_outages;

use rstest::rstest;
use table_outages::{Day, Outage, Policy, Verdict, play};

/// Number of gateways of the smaller deployments.
const GATEWAYS: usize = 8;

fn day(outage: Outage, policy: Policy, seed: u64) -> Verdict {
    play(Day {
        gateways: GATEWAYS,
        agents: 0,
        outage,
        policy,
        seed,
    })
}

/// Guards against gateways that use endpoints which have left, because an outage has swallowed their polls.
#[rstest]
fn endpoint_that_leaves_after_an_outage_is_not_used(
    #[values(Outage::Silent, Outage::Busy, Outage::Reset, Outage::Slow, Outage::DeadConnections)] outage: Outage,
) {
    for seed in 0..60 {
        let verdict = day(outage, Policy::Current, seed);
        assert_eq!((verdict.late, verdict.dropped), (0, 0), "seed {seed}: {verdict:?}");
    }
}

#[rstest]
#[case::whole_wait_after_a_failure(Outage::Silent, Policy::Former)]
#[case::changes_that_peers_tell_of_are_not_compared(Outage::DeadConnections, Policy::ConfirmsBlindly)]
#[case::outage_that_another_feed_noticed_is_ignored(Outage::Busy, Policy::OwnNotice)]
fn planted_fault_is_found(#[case] outage: Outage, #[case] policy: Policy) {
    let is_found = |seed| {
        let verdict = day(outage, policy, seed);
        verdict.late > 0 || verdict.dropped > 0
    };
    assert!((0..20).any(is_found));
}

fn peak_reads((gateways, agents): (usize, usize), outage: Outage, policy: Policy) -> usize {
    let verdicts = (0..3).map(|seed| {
        play(Day {
            gateways,
            agents,
            outage,
            policy,
            seed,
        })
    });
    let verdicts: Vec<Verdict> = verdicts
        .inspect(|verdict| println!("{gateways} gateways, {agents} agents, {outage:?}, {policy:?}: {verdict:?}"))
        .collect();
    verdicts
        .iter()
        .map(|verdict| verdict.peak_reads)
        .max()
        .unwrap_or_default()
}

/// Guards against a rush on the table when it returns. The bounds are what the tables of the deployments serve.
#[rstest]
#[case((8, 12), 2_000)]
#[case((40, 63), 6_000)]
#[case((200, 3_000), 6_000)]
#[case((800, 12_000), 6_000)]
fn return_of_the_table_is_spread(
    #[case] nodes: (usize, usize),
    #[case] reads_per_second: usize,
    #[values(Outage::Silent, Outage::Busy, Outage::Reset, Outage::DeadConnections)] outage: Outage,
) {
    let peak = peak_reads(nodes, outage, Policy::Current);
    assert!(peak <= reads_per_second, "{peak} reads in one second");
}

#[rstest]
#[case::each_feed_for_itself(Policy::Former)]
#[case::all_at_once(Policy::Unspread)]
fn planted_rush_is_found(#[case] policy: Policy) {
    assert!(peak_reads((800, 12_000), Outage::Reset, policy) > 6_000);
}
