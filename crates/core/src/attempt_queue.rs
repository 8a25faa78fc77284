//! Admission, queueing and execution records of the attempts at one agent.
//!
//! An endpoint is reached only through its agent, so the agent's records are authoritative on which attempts have
//! begun. An attempt that was refused or cancelled here never begins in this incarnation of the agent, regardless of
//! what an entry knows about it.

use std::time::Duration;

use crate::attempt_id;
use crate::class;
use crate::fair_queue;
use crate::load;
use crate::name;
use crate::problem;
use crate::time;

/// Time for which the records of finished attempts are kept.
pub const RECORD_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of waiting attempts per slot.
const QUEUE_CAPACITY_PER_SLOT: usize = 8;
/// Divisor for smoothed times: a new sample has the weight `1 / SMOOTHING_DIVISOR`.
const SMOOTHING_DIVISOR: u32 = 8;

/// An attempt offered to an agent.
#[derive(Debug, Clone)]
pub struct AttemptOffer {
    /// Identifier of the attempt.
    pub attempt: attempt_id::AttemptId,
    /// Name of the calling organisation.
    pub organisation: name::Name,
    /// Weight of the organisation in the queue.
    pub weight: u32,
    /// Priority class of the call.
    pub class: class::Class,
    /// Time by which the response has to be complete.
    pub deadline: time::Time,
    /// Maximum number of tokens of the response, if known.
    pub tokens: Option<u32>,
}

/// Result of [`AttemptQueue::offer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// The attempt begins now.
    Begin,
    /// The attempt is queued; a later [`AttemptQueue::next_action`] decides about it.
    Wait,
    /// The attempt is refused and never begins.
    Refuse(problem::Problem),
    /// The attempt was offered before; its frames can be read from the beginning.
    Duplicate,
}

/// State of an attempt at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Refused, cancelled or withdrawn: the endpoint was not called and never will be.
    NeverBegan,
    /// Queued until a slot is free.
    Waiting,
    /// Occupies a slot.
    Running,
    /// Finished at the endpoint.
    Ended,
}

/// What the agent does next with a queued attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction {
    /// Start the attempt.
    Begin(attempt_id::AttemptId),
    /// Refuse the attempt.
    Refuse(attempt_id::AttemptId, problem::Problem),
}

#[derive(Debug, Clone)]
struct Record {
    attempt: attempt_id::AttemptId,
    state: AttemptState,
    /// Latest start with which the response is expected to be complete by the deadline. Used while waiting only.
    latest_start: time::Time,
    /// When `state` was last set.
    changed_at: time::Time,
}

/// Attempts at one agent: records of all of them, and the queue of those that wait for a slot.
#[derive(Debug, Clone)]
pub struct AttemptQueue {
    /// Sorted by attempt, with one record per attempt.
    records: Vec<Record>,
    queue: fair_queue::FairQueue<attempt_id::AttemptId>,
    /// Number of records in state [`AttemptState::Running`].
    running: u32,
    /// Maximum number of running attempts, at least 1.
    slots: u32,
    /// No further attempt may begin. Never reset once set.
    draining: bool,
    /// Smoothed time for which an attempt holds its slot, in microseconds.
    hold_us: u32,
    /// Smoothed time from the start of an attempt to its first token, in microseconds.
    first_us: u32,
    /// Smoothed time between two tokens, in microseconds.
    gap_us: u32,
}

impl AttemptQueue {
    /// Creates an empty queue for an endpoint that runs up to `slots` attempts at once, or one if `slots` is 0.
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

