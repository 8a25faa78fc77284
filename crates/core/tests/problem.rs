//! Retry times of problems and their random extension.

use std::time::Duration;

use sycamorestile_core::outcome;
use sycamorestile_core::problem;

#[test]
fn jitter_extends_the_wait_and_never_shortens_it() {
    let refused =
        problem::Problem::new(problem::ProblemKind::Overloaded, "").with_retry_after(Duration::from_millis(800));
    let jittered = |random| refused.clone().with_jitter(random).retry_after.expect("a retry time");
    assert_eq!(jittered(0.0), Duration::from_millis(800));
    assert_eq!(jittered(1.0), Duration::from_millis(1_200));
    assert!(jittered(0.3) < jittered(0.6));
    assert_eq!(jittered(7.0), jittered(1.0));
}

#[test]
fn transient_refusals_have_a_retry_time_and_report_not_run() {
    let refusals = [
        problem::ProblemKind::LimitExceeded,
        problem::ProblemKind::Overloaded,
        problem::ProblemKind::NoEndpoint,
        problem::ProblemKind::Leaving,
        problem::ProblemKind::ClaimsUnavailable,
        problem::ProblemKind::NotReady,
        problem::ProblemKind::BodiesFull,
        problem::ProblemKind::DeadlineBeforeStart,
    ];
    for kind in refusals {
        let problem = problem::Problem::new(kind, "");
        assert!(problem.retry_after_secs() >= Some(1), "{kind:?}");
        assert_eq!(problem.body().outcome, outcome::Outcome::NotRun, "{kind:?}");
        assert_eq!(problem.body().status, kind.status());
    }
}
