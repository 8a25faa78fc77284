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
const SCHEDULES: u64 = 20_000;
/// Most steps of one schedule.
const MAX_STEPS: u32 = 200;

/// What really happened to a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Truth {
    /// It waits and may still run.
    Pending,
    /// Shut out for good.
    ShutOut,
    /// It ran.
    Ran,
}

struct World {
    rng: ChaCha8Rng,
    repeat: call::Repeatability,
    tries: Vec<Truth>,
    /// Try that holds the claim.
    claim: Option<usize>,
    /// Try that is followed.
    following: usize,
    runs: u32,
}

impl World {
    fn new(seed: u64, repeat: call::Repeatability) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            repeat,
            tries: Vec::new(),
            claim: None,
            following: 0,
            runs: 0,
        }
    }

    fn flip(&mut self) -> bool {
        self.rng.random_bool(0.5)
    }

    /// Pending tries may run at any moment, also those that nobody follows any more.
    fn stir(&mut self) {
        for index in 0..self.tries.len() {
            if self.tries[index] == Truth::Pending && self.rng.random_bool(0.3) {
                self.run(index);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let granted = self.repeat != call::Repeatability::Claimed || self.claim.is_none_or(|owner| owner == index);
        if granted {
            self.claim = Some(index);
            self.tries[index] = Truth::Ran;
            self.runs += 1;
        } else {
            self.tries[index] = Truth::ShutOut;
        }
    }

    fn dispatch(&mut self) -> call::AttemptEvent {
        if self.rng.random_bool(0.1) {
            return call::AttemptEvent::NoCandidate(problem::Problem::new(problem::ProblemKind::NoEndpoint, ""));
        }
        self.tries.push(Truth::Pending);
        self.following = self.tries.len() - 1;
        match self.rng.random_range(0..4) {
            0 => self.shut_out(call::AttemptEvent::NotSent),
            1 => {
                let problem = problem::Problem::new(problem::ProblemKind::Overloaded, "");
                self.shut_out(call::AttemptEvent::Refused(problem))
            }
            _ => self.read(),
        }
    }

    fn shut_out(&mut self, event: call::AttemptEvent) -> call::AttemptEvent {
        self.tries[self.following] = Truth::ShutOut;
        event
    }

    /// A read of the followed try's frames.
    fn read(&mut self) -> call::AttemptEvent {
        self.stir();
        if self.rng.random_bool(0.3) {
            return call::AttemptEvent::Lost;
        }
        match self.tries[self.following] {
            Truth::Pending => {
                let index = self.following;
                self.run(index);
                self.answer()
            }
            Truth::Ran => self.answer(),
            Truth::ShutOut => self.shut_out_answer(),
        }
    }

    fn shut_out_answer(&mut self) -> call::AttemptEvent {
        match self.claim {
            Some(owner) if self.repeat == call::Repeatability::Claimed && owner != self.following => {
                if self.flip() {
                    self.following = owner;
                    call::AttemptEvent::Owned
                } else {
                    call::AttemptEvent::OwnerGone
                }
            }
            _ => call::AttemptEvent::Refused(problem::Problem::new(problem::ProblemKind::Leaving, "")),
        }
    }

    fn answer(&mut self) -> call::AttemptEvent {
        match self.rng.random_range(0..4) {
            0 => call::AttemptEvent::Answering,
            1 => call::AttemptEvent::EndpointFailed(problem::Problem::new(problem::ProblemKind::AnswerLost, "")),
            _ => call::AttemptEvent::Ended,
        }
    }

    /// A question over a new connection.
    fn ask(&mut self) -> call::AttemptEvent {
        self.stir();
        let unknown_to_agent = self.flip();
        match self.rng.random_range(0..4) {
            0 => call::AttemptEvent::Unreachable,
            1 => call::AttemptEvent::Forgotten,
            _ => match self.tries[self.following] {
                // The agent that is asked about a try that it does not know shuts it out first.
                Truth::Pending if unknown_to_agent => {
                    let problem = problem::Problem::new(problem::ProblemKind::NoEndpoint, "");
                    self.shut_out(call::AttemptEvent::Refused(problem))
                }
                _ => self.read(),
            },
        }
    }

    fn cancel(&mut self) -> call::AttemptEvent {
        self.stir();
        if self.rng.random_bool(0.3) {
            return call::AttemptEvent::Unreachable;
        }
        match self.tries[self.following] {
            Truth::Pending => self.shut_out(call::AttemptEvent::Refused(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "",
            ))),
            Truth::ShutOut => {
                call::AttemptEvent::Refused(problem::Problem::new(problem::ProblemKind::DeadlineBeforeStart, ""))
            }
            Truth::Ran => call::AttemptEvent::StillRunning,
        }
    }
}

