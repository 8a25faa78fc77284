//! One call under every schedule of losses: refusals are true and nothing harmful runs twice.
//!
//! A small world decides what really happens to each try and reports it, late, lost or not at all. The machine only
//! sees reports; the world's own count is the judge.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_core::call;
use sycamorestile_core::outcome;
use sycamorestile_core::problem;
use sycamorestile_core::retry_budget;
use sycamorestile_core::time;

/// Schedules tried for each kind of call.
const SEEDS: u64 = 20_000;
/// Most steps of one schedule.
const MAX_STEPS: u32 = 200;

/// What really happened to a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Execution {
    /// It waits and may still run.
    Pending,
    /// Shut out for good.
    Prevented,
    /// It ran.
    Ran,
}

struct Simulation {
    rng: ChaCha8Rng,
    repeatability: call::Repeatability,
    attempts: Vec<Execution>,
    /// Try that holds the claim.
    claim: Option<usize>,
    /// Try that is followed.
    followed: usize,
    runs: u32,
}

impl Simulation {
    fn new(seed: u64, repeatability: call::Repeatability) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            repeatability,
            attempts: Vec::new(),
            claim: None,
            followed: 0,
            runs: 0,
        }
    }

    fn flip(&mut self) -> bool {
        self.rng.random_bool(0.5)
    }

    /// Pending tries may run at any moment, also those that nobody follows any more.
    fn run_pending(&mut self) {
        for index in 0..self.attempts.len() {
            if self.attempts[index] == Execution::Pending && self.rng.random_bool(0.3) {
                self.run(index);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let claim_allows =
            self.repeatability != call::Repeatability::Claimed || self.claim.is_none_or(|owner| owner == index);
        if claim_allows {
            self.claim = Some(index);
            self.attempts[index] = Execution::Ran;
            self.runs += 1;
        } else {
            self.attempts[index] = Execution::Prevented;
        }
    }

    fn dispatch(&mut self) -> call::AttemptEvent {
        if self.rng.random_bool(0.1) {
            return call::AttemptEvent::NoCandidate(problem::Problem::new(problem::ProblemKind::NoEndpoint, ""));
        }
        self.attempts.push(Execution::Pending);
        self.followed = self.attempts.len() - 1;
        match self.rng.random_range(0..4) {
            0 => self.prevent(call::AttemptEvent::NotSent),
            1 => {
                let problem = problem::Problem::new(problem::ProblemKind::Overloaded, "");
                self.prevent(call::AttemptEvent::Refused(problem))
            }
            _ => self.read(),
        }
    }

    fn prevent(&mut self, event: call::AttemptEvent) -> call::AttemptEvent {
        self.attempts[self.followed] = Execution::Prevented;
        event
    }

    /// A read of the followed try's frames.
    fn read(&mut self) -> call::AttemptEvent {
        self.run_pending();
        if self.rng.random_bool(0.3) {
            return call::AttemptEvent::Lost;
        }
        match self.attempts[self.followed] {
            Execution::Pending => {
                let index = self.followed;
                self.run(index);
                self.read_response()
            }
            Execution::Ran => self.read_response(),
            Execution::Prevented => self.read_prevented(),
        }
    }

    fn read_prevented(&mut self) -> call::AttemptEvent {
        match self.claim {
            Some(owner) if self.repeatability == call::Repeatability::Claimed && owner != self.followed => {
                if self.flip() {
                    self.followed = owner;
                    call::AttemptEvent::Owned
                } else {
                    call::AttemptEvent::OwnerGone
                }
            }
            _ => call::AttemptEvent::Refused(problem::Problem::new(problem::ProblemKind::Leaving, "")),
        }
    }

    fn read_response(&mut self) -> call::AttemptEvent {
        match self.rng.random_range(0..4) {
            0 => call::AttemptEvent::Answering,
            1 => call::AttemptEvent::EndpointFailed(problem::Problem::new(problem::ProblemKind::AnswerLost, "")),
            _ => call::AttemptEvent::Ended,
        }
    }

    /// A question over a new connection.
    fn resume(&mut self) -> call::AttemptEvent {
        self.run_pending();
        let unknown_to_agent = self.flip();
        match self.rng.random_range(0..4) {
            0 => call::AttemptEvent::Unreachable,
            1 => call::AttemptEvent::Forgotten,
            _ => match self.attempts[self.followed] {
                // The agent that is asked about a try that it does not know shuts it out first.
                Execution::Pending if unknown_to_agent => {
                    let problem = problem::Problem::new(problem::ProblemKind::NoEndpoint, "");
                    self.prevent(call::AttemptEvent::Refused(problem))
                }
                _ => self.read(),
            },
        }
    }

    fn cancel(&mut self) -> call::AttemptEvent {
        self.run_pending();
        if self.rng.random_bool(0.3) {
            return call::AttemptEvent::Unreachable;
        }
        match self.attempts[self.followed] {
            Execution::Pending => self.prevent(call::AttemptEvent::Refused(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "",
            ))),
            Execution::Prevented => {
                call::AttemptEvent::Refused(problem::Problem::new(problem::ProblemKind::DeadlineBeforeStart, ""))
            }
            Execution::Ran => call::AttemptEvent::StillRunning,
        }
    }
}

