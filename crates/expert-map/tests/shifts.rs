//! Tests of how the group planner handles a shift of demand that occurs between two samples of the counts.

use std::time::Duration;

use rstest::rstest;
use sycamorestile_expert_map::{expert, group_planner, rebalance};

const RANKS: usize = 6;
const EXPERTS: usize = 24;
/// Counts of all experts in one period.
const COUNTS_PER_PERIOD: u64 = 24_000;
const PERIOD: Duration = Duration::from_millis(250);

fn shape() -> group_planner::GroupShape {
    group_planner::GroupShape {
        ranks: RANKS,
        sets: 1,
        experts: EXPERTS,
        limits: rebalance::RebalanceLimits {
            max_per_rank: 5,
            max_new_per_rank: 2,
        },
    }
}

/// Assigns experts to ranks in turn, as in a newly started group.
fn round_robin_map() -> group_planner::GroupMap {
    let held = |rank: usize| {
        let experts = (0..EXPERTS).filter(|e| e % RANKS == rank);
        experts.map(|e| expert::Expert(e as u32)).collect()
    };
    vec![rebalance::Placement::new((0..RANKS).map(held).collect())]
}

/// Returns a demand of which half is for the four experts initially on `rank`, and the rest is spread evenly over the
/// others.
fn demand(rank: usize) -> Vec<f64> {
    let share = |e: usize| if e % RANKS == rank { 0.125 } else { 0.025 };
    (0..EXPERTS).map(share).collect()
}

struct Group {
    planner: group_planner::GroupPlanner,
    /// Counts reported by rank 0, which stand for those of the whole group.
    counts: Vec<u64>,
}

impl Group {
    fn new() -> Self {
        let mut group = Self {
            planner: group_planner::GroupPlanner::new(shape()),
            counts: vec![0; EXPERTS],
        };
        group.planner.observe(0, 1, &group.counts);
        group
    }

    /// Reports the counts of one period, in which `share` of the demand follows `new` and the rest follows `old`.
    fn observe_period(&mut self, old: &[f64], new: &[f64], share: f64) {
        for ((count, old), new) in self.counts.iter_mut().zip(old).zip(new) {
            *count += ((old * (1.0 - share) + new * share) * COUNTS_PER_PERIOD as f64) as u64;
        }
        self.planner.observe(0, 1, &self.counts);
        self.planner.aggregate_counts(PERIOD);
    }
}

#[rstest]
#[case::early_in_the_period(0.9)]
#[case::half_way(0.5)]
#[case::late_in_the_period(0.2)]
fn no_map_is_planned_from_mixed_counts(#[case] share: f64) {
    let (old, new) = (demand(0), demand(3));
    let mut group = Group::new();
    for _ in 0..8 {
        group.observe_period(&old, &old, 0.0);
    }
    let current = group
        .planner
        .plan(&round_robin_map())
        .expect("the initial demand is uneven")
        .map;
    group.observe_period(&old, &new, share);
    assert!(group.planner.is_settling(), "the shift was not detected at once");
    assert_eq!(group.planner.plan(&current), None);
    group.observe_period(&new, &new, 1.0);
    assert!(!group.planner.is_settling());
    let plan = group.planner.plan(&current).expect("a map for the new demand");
    let mut fresh = Group::new();
    fresh.observe_period(&new, &new, 1.0);
    let ideal = fresh.planner.plan(&current).expect("a map for the new demand");
    // The map has to be as good as that of a planner without counts of the previous demand.
    assert!(plan.skew_after <= ideal.skew_after + 0.01, "{plan:?} against {ideal:?}");
}

#[test]
fn maps_are_planned_while_demand_shifts_every_period() {
    let mut group = Group::new();
    let mut planned = 0;
    for step in 0..40 {
        let new = demand(step % RANKS);
        group.observe_period(&new, &new, 1.0);
        planned += usize::from(group.planner.plan(&round_robin_map()).is_some());
    }
    assert!(planned >= 15, "{planned} plans in 40 periods");
}

#[test]
fn too_few_counts_are_not_a_shift() {
    let (old, other) = (demand(0), demand(3));
    let mut group = Group::new();
    for _ in 0..8 {
        group.observe_period(&old, &old, 0.0);
    }
    for (count, share) in group.counts.iter_mut().zip(&other) {
        *count += (share * 40.0) as u64;
    }
    let counts = group.counts.clone();
    group.planner.observe(0, 1, &counts);
    group.planner.aggregate_counts(PERIOD);
    assert!(!group.planner.is_settling());
}

#[test]
fn an_urgent_map_copies_at_most_one_expert_per_rank() {
    let new = demand(3);
    let mut group = Group::new();
    group.observe_period(&new, &new, 1.0);
    let map = round_robin_map();
    let before = group.planner.skew(&map);
    assert!(before >= 2.0, "{before}");
    let first = group.planner.plan(&map).expect("the demand is uneven");
    let copied = |new: &group_planner::GroupMap, old: &group_planner::GroupMap| {
        let ranks = new[0].ranks().iter().zip(old[0].ranks());
        let most = ranks
            .map(|(new, old)| new.iter().filter(|e| !old.contains(e)).count())
            .max();
        most.expect("there are ranks")
    };
    assert_eq!(copied(&first.map, &map), 1);
    assert!(first.skew_after < before, "{first:?}");
    group.observe_period(&new, &new, 1.0);
    if let Some(second) = group.planner.plan(&first.map) {
        assert!(second.skew_after < first.skew_after, "{second:?}");
    }
}

#[test]
fn a_map_spreads_its_copies_over_the_ranks() {
    // A rank copies one expert after the other, and the group is slower until the rank with the most copies has
    // finished. With one expert a set, that rank would copy four.
    const SETS: usize = 4;
    let shape = group_planner::GroupShape { sets: SETS, ..shape() };
    let mut planner = group_planner::GroupPlanner::new(shape);
    let counts_of = |rank: usize| -> Vec<u64> {
        demand(rank)
            .iter()
            .map(|d| (d * COUNTS_PER_PERIOD as f64) as u64)
            .collect()
    };
    let sets: Vec<u64> = (0..SETS).flat_map(|set| counts_of(set % RANKS)).collect();
    planner.observe(0, 1, &vec![0; sets.len()]);
    planner.observe(0, 1, &sets);
    planner.aggregate_counts(PERIOD);
    let current: group_planner::GroupMap = (0..SETS).flat_map(|_| round_robin_map()).collect();
    let copies_by_rank = |new: &group_planner::GroupMap, old: &group_planner::GroupMap| -> Vec<usize> {
        let by_set = new
            .iter()
            .zip(old)
            .map(|(n, o)| n.rank_copies_from(o).collect::<Vec<_>>());
        by_set.fold(vec![0; RANKS], |sum, set| {
            sum.iter().zip(set).map(|(a, b)| a + b).collect()
        })
    };
    let first = planner.plan(&current).expect("half of the demand is on one rank");
    let second = planner
        .plan(&first.map)
        .expect("not all hot experts are replicated yet");
    assert_eq!(copies_by_rank(&first.map, &current), [1; RANKS]);
    assert!(
        copies_by_rank(&second.map, &first.map)
            .iter()
            .all(|copies| *copies <= 1)
    );
    // Callers accept pauses up to twice as long as the passes of a level group take.
    assert!(first.skew_before > 2.0, "the skew is {}", first.skew_before);
    assert!(second.skew_after < 2.0, "the skew is still {}", second.skew_after);
}
