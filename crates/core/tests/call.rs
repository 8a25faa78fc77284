//! Randomised test of the state machine of a call under lost messages, failures and retries.
//!
//! A simulation decides whether each attempt runs, and reports this to the state machine correctly, late or not at all.
//! The test compares the outcome that the state machine reports with the simulation's count of executions.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_core::call;
use sycamorestile_core::outcome;
use sycamorestile_core::problem;
use sycamorestile_core::retry_budget;
use sycamorestile_core::time;

/// Number of random schedules per kind of call.
const SEEDS: u64 = 20_000;
/// Maximum number of steps of one schedule.
const MAX_STEPS: u32 = 200;

/// Execution of an attempt in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Execution {
    /// Waiting; may still run.
    Pending,
    /// Will never run.
    Prevented,
    /// Has run.
    Ran,
}

struct Simulation {
    rng: ChaCha8Rng,
    repeatability: call::Repeatability,
    attempts: Vec<Execution>,
    /// Index of the attempt that owns the claim.
    claim: Option<usize>,
    /// Index of the attempt whose frames are read.
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

    /// Runs some of the pending attempts at random, including abandoned ones.
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

    /// Reads a frame of the followed attempt.
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

    /// Requests the frames of the followed attempt over a new connection.
    fn resume(&mut self) -> call::AttemptEvent {
        self.run_pending();
        let unknown_to_agent = self.flip();
        match self.rng.random_range(0..4) {
            0 => call::AttemptEvent::Unreachable,
            1 => call::AttemptEvent::Forgotten,
            _ => match self.attempts[self.followed] {
                // An agent that receives a request for an unknown attempt cancels the attempt in advance.
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
    panic!("seed {seed}: the call does not finish within {MAX_STEPS} steps");
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
        // Attempts that are still pending may run after the outcome was reported.
        for _ in 0..20 {
            simulation.run_pending();
        }
        let outcome = outcome(&result);
        outcome_counts[outcome as usize] += 1;
        match outcome {
            outcome::Outcome::Done => assert!(simulation.runs >= 1, "seed {seed}: reported as done, but never ran"),
            outcome::Outcome::NotRun => assert_eq!(
                simulation.runs, 0,
                "seed {seed}: reported as not run, but ran: {result:?}"
            ),
            outcome::Outcome::Unknown => {}
        }
        if repeatability != call::Repeatability::Idempotent {
            assert!(simulation.runs <= 1, "seed {seed}: ran {} times", simulation.runs);
        }
        if let call::CallResult::Problem(problem) = &result {
            let is_transient = problem.kind.is_transient();
            assert!(
                !is_transient || problem.retry_after.is_some(),
                "seed {seed}: transient problem without a retry time: {problem:?}"
            );
        }
    }
    assert!(
        outcome_counts.iter().all(|count| *count > 0),
        "some outcome never occurred: {outcome_counts:?}"
    );
}

#[test]
fn the_simulation_detects_a_repeated_non_idempotent_call() {
    // The state machine is told that the call is idempotent, whereas the simulation treats it as non-idempotent.
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
    assert!(ran_twice, "no schedule ran the call twice");
}
