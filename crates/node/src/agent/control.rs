//! The agent's control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use crossbeam::sync::ShardedLock;
use slog::{Logger, debug, info};
use sycamorestile_core::agent_config;
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::incarnation;
use sycamorestile_core::load;
use sycamorestile_core::problem;
use sycamorestile_core::revision;
use tokio::sync::oneshot;

use crate::agent::board;
use crate::agent::message;
use crate::clock;
use crate::error;
use crate::mailbox;
use crate::settings::agent_settings;

/// Maximum number of messages queued for the control thread.
pub(crate) const QUEUE_CAPACITY: usize = 16_384;
/// Maximum time between two iterations while no attempt is queued.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time between two checks of the deadlines of queued attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of iterations between two removals of expired attempt records.
const EXPIRY_INTERVAL_TICKS: u32 = 100;
/// Number of attempts that run concurrently until the configuration is known.
const SLOTS_BEFORE_CONFIG: u32 = 1;

/// Handle to the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    mailbox: mailbox::Mailbox<message::ControlMessage>,
}

impl Control {
    pub(crate) fn new(tx: Sender<message::ControlMessage>) -> Self {
        let mailbox = mailbox::Mailbox::new(tx);
        Self { mailbox }
    }

    /// Offers an attempt to the attempt queue and waits for the decision.
    pub(crate) async fn offer(&self, offer: attempt_queue::AttemptOffer) -> message::AttemptDecision {
        let (reply, decided) = oneshot::channel();
        if !self.mailbox.try_send(message::ControlMessage::Offer(offer, reply)) {
            return overloaded_decision();
        }
        decided.await.unwrap_or_else(|_| overloaded_decision())
    }

    pub(crate) fn record_ended(&self, attempt: attempt_id::AttemptId) {
        self.mailbox.send(message::ControlMessage::Ended(attempt));
    }

    pub(crate) fn record_withdrawn(&self, attempt: attempt_id::AttemptId) {
        self.mailbox.send(message::ControlMessage::Withdrawn(attempt));
    }

    /// Records the time to the first token. The observation is dropped if the queue is full, since it only refines
    /// predictions.
    pub(crate) fn observe_first_token(&self, span: Duration) {
        let _sent = self.mailbox.try_send(message::ControlMessage::FirstToken(span));
    }

    /// Records the time between two tokens. The observation is dropped if the queue is full, since it only refines
    /// predictions.
    pub(crate) fn observe_token_gap(&self, span: Duration) {
        let _sent = self.mailbox.try_send(message::ControlMessage::TokenGap(span));
    }

    /// Cancels an attempt unless it has begun. Returns `None` if the control thread has stopped.
    pub(crate) async fn cancel(&self, attempt: attempt_id::AttemptId) -> Option<attempt_queue::AttemptState> {
        self.mailbox
            .request(|reply| message::ControlMessage::Cancel(attempt, reply))
            .await
    }

    pub(crate) fn set_addresses(&self, calls: SocketAddr, control: SocketAddr) {
        self.mailbox.send(message::ControlMessage::Addresses { calls, control });
    }

    pub(crate) fn apply_announce_reply(&self, reply: announce_reply::AnnounceReply) {
        self.mailbox
            .send(message::ControlMessage::AnnounceReply(Box::new(reply)));
    }

    pub(crate) async fn view(&self) -> Option<agent_view::AgentView> {
        self.mailbox.request(message::ControlMessage::View).await.flatten()
    }

    pub(crate) async fn config(&self) -> Option<agent_config::AgentConfig> {
        self.mailbox.request(message::ControlMessage::Config).await.flatten()
    }

    pub(crate) async fn in_flight(&self) -> usize {
        self.mailbox
            .request(message::ControlMessage::InFlight)
            .await
            .unwrap_or(0)
    }

    pub(crate) fn drain(&self) {
        self.mailbox.send(message::ControlMessage::Drain);
    }
}

fn overloaded_decision() -> message::AttemptDecision {
    message::AttemptDecision::Refuse(problem::Problem::new(
        problem::ProblemKind::Overloaded,
        "the agent's control thread is overloaded",
    ))
}

/// Starts the control thread. Returns the cell in which it publishes the load.
///
/// # Errors
///
/// Returns [`error::StartError::Thread`] if the thread cannot be spawned.
pub(crate) fn start(
    rx: Receiver<message::ControlMessage>,
    settings: &agent_settings::AgentSettings,
    incarnation: incarnation::Incarnation,
    clock: clock::Clock,
    ready: Arc<AtomicBool>,
    log: Logger,
) -> Result<Arc<ShardedLock<load::Load>>, error::StartError> {
    let load = Arc::new(ShardedLock::new(load::Load::default()));
    let board = board::AgentBoard {
        endpoint: settings.endpoint.clone(),
        incarnation,
        attempt_queue: attempt_queue::AttemptQueue::new(SLOTS_BEFORE_CONFIG),
        pending: Vec::new(),
        config: None,
        revision: revision::Revision::default(),
        calls: None,
        control: None,
        entries: 0,
        seq: 0,
    };
    let published = Arc::clone(&load);
    let thread = thread::Builder::new().name("control".to_owned());
    let run = move || {
        ControlLoop {
            board,
            clock,
            published,
            ready,
            log,
        }
        .run(&rx);
    };
    thread.spawn(run).map_err(|source| error::StartError::Thread {
        what: "control",
        source,
    })?;
    Ok(load)
}

