//! Problems tell when to come back, and not everyone at once.

use std::time::Duration;

use sycamorestile_core::outcome;
use sycamorestile_core::problem;

#[test]
fn waits_are_spread_and_never_shortened() {
    let refused =
        problem::Problem::new(problem::ProblemKind::Overloaded, "").with_retry_after(Duration::from_millis(800));
    let spread = |chance| refused.clone().with_jitter(chance).retry_after.expect("a wait");
    assert_eq!(spread(0.0), Duration::from_millis(800));
    assert_eq!(spread(1.0), Duration::from_millis(1_200));
    assert!(spread(0.3) < spread(0.6));
    assert_eq!(spread(7.0), spread(1.0));
}

#[test]
fn what_passes_with_time_says_when_and_claims_not_to_have_run() {
    let refusals = [
        problem::ProblemKind::LimitExceeded,
        problem::ProblemKind::Overloaded,
        problem::ProblemKind::NoEndpoint,
        problem::ProblemKind::Leaving,
        problem::ProblemKind::ClaimsUnavailable,
        problem::ProblemKind::NotReady,
        problem::ProblemKind::DeadlineBeforeStart,
    ];
    for kind in refusals {
        let problem = problem::Problem::new(kind, "");
        assert!(problem.retry_after_secs() >= Some(1), "{kind:?}");
        assert_eq!(problem.body().outcome, outcome::Outcome::NotRun, "{kind:?}");
        assert_eq!(problem.body().status, kind.status());
    }
}
