//! One call at an entry, from its first try to its outcome.
//!
//! The machine holds what is proved about the call's execution. It ends a call as not run only while no try can have
//! begun, and it tries again only where a second execution is harmless or shut out by a claim. Whoever drives it does
//! the sending and reports what happened.

use std::time::Duration;

use crate::problem;
use crate::retry_budget;
use crate::time;

/// What a second execution of the call would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// No harm: the call is idempotent.
    Idempotent,
    /// Shut out: agents execute a keyed call only under a claim.
    Claimed,
    /// Harm: at most one send.
    NonIdempotent,
}

/// What happened to the live try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No endpoint can be tried; the problem says why.
    NoCandidate(problem::Problem),
    /// No byte left for the agent.
    NotSent,
    /// The agent proved that the try never began and never will.
    Refused(problem::Problem),
    /// The first frame of the endpoint's answer came.
    Answering,
    /// The end mark came.
    Ended,
    /// The endpoint failed in a way that the agent saw.
    EndpointFailed(problem::Problem),
    /// The connection to the agent broke or went silent.
    Lost,
    /// The agent could not be asked.
    Unreachable,
    /// The agent process that held the try is gone, and its record with it.
    Forgotten,
    /// The deadline passed.
    DeadlinePassed,
    /// The agent was asked to cancel and the try is running.
    StillRunning,
    /// The call's claim belongs to another attempt, which can be followed.
    Owned,
    /// The call's claim belongs to an attempt whose agent process is gone.
    OwnerGone,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAction {
    /// Start a new try at another endpoint.
    Dispatch {
        /// The answer has begun to reach the caller; only an endpoint that can continue it will do.
        continued: bool,
    },
    /// Ask the same agent for the try's frames over a new connection.
    Resume {
        /// Time to wait first.
        after: Duration,
    },
    /// Have the agent cancel the try unless it has begun.
    Cancel,
    /// Go on reading.
    Follow,
    /// The call has ended.
    Finish(CallResult),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer was handed on.
    Done,
    /// Anything else; the problem's kind fixes the outcome.
    Problem(problem::Problem),
}

/// Time between two questions to an agent that does not answer.
const RESUME_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which the fate of a harmful call is given up.
const UNCERTAIN_OUTCOME_TIMEOUT: Duration = Duration::from_secs(3);
/// Most tries of one call.
const MAX_ATTEMPTS: u32 = 4;

/// Whose frames are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FrameSource {
    /// Nobody's.
    None,
    /// Those of the call's own last try.
    OwnAttempt,
    /// Those of another attempt, which holds the call's claim.
    ClaimOwner,
}

/// State of one call.
#[derive(Debug, Clone)]
pub struct Call {
    repeatability: Repeatability,
    /// Tries started; at most [`MAX_ATTEMPTS`].
    attempts: u32,
    /// A try was sent and nothing proves that it did not begin. Never reset while a harmful or harmless try is in doubt;
    /// a claim that a later try wins proves it for keyed calls.
    may_have_run: bool,
    frame_source: FrameSource,
    /// Part of the answer reached the caller.
    response_started: bool,
    /// When the live try's agent stopped answering.
    disconnected_at: Option<time::Time>,
    /// The deadline has passed; no try may start.
    deadline_passed: bool,
    /// Last refusal, to be told when tries run out.
    last_refusal: Option<problem::Problem>,
}

impl Call {
    /// A call before its first try.
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

    /// Notes that a try is about to be sent.
    pub fn record_attempt(&mut self) {
        self.attempts += 1;
        self.frame_source = FrameSource::OwnAttempt;
        self.disconnected_at = None;
    }

    /// Whether part of the answer has reached the caller.
    pub fn response_started(&self) -> bool {
        self.response_started
    }

    /// Number of tries so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides what follows `event`.
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
                problem::Problem::new(problem::ProblemKind::NoEndpoint, "the agent is not in reach"),
                budget,
            ),
            AttemptEvent::Refused(problem) => self.retry_not_begun(problem, budget),
            AttemptEvent::NoCandidate(problem) => self.on_no_candidate(problem),
            AttemptEvent::EndpointFailed(problem) => self.retry_uncertain(problem, budget),
            AttemptEvent::Lost => self.on_disconnected(now),
            AttemptEvent::Unreachable => self.on_unreachable(now, budget),
            AttemptEvent::Forgotten if self.frame_source == FrameSource::ClaimOwner => self.on_owner_gone(),
            AttemptEvent::Forgotten => {
                self.retry_uncertain(response_lost("the agent that held the call was replaced"), budget)
            }
            AttemptEvent::DeadlinePassed => self.on_deadline_passed(),
            AttemptEvent::StillRunning => self.finish_uncertain(problem::Problem::new(
                problem::ProblemKind::DeadlineAfterStart,
                "the endpoint was still at work",
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
                "the endpoint was still at work",
            )),
            FrameSource::None => self.finish_refused(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "no endpoint was free in time",
            )),
        }
    }

    fn on_owner_gone(&mut self) -> CallAction {
        let detail = "the agent that held the earlier call is not in reach";
        self.finish_uncertain(problem::Problem::new(problem::ProblemKind::EarlierAnswerLost, detail))
    }

    fn on_disconnected(&mut self, now: time::Time) -> CallAction {
        self.disconnected_at.get_or_insert(now);
        CallAction::Resume { after: Duration::ZERO }
    }

    fn on_unreachable(&mut self, now: time::Time, budget: &mut retry_budget::RetryBudget) -> CallAction {
        let disconnected_at = *self.disconnected_at.get_or_insert(now);
        // An answer under way is worth asking for once more before another endpoint computes it again.
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
        self.retry_uncertain(response_lost("the agent that held the call is not in reach"), budget)
    }

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

    fn try_retry(&self, budget: &mut retry_budget::RetryBudget) -> bool {
        !self.deadline_passed && self.attempts < MAX_ATTEMPTS && budget.try_spend()
    }

    fn on_no_candidate(&mut self, problem: problem::Problem) -> CallAction {
        let problem = self.last_refusal.take().unwrap_or(problem);
        self.finish_refused(problem)
    }

    fn finish_refused(&mut self, problem: problem::Problem) -> CallAction {
        if self.may_have_run || self.response_started {
            return self.finish_uncertain(response_lost(&problem.detail));
        }
        self.finish(CallResult::Problem(problem))
    }

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