fn drive(seed: u64, repeat: call::Repeatability) -> (call::CallResult, World) {
    let mut world = World::new(seed, repeat);
    let mut budget = retry_budget::RetryBudget::default();
    let mut call = call::Call::new(repeat);
    let mut now = time::Time::ZERO;
    let mut step = call::CallAction::Dispatch { continued: false };
    for _ in 0..MAX_STEPS {
        now = now + Duration::from_millis(world.rng.random_range(0..400));
        let late = world.rng.random_bool(0.05);
        let event = match step {
            call::CallAction::Finish(ending) => return (ending, world),
            call::CallAction::Cancel => world.cancel(),
            _ if late => call::AttemptEvent::DeadlinePassed,
            call::CallAction::Dispatch { .. } => {
                let event = world.dispatch();
                if !matches!(event, call::AttemptEvent::NoCandidate(_)) {
                    call.record_attempt();
                }
                event
            }
            call::CallAction::Resume { after } => {
                now = now + after;
                world.ask()
            }
            call::CallAction::Follow => world.read(),
        };
        step = call.on_event(event, now, &mut budget);
    }
    panic!("seed {seed}: the call does not end");
}

fn outcome(ending: &call::CallResult) -> outcome::Outcome {
    match ending {
        call::CallResult::Done => outcome::Outcome::Done,
        call::CallResult::Problem(problem) => problem.kind.outcome(),
    }
}

#[rstest]
#[case::harmless(call::Repeatability::Idempotent)]
#[case::claimed(call::Repeatability::Claimed)]
#[case::harmful(call::Repeatability::NonIdempotent)]
fn outcomes_are_true_and_nothing_harmful_runs_twice(#[case] repeat: call::Repeatability) {
    let mut seen = [0_u32; 3];
    for seed in 0..SCHEDULES {
        let (ending, mut world) = drive(seed, repeat);
        // What is still pending may run after the caller was told.
        for _ in 0..20 {
            world.stir();
        }
        let outcome = outcome(&ending);
        seen[outcome as usize] += 1;
        match outcome {
            outcome::Outcome::Done => assert!(world.runs >= 1, "seed {seed}: told done, never ran"),
            outcome::Outcome::NotRun => assert_eq!(world.runs, 0, "seed {seed}: told not-run, ran: {ending:?}"),
            outcome::Outcome::Unknown => {}
        }
        if repeat != call::Repeatability::Idempotent {
            assert!(world.runs <= 1, "seed {seed}: ran {} times", world.runs);
        }
        if let call::CallResult::Problem(problem) = &ending {
            let due = problem.kind.is_transient();
            assert!(
                !due || problem.retry_after.is_some(),
                "seed {seed}: no time to come back: {problem:?}"
            );
        }
    }
    assert!(seen.iter().all(|count| *count > 0), "each outcome is reached: {seen:?}");
}

#[test]
fn the_world_catches_a_machine_that_repeats_what_is_harmful() {
    // The same schedules with a machine that takes a harmful call for a harmless one.
    let doubled = (0..SCHEDULES).any(|seed| {
        let mut world = World::new(seed, call::Repeatability::NonIdempotent);
        let mut call = call::Call::new(call::Repeatability::Idempotent);
        let mut budget = retry_budget::RetryBudget::default();
        let mut step = call::CallAction::Dispatch { continued: false };
        for _ in 0..MAX_STEPS {
            let event = match step {
                call::CallAction::Finish(_) => break,
                call::CallAction::Dispatch { .. } => {
                    call.record_attempt();
                    world.dispatch()
                }
                call::CallAction::Resume { .. } => world.ask(),
                call::CallAction::Cancel => world.cancel(),
                call::CallAction::Follow => world.read(),
            };
            step = call.on_event(event, time::Time::ZERO, &mut budget);
        }
        world.runs > 1
    });
    assert!(doubled, "a planted fault goes unnoticed");
}