fn drive(seed: u64, repeatability: call::Repeatability) -> (call::CallResult, Simulation) {
    let mut simulation = Simulation::new(seed, repeatability);
    let mut budget = retry_budget::RetryBudget::default();
    let mut call = call::Call::new(repeatability);
    let mut now = time::Time::ZERO;
    let mut action = call::CallAction::Dispatch { continued: false };
    for _ in 0..MAX_STEPS {
        now = now + Duration::from_millis(simulation.rng.random_range(0..400));
        let deadline_passed = simulation.rng.random_bool(0.05);
        let event = match action {
            call::CallAction::Finish(result) => return (result, simulation),
            call::CallAction::Cancel => simulation.cancel(),
            _ if deadline_passed => call::AttemptEvent::DeadlinePassed,
            call::CallAction::Dispatch { .. } => {
                let event = simulation.dispatch();
                if !matches!(event, call::AttemptEvent::NoCandidate(_)) {
                    call.record_attempt();
                }
                event
            }
            call::CallAction::Resume { after } => {
                now = now + after;
                simulation.resume()
            }
            call::CallAction::Follow => simulation.read(),
        };
        action = call.on_event(event, now, &mut budget);
    }
    panic!("seed {seed}: the call does not end");
}

fn outcome(result: &call::CallResult) -> outcome::Outcome {
    match result {
        call::CallResult::Done => outcome::Outcome::Done,
        call::CallResult::Problem(problem) => problem.kind.outcome(),
    }
}

#[rstest]
#[case::idempotent(call::Repeatability::Idempotent)]
#[case::claimed(call::Repeatability::Claimed)]
#[case::non_idempotent(call::Repeatability::NonIdempotent)]
fn reported_outcomes_are_true_and_no_unsafe_call_runs_twice(#[case] repeatability: call::Repeatability) {
    let mut outcome_counts = [0_u32; 3];
    for seed in 0..SEEDS {
        let (result, mut simulation) = drive(seed, repeatability);
        // What is still pending may run after the caller was told.
        for _ in 0..20 {
            simulation.run_pending();
        }
        let outcome = outcome(&result);
        outcome_counts[outcome as usize] += 1;
        match outcome {
            outcome::Outcome::Done => assert!(simulation.runs >= 1, "seed {seed}: told done, never ran"),
            outcome::Outcome::NotRun => assert_eq!(simulation.runs, 0, "seed {seed}: told not-run, ran: {result:?}"),
            outcome::Outcome::Unknown => {}
        }
        if repeatability != call::Repeatability::Idempotent {
            assert!(simulation.runs <= 1, "seed {seed}: ran {} times", simulation.runs);
        }
        if let call::CallResult::Problem(problem) = &result {
            let is_transient = problem.kind.is_transient();
            assert!(
                !is_transient || problem.retry_after.is_some(),
                "seed {seed}: no time to come back: {problem:?}"
            );
        }
    }
    assert!(
        outcome_counts.iter().all(|count| *count > 0),
        "each outcome is reached: {outcome_counts:?}"
    );
}

#[test]
fn the_simulation_detects_a_repeated_non_idempotent_call() {
    // The same schedules with a machine that takes a harmful call for a harmless one.
    let ran_twice = (0..SEEDS).any(|seed| {
        let mut simulation = Simulation::new(seed, call::Repeatability::NonIdempotent);
        let mut call = call::Call::new(call::Repeatability::Idempotent);
        let mut budget = retry_budget::RetryBudget::default();
        let mut action = call::CallAction::Dispatch { continued: false };
        for _ in 0..MAX_STEPS {
            let event = match action {
                call::CallAction::Finish(_) => break,
                call::CallAction::Dispatch { .. } => {
                    call.record_attempt();
                    simulation.dispatch()
                }
                call::CallAction::Resume { .. } => simulation.resume(),
                call::CallAction::Cancel => simulation.cancel(),
                call::CallAction::Follow => simulation.read(),
            };
            action = call.on_event(event, time::Time::ZERO, &mut budget);
        }
        simulation.runs > 1
    });
    assert!(ran_twice, "a planted fault goes unnoticed");
}
