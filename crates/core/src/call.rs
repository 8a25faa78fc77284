//! State machine of one call at an entry, from its first attempt to its outcome.
//!
//! The state machine tracks what is known about the call's execution. It reports a call as not run only if no attempt
//! can have begun. After an attempt that may have begun, it retries only if the call is idempotent or a claim prevents a
//! second execution. It performs no I/O: its driver carries out each [`CallAction`] and reports the result as an
//! [`AttemptEvent`].

use std::time::Duration;

use crate::problem;
use crate::retry_budget;
use crate::time;

/// Whether a call may be sent again when an earlier attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The call is idempotent, so a second execution is harmless.
    Idempotent,
    /// The call has an idempotency key, and agents execute it only under a claim, so it runs at most once.
    Claimed,
    /// A second execution would do harm, so the call is never sent again once an attempt may have begun.
    NonIdempotent,
}

/// What happened to the current attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No endpoint is available for another attempt, for the reason given by the problem.
    NoCandidate(problem::Problem),
    /// No byte of the request was sent to the agent.
    NotSent,
    /// The agent refused the attempt: it has not begun and never will.
    Refused(problem::Problem),
    /// The first frame of the endpoint's response arrived.
    Answering,
    /// The end marker of the response arrived.
    Ended,
    /// The agent reported that the endpoint failed.
    EndpointFailed(problem::Problem),
    /// The connection to the agent broke or timed out without traffic.
    Lost,
    /// The agent didn't reply to a request to resume or cancel the attempt.
    Unreachable,
    /// The agent no longer has a record of the attempt, for example because its process was replaced.
    Forgotten,
    /// The deadline passed.
    DeadlinePassed,
    /// The agent could not cancel the attempt because it has begun.
    StillRunning,
    /// Another attempt owns the call's claim, and its response can be read.
    Owned,
    /// The call's claim is owned by an attempt whose agent process no longer exists.
    OwnerGone,
}

/// What the driver of a call does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAction {
    /// Start a new attempt at another endpoint.
    Dispatch {
        /// Part of the response has reached the caller, so the endpoint has to be able to continue it.
        continued: bool,
    },
    /// Request the attempt's remaining frames from the same agent over a new connection.
    Resume {
        /// Delay before the request.
        after: Duration,
    },
    /// Ask the agent to cancel the attempt unless it has begun.
    Cancel,
    /// Continue to read frames.
    Follow,
    /// Finish the call with this result.
    Finish(CallResult),
}

/// Result of a finished call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The complete response was forwarded to the caller.
    Done,
    /// The call failed. The problem's kind determines the outcome.
    Problem(problem::Problem),
}

/// Delay between requests to resume an attempt whose agent doesn't reply.
const RESUME_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the loss of the connection at which a response counts as lost if no other attempt can replace it, because
/// the call is not idempotent or the response belongs to the owner of the call's claim.
const UNCERTAIN_OUTCOME_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 4;

/// The attempt whose frames are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FrameSource {
    /// No attempt is in progress.
    None,
    /// The call's own last attempt.
    OwnAttempt,
    /// Another attempt, which owns the call's claim.
    ClaimOwner,
}

/// State of one call.
#[derive(Debug, Clone)]
pub struct Call {
    repeatability: Repeatability,
    /// Number of attempts started, at most [`MAX_ATTEMPTS`].
    attempts: u32,
    /// An attempt that may have begun was lost or failed. Never reset.
    may_have_run: bool,
    frame_source: FrameSource,
    /// Part of the response has reached the caller.
    response_started: bool,
    /// When the agent of the current attempt was first found to be disconnected or unreachable.
    disconnected_at: Option<time::Time>,
    /// The deadline has passed, so no further attempt may start.
    deadline_passed: bool,
    /// Last refusal, reported if no endpoint is left to try.
    last_refusal: Option<problem::Problem>,
}

impl Call {
    /// Creates the state of a call that has not been sent yet.
    pub fn new(repeatability: Repeatability) -> Self {
        Self {
            repeatability,
            attempts: 0,
            may_have_run: false,
            frame_source: FrameSource::None,
            response_started: false,
            disconnected_at: None,
            deadline_passed: false,
            last_refusal: None,
        }
    }

    /// Records that an attempt is about to be sent.
    pub fn record_attempt(&mut self) {
        self.attempts += 1;
        self.frame_source = FrameSource::OwnAttempt;
        self.disconnected_at = None;
    }

    /// Returns whether part of the response has reached the caller.
    pub fn response_started(&self) -> bool {
        self.response_started
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the action to take after `event`.
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: time::Time,
        budget: &mut retry_budget::RetryBudget,
    ) -> CallAction {
        match event {
            AttemptEvent::Answering => {
                self.response_started = true;
                self.disconnected_at = None;
                CallAction::Follow
            }
            AttemptEvent::Ended => self.finish(CallResult::Done),
            AttemptEvent::NotSent => self.retry_not_begun(
                problem::Problem::new(problem::ProblemKind::NoEndpoint, "the agent can't be reached"),
                budget,
            ),
            AttemptEvent::Refused(problem) => self.retry_not_begun(problem, budget),
            AttemptEvent::NoCandidate(problem) => self.on_no_candidate(problem),
            AttemptEvent::EndpointFailed(problem) => self.retry_uncertain(problem, budget),
            AttemptEvent::Lost => self.on_disconnected(now),
            AttemptEvent::Unreachable => self.on_unreachable(now, budget),
            AttemptEvent::Forgotten if self.frame_source == FrameSource::ClaimOwner => self.on_owner_gone(),
            AttemptEvent::Forgotten => {
                self.retry_uncertain(response_lost("the agent that accepted the call was replaced"), budget)
            }
            AttemptEvent::DeadlinePassed => self.on_deadline_passed(),
            AttemptEvent::StillRunning => self.finish_uncertain(problem::Problem::new(
                problem::ProblemKind::DeadlineAfterStart,
                "the endpoint was still processing the call",
            )),
            AttemptEvent::Owned => {
                self.frame_source = FrameSource::ClaimOwner;
                self.disconnected_at = None;
                CallAction::Resume { after: Duration::ZERO }
            }
            AttemptEvent::OwnerGone => self.on_owner_gone(),
        }
    }

