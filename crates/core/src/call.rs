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
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which the fate of a harmful call is given up.
const FATE_PATIENCE: Duration = Duration::from_secs(3);
/// Most tries of one call.
const MAX_ATTEMPTS: u32 = 4;

/// Whose frames are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Following {
    /// Nobody's.
    Nothing,
    /// Those of the call's own last try.
    OwnTry,
    /// Those of another attempt, which holds the call's claim.
    Owner,
}

/// State of one call.
#[derive(Debug, Clone)]
pub struct Call {
    repeat: Repeatability,
    /// Tries started; at most [`MAX_ATTEMPTS`].
    attempts: u32,
    /// A try was sent and nothing proves that it did not begin. Never reset while a harmful or harmless try is in doubt;
    /// a claim that a later try wins proves it for keyed calls.
    may_have_run: bool,
    following: Following,
    /// Part of the answer reached the caller.
    response_started: bool,
    /// When the live try's agent stopped answering.
    lost_since: Option<time::Time>,
    /// The deadline has passed; no try may start.
    overdue: bool,
    /// Last refusal, to be told when tries run out.
    refusal: Option<problem::Problem>,
}

impl Call {
    /// A call before its first try.
    pub fn new(repeat: Repeatability) -> Self {
        Self {
            repeat,
            attempts: 0,
            may_have_run: false,
            following: Following::Nothing,
            response_started: false,
            lost_since: None,
            overdue: false,
            refusal: None,
        }
    }

    /// Notes that a try is about to be sent.
    pub fn record_attempt(&mut self) {
        self.attempts += 1;
        self.following = Following::OwnTry;
        self.lost_since = None;
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
                self.lost_since = None;
                CallAction::Follow
            }
            AttemptEvent::Ended => self.end(CallResult::Done),
            AttemptEvent::NotSent => self.retry_unbegun(
                problem::Problem::new(problem::ProblemKind::NoEndpoint, "the agent is not in reach"),
                budget,
            ),
            AttemptEvent::Refused(problem) => self.retry_unbegun(problem, budget),
            AttemptEvent::NoCandidate(problem) => self.no_candidate(problem),
            AttemptEvent::EndpointFailed(problem) => self.retry_doubtful(problem, budget),
            AttemptEvent::Lost => self.lost(now),
            AttemptEvent::Unreachable => self.unreachable(now, budget),
            AttemptEvent::Forgotten if self.following == Following::Owner => self.owner_gone(),
            AttemptEvent::Forgotten => {
                self.retry_doubtful(lost_answer("the agent that held the call was replaced"), budget)
            }
            AttemptEvent::DeadlinePassed => self.deadline_passed(),
            AttemptEvent::StillRunning => self.fail(problem::Problem::new(
                problem::ProblemKind::DeadlineAfterStart,
                "the endpoint was still at work",
            )),
            AttemptEvent::Owned => {
                self.following = Following::Owner;
                self.lost_since = None;
                CallAction::Resume { after: Duration::ZERO }
            }
            AttemptEvent::OwnerGone => self.owner_gone(),
        }
    }

    fn deadline_passed(&mut self) -> CallAction {
        self.overdue = true;
        match self.following {
            Following::OwnTry => CallAction::Cancel,
            Following::Owner => self.fail(problem::Problem::new(
                problem::ProblemKind::DeadlineAfterStart,
                "the endpoint was still at work",
            )),
            Following::Nothing => self.refuse(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "no endpoint was free in time",
            )),
        }
    }

    fn owner_gone(&mut self) -> CallAction {
        let detail = "the agent that held the earlier call is not in reach";
        self.fail(problem::Problem::new(problem::ProblemKind::EarlierAnswerLost, detail))
    }

    fn lost(&mut self, now: time::Time) -> CallAction {
        self.lost_since.get_or_insert(now);
        CallAction::Resume { after: Duration::ZERO }
    }

    fn unreachable(&mut self, now: time::Time, budget: &mut retry_budget::RetryBudget) -> CallAction {
        let since = *self.lost_since.get_or_insert(now);
        // An answer under way is worth asking for once more before another endpoint computes it again.
        let patience = match self.repeat {
            _ if self.overdue => Duration::ZERO,
            _ if self.following == Following::Owner => FATE_PATIENCE,
            Repeatability::NonIdempotent => FATE_PATIENCE,
            Repeatability::Idempotent | Repeatability::Claimed => ASK_INTERVAL,
        };
        if now.since(since) < patience {
            return CallAction::Resume { after: ASK_INTERVAL };
        }
        if self.following == Following::Owner {
            return self.owner_gone();
        }
        self.retry_doubtful(lost_answer("the agent that held the call is not in reach"), budget)
    }

    fn retry_unbegun(&mut self, problem: problem::Problem, budget: &mut retry_budget::RetryBudget) -> CallAction {
        self.following = Following::Nothing;
        let lasting = !problem.kind.is_transient();
        self.refusal = Some(problem.clone());
        if lasting || self.no_attempts_left(budget) {
            return self.refuse(problem);
        }
        CallAction::Dispatch {
            continued: self.response_started,
        }
    }

    fn retry_doubtful(&mut self, problem: problem::Problem, budget: &mut retry_budget::RetryBudget) -> CallAction {
        let owner = self.following == Following::Owner;
        self.following = Following::Nothing;
        self.may_have_run = true;
        if self.repeat == Repeatability::NonIdempotent || owner || self.no_attempts_left(budget) {
            return self.fail(problem);
        }
        CallAction::Dispatch {
            continued: self.response_started,
        }
    }

    fn no_attempts_left(&self, budget: &mut retry_budget::RetryBudget) -> bool {
        self.overdue || self.attempts >= MAX_ATTEMPTS || !budget.try_spend()
    }

    fn no_candidate(&mut self, problem: problem::Problem) -> CallAction {
        let problem = self.refusal.take().unwrap_or(problem);
        self.refuse(problem)
    }

    fn refuse(&mut self, problem: problem::Problem) -> CallAction {
        if self.may_have_run || self.response_started {
            return self.fail(lost_answer(&problem.detail));
        }
        self.end(CallResult::Problem(problem))
    }

    fn fail(&mut self, problem: problem::Problem) -> CallAction {
        let mut problem = if self.response_started && problem.kind == problem::ProblemKind::AnswerLost {
            problem::Problem::new(problem::ProblemKind::AnswerCut, problem.detail)
        } else {
            problem
        };
        if self.repeat != Repeatability::NonIdempotent {
            problem.retry_after.get_or_insert(Duration::from_secs(1));
        }
        self.end(CallResult::Problem(problem))
    }

    fn end(&mut self, ending: CallResult) -> CallAction {
        self.following = Following::Nothing;
        CallAction::Finish(ending)
    }
}

fn lost_answer(detail: &str) -> problem::Problem {
    problem::Problem::new(problem::ProblemKind::AnswerLost, detail)
}