struct ControlLoop {
    board: board::AgentBoard,
    clock: clock::Clock,
    published: Arc<ShardedLock<load::Load>>,
    ready: Arc<AtomicBool>,
    log: Logger,
}

impl ControlLoop {
    fn run(mut self, rx: &Receiver<message::ControlMessage>) {
        let mut ticks = 0_u32;
        loop {
            let timeout = if self.board.pending.is_empty() {
                IDLE_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            match rx.recv_timeout(timeout) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.start_queued();
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(EXPIRY_INTERVAL_TICKS) {
                self.board.attempt_queue.remove_expired(self.clock.now());
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: message::ControlMessage) {
        let now = self.clock.now();
        let board = &mut self.board;
        // If the requester has gone away, the reply is dropped.
        match message {
            message::ControlMessage::Offer(offer, reply) => self.offer(&offer, reply),
            message::ControlMessage::Ended(attempt) => board.attempt_queue.record_ended(attempt, now),
            message::ControlMessage::Withdrawn(attempt) => board.attempt_queue.record_withdrawn(attempt, now),
            message::ControlMessage::FirstToken(span) => board.attempt_queue.observe_first_token(span),
            message::ControlMessage::TokenGap(span) => board.attempt_queue.observe_token_gap(span),
            message::ControlMessage::Cancel(attempt, reply) => self.cancel(attempt, reply),
            message::ControlMessage::Addresses { calls, control } => {
                board.calls = Some(calls);
                board.control = Some(control);
            }
            message::ControlMessage::AnnounceReply(reply) => self.apply_announce_reply(*reply),
            message::ControlMessage::View(reply) => drop(reply.send(board.view())),
            message::ControlMessage::Config(reply) => drop(reply.send(board.config.clone())),
            message::ControlMessage::InFlight(reply) => drop(reply.send(board.attempt_queue.in_flight())),
            message::ControlMessage::Drain => self.drain(),
        }
    }

    fn offer(&mut self, offer: &attempt_queue::AttemptOffer, reply: oneshot::Sender<message::AttemptDecision>) {
        let decision = match self.board.attempt_queue.offer(offer, self.clock.now()) {
            attempt_queue::OfferResult::Begin => message::AttemptDecision::Begin,
            attempt_queue::OfferResult::Refuse(problem) => message::AttemptDecision::Refuse(problem),
            attempt_queue::OfferResult::Duplicate => message::AttemptDecision::Duplicate,
            attempt_queue::OfferResult::Wait => {
                self.board.add_pending(offer.attempt, reply);
                return;
            }
        };
        let _sent = reply.send(decision);
    }

    fn cancel(&mut self, attempt: attempt_id::AttemptId, reply: oneshot::Sender<attempt_queue::AttemptState>) {
        let state = self.board.attempt_queue.cancel(attempt, self.clock.now());
        if state == attempt_queue::AttemptState::NeverBegan {
            let problem = problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "the entry cancelled the attempt",
            );
            self.board.resolve(attempt, message::AttemptDecision::Refuse(problem));
        }
        let _sent = reply.send(state);
    }

    fn apply_announce_reply(&mut self, reply: announce_reply::AnnounceReply) {
        let before = self.board.revision;
        self.board.apply_announce_reply(reply);
        if self.board.revision != before {
            debug!(self.log, "configuration applied"; "revision" => %self.board.revision);
        }
    }

    fn drain(&mut self) {
        let refused = self.board.attempt_queue.drain(self.clock.now());
        info!(self.log, "draining"; "running" => self.board.attempt_queue.in_flight(), "refused" => refused.len());
        for action in refused {
            self.apply_action(action);
        }
    }

    fn start_queued(&mut self) {
        while let Some(action) = self.board.attempt_queue.next_action(self.clock.now()) {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: attempt_queue::QueueAction) {
        match action {
            attempt_queue::QueueAction::Begin(attempt) => self.board.resolve(attempt, message::AttemptDecision::Begin),
            attempt_queue::QueueAction::Refuse(attempt, problem) => {
                self.board.resolve(attempt, message::AttemptDecision::Refuse(problem));
            }
        }
    }

    fn publish(&self) {
        let load = self.board.attempt_queue.load();
        let is_stale = *self.published.read().unwrap_or_else(std::sync::PoisonError::into_inner) != load;
        if is_stale {
            *self
                .published
                .write()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = load;
        }
        let ready = self.board.config.is_some() && !self.board.attempt_queue.is_draining();
        self.ready.store(ready, Ordering::Release);
    }
}
