//! Admission and execution record of one agent.
//!
//! The agent is the only way to its endpoint, so this record is the truth about what began there. Whatever an entry
//! believes, an attempt that the gate has refused or cancelled never begins in this incarnation.

use std::time::Duration;

use crate::attempt_id;
use crate::class;
use crate::fair_queue;
use crate::load;
use crate::name;
use crate::problem;
use crate::time;

/// Time for which ended attempts are remembered.
pub const RECORD_RETENTION: Duration = Duration::from_secs(120);
/// Attempts that may wait for each slot.
const QUEUE_CAPACITY_PER_SLOT: usize = 8;
/// Share of a new observation in smoothed times, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// An attempt that asks to be run.
#[derive(Debug, Clone)]
pub struct AttemptOffer {
    /// The attempt.
    pub attempt: attempt_id::AttemptId,
    /// The calling organisation.
    pub organisation: name::Name,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority class.
    pub class: class::Class,
    /// When the whole answer is due.
    pub deadline: time::Time,
    /// Tokens that the answer may have, if known.
    pub tokens: Option<u32>,
}

/// What became of an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// Runs now.
    Begin,
    /// Waits; [`AttemptQueue::next_action`] will tell.
    Wait,
    /// Never runs here.
    Refuse(problem::Problem),
    /// The attempt is on record already; follow its frames.
    Duplicate,
}

/// What is on record about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Refused or cancelled: it never began and never will.
    NeverBegan,
    /// Waits for a slot.
    Waiting,
    /// Runs at the endpoint.
    Running,
    /// Ended at the endpoint.
    Ended,
}

/// Next thing to do about a waiting attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction {
    /// Begin it.
    Begin(attempt_id::AttemptId),
    /// Answer it with a refusal.
    Refuse(attempt_id::AttemptId, problem::Problem),
}

#[derive(Debug, Clone)]
struct Record {
    attempt: attempt_id::AttemptId,
    state: AttemptState,
    /// Latest start with which the answer can be whole in time.
    latest_start: time::Time,
    /// When the record was last changed.
    changed_at: time::Time,
}

/// The gate of one agent.
#[derive(Debug, Clone)]
pub struct AttemptQueue {
    /// Sorted by attempt, each attempt once.
    records: Vec<Record>,
    queue: fair_queue::FairQueue<attempt_id::AttemptId>,
    /// Number of records that are [`AttemptState::Running`].
    running: u32,
    /// Attempts that may run at once; at least 1.
    slots: u32,
    /// Once set, never reset: nothing begins any more.
    draining: bool,
    hold_us: u32,
    first_us: u32,
    gap_us: u32,
}