    fn on_deadline_passed(&mut self) -> CallAction {
        self.deadline_passed = true;
        match self.frame_source {
            FrameSource::OwnAttempt => CallAction::Cancel,
            FrameSource::ClaimOwner => self.finish_uncertain(problem::Problem::new(
                problem::ProblemKind::DeadlineAfterStart,
                "the endpoint was still processing the call",
            )),
            FrameSource::None => self.finish_refused(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "no endpoint was available before the deadline",
            )),
        }
    }

    fn on_owner_gone(&mut self) -> CallAction {
        let detail = "the agent that accepted the earlier call is unavailable";
        self.finish_uncertain(problem::Problem::new(problem::ProblemKind::EarlierAnswerLost, detail))
    }

    fn on_disconnected(&mut self, now: time::Time) -> CallAction {
        self.disconnected_at.get_or_insert(now);
        CallAction::Resume { after: Duration::ZERO }
    }

    fn on_unreachable(&mut self, now: time::Time, budget: &mut retry_budget::RetryBudget) -> CallAction {
        let disconnected_at = *self.disconnected_at.get_or_insert(now);
        // The response may still be available, so ask for it once more before another endpoint computes it again.
        let timeout = match self.repeatability {
            _ if self.deadline_passed => Duration::ZERO,
            _ if self.frame_source == FrameSource::ClaimOwner => UNCERTAIN_OUTCOME_TIMEOUT,
            Repeatability::NonIdempotent => UNCERTAIN_OUTCOME_TIMEOUT,
            Repeatability::Idempotent | Repeatability::Claimed => RESUME_INTERVAL,
        };
        if now.since(disconnected_at) < timeout {
            return CallAction::Resume { after: RESUME_INTERVAL };
        }
        if self.frame_source == FrameSource::ClaimOwner {
            return self.on_owner_gone();
        }
        self.retry_uncertain(
            response_lost("the agent that accepted the call can't be reached"),
            budget,
        )
    }

    /// Retries an attempt that is known not to have begun.
    fn retry_not_begun(&mut self, problem: problem::Problem, budget: &mut retry_budget::RetryBudget) -> CallAction {
        self.frame_source = FrameSource::None;
        let permanent = !problem.kind.is_transient();
        self.last_refusal = Some(problem.clone());
        if permanent || !self.try_retry(budget) {
            return self.finish_refused(problem);
        }
        CallAction::Dispatch {
            continued: self.response_started,
        }
    }

    /// Retries an attempt that may have run, if a second execution is safe.
    fn retry_uncertain(&mut self, problem: problem::Problem, budget: &mut retry_budget::RetryBudget) -> CallAction {
        let follows_owner = self.frame_source == FrameSource::ClaimOwner;
        self.frame_source = FrameSource::None;
        self.may_have_run = true;
        if self.repeatability == Repeatability::NonIdempotent || follows_owner || !self.try_retry(budget) {
            return self.finish_uncertain(problem);
        }
        CallAction::Dispatch {
            continued: self.response_started,
        }
    }

    /// Returns whether another attempt may start, and takes it from the retry budget.
    fn try_retry(&self, budget: &mut retry_budget::RetryBudget) -> bool {
        !self.deadline_passed && self.attempts < MAX_ATTEMPTS && budget.try_spend()
    }

    fn on_no_candidate(&mut self, problem: problem::Problem) -> CallAction {
        let problem = self.last_refusal.take().unwrap_or(problem);
        self.finish_refused(problem)
    }

    /// Ends the call with a problem that says that it has not run, unless an earlier attempt may have run.
    fn finish_refused(&mut self, problem: problem::Problem) -> CallAction {
        if self.may_have_run || self.response_started {
            return self.finish_uncertain(response_lost(&problem.detail));
        }
        self.finish(CallResult::Problem(problem))
    }

    /// Ends the call with a problem after an attempt that may have run.
    fn finish_uncertain(&mut self, problem: problem::Problem) -> CallAction {
        let mut problem = if self.response_started && problem.kind == problem::ProblemKind::AnswerLost {
            problem::Problem::new(problem::ProblemKind::AnswerCut, problem.detail)
        } else {
            problem
        };
        if self.repeatability != Repeatability::NonIdempotent {
            problem.retry_after.get_or_insert(Duration::from_secs(1));
        }
        self.finish(CallResult::Problem(problem))
    }

    fn finish(&mut self, result: CallResult) -> CallAction {
        self.frame_source = FrameSource::None;
        CallAction::Finish(result)
    }
}

fn response_lost(detail: &str) -> problem::Problem {
    problem::Problem::new(problem::ProblemKind::AnswerLost, detail)
}