    /// Sets the maximum number of running attempts.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.queue.set_capacity(self.slots as usize * QUEUE_CAPACITY_PER_SLOT);
    }

    /// Returns whether [`AttemptQueue::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the number of running and waiting attempts.
    pub fn in_flight(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Starts, queues or refuses an offered attempt, and records it.
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
        debug_assert!(push_result.is_ok(), "a full queue is handled by admission_problem");
        let latest_start = saturating_sub(offer.deadline, self.expected_hold(offer));
        self.insert_record(offer.attempt, AttemptState::Waiting, latest_start, now);
        OfferResult::Wait
    }

    /// Returns why an attempt is refused; `None` if it is admitted.
    fn admission_problem(&self, offer: &AttemptOffer, now: time::Time) -> Option<problem::Problem> {
        if self.draining {
            return Some(
                problem::Problem::new(problem::ProblemKind::Leaving, "the endpoint is draining")
                    .with_retry_after(Duration::ZERO),
            );
        }
        if now >= offer.deadline {
            return Some(problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "the deadline passed before the attempt reached the agent",
            ));
        }
        if self.running < self.slots && self.queue.is_empty() {
            // No other attempt is waiting for the free slot, so admit this one even if it is likely to be late.
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

    /// Returns the time for which the attempt is expected to hold a slot.
    fn expected_hold(&self, offer: &AttemptOffer) -> Duration {
        let micros = match offer.tokens {
            Some(tokens) => u64::from(self.first_us) + u64::from(tokens) * u64::from(self.gap_us),
            None => u64::from(self.hold_us),
        };
        Duration::from_micros(micros)
    }

    /// Returns the time for which the attempt is expected to wait for a slot.
    fn predicted_wait(&self, offer: &AttemptOffer) -> Duration {
        let ahead = self.queue.count_ahead(offer.class, &offer.organisation, offer.weight) as u64;
        let busy = u64::from(self.running) + ahead;
        let slots = u64::from(self.slots);
        let excess = (busy + 1).saturating_sub(slots);
        Duration::from_micros(excess * u64::from(self.hold_us) / slots)
    }

    /// Returns the next waiting attempt to start or to refuse, and removes it from the queue.
    ///
    /// Call this until it returns `None` whenever a slot may be free or time has passed.
    pub fn next_action(&mut self, now: time::Time) -> Option<QueueAction> {
        if let Some(expired) = self.find_expired(now) {
            self.queue.remove(&expired);
            self.set_state(expired, AttemptState::NeverBegan, now);
            let detail = "no slot became free early enough to meet the deadline";
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

    /// Finds a waiting attempt whose latest start has passed.
    fn find_expired(&self, now: time::Time) -> Option<attempt_id::AttemptId> {
        if self.queue.is_empty() {
            return None;
        }
        let mut waiting = self.records.iter().filter(|r| r.state == AttemptState::Waiting);
        waiting.find(|r| now >= r.latest_start).map(|r| r.attempt)
    }

    /// Records that a running attempt finished at the endpoint, which frees its slot.
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

    /// Records that a running attempt was given up before the endpoint was called, which frees its slot.
    pub fn record_withdrawn(&mut self, attempt: attempt_id::AttemptId, now: time::Time) {
        let Ok(index) = self.position(attempt) else { return };
        if self.records[index].state == AttemptState::Running {
            self.running -= 1;
            self.set_state(attempt, AttemptState::NeverBegan, now);
        }
    }

    /// Records the time from an attempt's start to its first token.
    pub fn observe_first_token(&mut self, span: Duration) {
        self.first_us = smooth(self.first_us, span);
    }

    /// Records the time between two tokens.
    pub fn observe_token_gap(&mut self, span: Duration) {
        self.gap_us = smooth(self.gap_us, span);
    }

    /// Cancels an attempt unless it has begun, and returns its state.
    ///
    /// An unknown attempt is recorded as cancelled, so that it is refused if it is offered later.
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

    /// Returns the state of an attempt, if it is on record.
    pub fn state(&self, attempt: attempt_id::AttemptId) -> Option<AttemptState> {
        self.position(attempt).ok().map(|index| self.records[index].state)
    }

    /// Starts draining: refuses all waiting attempts, and every attempt that is offered from now on.
    ///
    /// Returns the refusals of the waiting attempts.
    pub fn drain(&mut self, now: time::Time) -> Vec<QueueAction> {
        self.draining = true;
        let waiting = self.queue.drain();
        let refuse = |attempt| {
            let problem = problem::Problem::new(problem::ProblemKind::Leaving, "the endpoint is draining")
                .with_retry_after(Duration::ZERO);
            QueueAction::Refuse(attempt, problem)
        };
        for attempt in &waiting {
            self.set_state(*attempt, AttemptState::NeverBegan, now);
        }
        waiting.into_iter().map(refuse).collect()
    }

    /// Removes the records of attempts that finished more than [`RECORD_RETENTION`] ago.
    pub fn remove_expired(&mut self, now: time::Time) {
        self.records.retain(|r| {
            let finished = matches!(r.state, AttemptState::NeverBegan | AttemptState::Ended);
            !finished || now.since(r.changed_at) < RECORD_RETENTION
        });
    }

    /// Returns the current load, for reports to entries.
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

    /// Returns the index of the attempt's record, or else the index at which to insert one.
    fn position(&self, attempt: attempt_id::AttemptId) -> Result<usize, usize> {
        self.records.binary_search_by(|r| r.attempt.cmp(&attempt))
    }

    /// Adds a record unless the attempt already has one.
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

/// Returns the time that is `span` before `time`, but not before time zero.
fn saturating_sub(time: time::Time, span: Duration) -> time::Time {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    time::Time::from_micros(time.as_micros().saturating_sub(micros))
}

/// Returns the exponentially weighted average after a new sample; the first sample is taken as it is.
fn smooth(old_us: u32, span: Duration) -> u32 {
    let new_us = u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
    if old_us == 0 {
        return new_us;
    }
    old_us - old_us / SMOOTHING_DIVISOR + new_us / SMOOTHING_DIVISOR
}