impl AttemptQueue {
    /// A gate before an endpoint that runs `slots` attempts at once.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            records: Vec::new(),
            queue: fair_queue::FairQueue::new(slots as usize * QUEUE_CAPACITY_PER_SLOT),
            running: 0,
            slots,
            draining: false,
            hold_us: 0,
            first_us: 0,
            gap_us: 0,
        }
    }

    /// Changes the number of attempts that may run at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.queue.set_capacity(self.slots as usize * QUEUE_CAPACITY_PER_SLOT);
    }

    /// Whether the agent is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Attempts that run or wait.
    pub fn in_flight(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Decides about an offered attempt.
    pub fn offer(&mut self, offer: &AttemptOffer, now: time::Time) -> OfferResult {
        if let Ok(index) = self.position(offer.attempt) {
            return match self.records[index].state {
                AttemptState::NeverBegan => OfferResult::Refuse(problem::Problem::new(
                    problem::ProblemKind::Overloaded,
                    "the attempt was cancelled",
                )),
                AttemptState::Waiting | AttemptState::Running | AttemptState::Ended => OfferResult::Duplicate,
            };
        }
        if let Some(problem) = self.admission_problem(offer, now) {
            self.insert_record(offer.attempt, AttemptState::NeverBegan, now, now);
            return OfferResult::Refuse(problem);
        }
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            self.insert_record(offer.attempt, AttemptState::Running, now, now);
            return OfferResult::Begin;
        }
        let push_result = self
            .queue
            .push(offer.class, &offer.organisation, offer.weight, offer.attempt);
        debug_assert!(push_result.is_ok(), "a full queue is objected to before");
        let latest_start = saturating_sub(offer.deadline, self.expected_hold(offer));
        self.insert_record(offer.attempt, AttemptState::Waiting, latest_start, now);
        OfferResult::Wait
    }

    fn admission_problem(&self, offer: &AttemptOffer, now: time::Time) -> Option<problem::Problem> {
        if self.draining {
            return Some(
                problem::Problem::new(problem::ProblemKind::Leaving, "the endpoint is leaving")
                    .with_retry_after(Duration::ZERO),
            );
        }
        if now >= offer.deadline {
            return Some(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "the deadline passed on the way",
            ));
        }
        if self.running < self.slots && self.queue.is_empty() {
            // A free slot is no use to anyone else, so even a doubtful call may try.
            return None;
        }
        let wait = self.predicted_wait(offer);
        let end = now + wait + self.expected_hold(offer);
        if self.queue.is_full() || end >= offer.deadline {
            let detail = format!("the predicted wait is {} ms", wait.as_millis());
            let retry_after = wait.max(Duration::from_millis(100));
            return Some(problem::Problem::new(problem::ProblemKind::Overloaded, detail).with_retry_after(retry_after));
        }
        None
    }

    /// Time that the call is expected to hold a slot.
    fn expected_hold(&self, offer: &AttemptOffer) -> Duration {
        let micros = match offer.tokens {
            Some(tokens) => u64::from(self.first_us) + u64::from(tokens) * u64::from(self.gap_us),
            None => u64::from(self.hold_us),
        };
        Duration::from_micros(micros)
    }

    fn predicted_wait(&self, offer: &AttemptOffer) -> Duration {
        let ahead = self.queue.count_ahead(offer.class, &offer.organisation, offer.weight) as u64;
        let busy = u64::from(self.running) + ahead;
        let slots = u64::from(self.slots);
        let excess = (busy + 1).saturating_sub(slots);
        Duration::from_micros(excess * u64::from(self.hold_us) / slots)
    }

    /// The next waiting attempt that can begin or must be given up; call until `None`.
    pub fn next_action(&mut self, now: time::Time) -> Option<QueueAction> {
        if let Some(expired) = self.find_expired(now) {
            self.queue.remove(&expired);
            self.set_state(expired, AttemptState::NeverBegan, now);
            let detail = "no slot was free in time";
            return Some(QueueAction::Refuse(
                expired,
                problem::Problem::new(problem::ProblemKind::DeadlineBeforeStart, detail),
            ));
        }
        if self.running >= self.slots {
            return None;
        }
        let attempt = self.queue.pop()?;
        self.running += 1;
        self.set_state(attempt, AttemptState::Running, now);
        Some(QueueAction::Begin(attempt))
    }

    fn find_expired(&self, now: time::Time) -> Option<attempt_id::AttemptId> {
        if self.queue.is_empty() {
            return None;
        }
        let mut waiting = self.records.iter().filter(|r| r.state == AttemptState::Waiting);
        waiting.find(|r| now >= r.latest_start).map(|r| r.attempt)
    }

    /// Notes that a running attempt ended at the endpoint after holding its slot since it began.
    pub fn record_ended(&mut self, attempt: attempt_id::AttemptId, now: time::Time) {
        let Ok(index) = self.position(attempt) else { return };
        if self.records[index].state != AttemptState::Running {
            return;
        }
        let hold_time = now.since(self.records[index].changed_at);
        self.running -= 1;
        self.hold_us = smooth(self.hold_us, hold_time);
        self.set_state(attempt, AttemptState::Ended, now);
    }

    /// Notes that a running attempt was given up before the endpoint was called.
    pub fn record_withdrawn(&mut self, attempt: attempt_id::AttemptId, now: time::Time) {
        let Ok(index) = self.position(attempt) else { return };
        if self.records[index].state == AttemptState::Running {
            self.running -= 1;
            self.set_state(attempt, AttemptState::NeverBegan, now);
        }
    }

    /// Notes the time from an attempt's start to its first token.
    pub fn observe_first_token(&mut self, span: Duration) {
        self.first_us = smooth(self.first_us, span);
    }

    /// Notes the time between two tokens.
    pub fn observe_token_gap(&mut self, span: Duration) {
        self.gap_us = smooth(self.gap_us, span);
    }

    /// Cancels an attempt unless it has begun. An unknown attempt is cancelled in advance.
    pub fn cancel(&mut self, attempt: attempt_id::AttemptId, now: time::Time) -> AttemptState {
        match self.position(attempt) {
            Ok(index) if self.records[index].state == AttemptState::Waiting => {
                self.queue.remove(&attempt);
                self.set_state(attempt, AttemptState::NeverBegan, now);
                AttemptState::NeverBegan
            }
            Ok(index) => self.records[index].state,
            Err(_) => {
                self.insert_record(attempt, AttemptState::NeverBegan, now, now);
                AttemptState::NeverBegan
            }
        }
    }

    /// What is on record about an attempt.
    pub fn state(&self, attempt: attempt_id::AttemptId) -> Option<AttemptState> {
        self.position(attempt).ok().map(|index| self.records[index].state)
    }

    /// Begins to leave: nothing new begins, and all that waits is refused.
    pub fn drain(&mut self, now: time::Time) -> Vec<QueueAction> {
        self.draining = true;
        let waiting = self.queue.drain();
        let refuse = |attempt| {
            let problem = problem::Problem::new(problem::ProblemKind::Leaving, "the endpoint is leaving")
                .with_retry_after(Duration::ZERO);
            QueueAction::Refuse(attempt, problem)
        };
        for attempt in &waiting {
            self.set_state(*attempt, AttemptState::NeverBegan, now);
        }
        waiting.into_iter().map(refuse).collect()
    }

    /// Forgets attempts that ended long ago.
    pub fn remove_expired(&mut self, now: time::Time) {
        self.records.retain(|r| {
            let finished = matches!(r.state, AttemptState::NeverBegan | AttemptState::Ended);
            !finished || now.since(r.changed_at) < RECORD_RETENTION
        });
    }

    /// The load to report.
    pub fn load(&self) -> load::Load {
        load::Load {
            running: self.running,
            queued: self.queue.len() as u32,
            slots: self.slots,
            hold_us: self.hold_us,
            first_us: self.first_us,
            gap_us: self.gap_us,
        }
    }

    fn position(&self, attempt: attempt_id::AttemptId) -> Result<usize, usize> {
        self.records.binary_search_by(|r| r.attempt.cmp(&attempt))
    }

    fn insert_record(
        &mut self,
        attempt: attempt_id::AttemptId,
        state: AttemptState,
        latest_start: time::Time,
        now: time::Time,
    ) {
        if let Err(index) = self.position(attempt) {
            let record = Record {
                attempt,
                state,
                latest_start,
                changed_at: now,
            };
            self.records.insert(index, record);
        }
    }

    fn set_state(&mut self, attempt: attempt_id::AttemptId, state: AttemptState, now: time::Time) {
        if let Ok(index) = self.position(attempt) {
            self.records[index].state = state;
            self.records[index].changed_at = now;
        }
    }
}

fn saturating_sub(time: time::Time, span: Duration) -> time::Time {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    time::Time::from_micros(time.as_micros().saturating_sub(micros))
}

fn smooth(old_us: u32, span: Duration) -> u32 {
    let new_us = u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
    if old_us == 0 {
        return new_us;
    }
    old_us - old_us / SMOOTHING_DIVISOR + new_us / SMOOTHING_DIVISOR
}
