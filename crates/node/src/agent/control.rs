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

/// Messages that may wait for the control thread.
pub(crate) const QUEUE: usize = 16_384;
/// Longest pause while nothing waits for a slot.
const IDLE_TICK: Duration = Duration::from_millis(200);
/// Longest pause between two looks at deadlines.
const TICK: Duration = Duration::from_millis(10);
/// Time after which records of ended attempts are looked through.
const EXPIRY_TICKS: u32 = 100;
/// Calls at once until the declaration is known.
const SLOTS_BEFORE_CONFIG: u32 = 1;

/// Handle to the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    mailbox: mailbox::Mailbox<message::Message>,
}

impl Control {
    pub(crate) fn new(tx: Sender<message::Message>) -> Self {
        let mailbox = mailbox::Mailbox::new(tx);
        Self { mailbox }
    }

    /// Offers an attempt and waits for the decision.
    pub(crate) async fn offer(&self, offer: attempt_queue::AttemptOffer) -> message::Start {
        let (reply, decided) = oneshot::channel();
        if !self.mailbox.try_tell(message::Message::Offer(offer, reply)) {
            return overloaded();
        }
        decided.await.unwrap_or_else(|_| overloaded())
    }

    pub(crate) fn ended(&self, attempt: attempt_id::AttemptId) {
        self.mailbox.tell(message::Message::Ended(attempt));
    }

    pub(crate) fn withdrawn(&self, attempt: attempt_id::AttemptId) {
        self.mailbox.tell(message::Message::Withdrawn(attempt));
    }

    /// Observations may be lost under pressure; they only sharpen predictions.
    pub(crate) fn first_token(&self, span: Duration) {
        let _taken = self.mailbox.try_tell(message::Message::FirstToken(span));
    }

    /// Observations may be lost under pressure; they only sharpen predictions.
    pub(crate) fn token_gap(&self, span: Duration) {
        let _taken = self.mailbox.try_tell(message::Message::TokenGap(span));
    }

    /// Cancels an attempt unless it has begun; `None` when the control thread is gone.
    pub(crate) async fn cancel(&self, attempt: attempt_id::AttemptId) -> Option<attempt_queue::AttemptState> {
        self.mailbox.ask(|reply| message::Message::Cancel(attempt, reply)).await
    }

    pub(crate) fn addresses(&self, calls: SocketAddr, control: SocketAddr) {
        self.mailbox.tell(message::Message::Addresses { calls, control });
    }

    pub(crate) fn announced(&self, reply: announce_reply::AnnounceReply) {
        self.mailbox.tell(message::Message::Announced(Box::new(reply)));
    }

    pub(crate) async fn view(&self) -> Option<agent_view::AgentView> {
        self.mailbox.ask(message::Message::View).await.flatten()
    }

    pub(crate) async fn config(&self) -> Option<agent_config::AgentConfig> {
        self.mailbox.ask(message::Message::Config).await.flatten()
    }

    pub(crate) async fn in_flight(&self) -> usize {
        self.mailbox.ask(message::Message::InFlight).await.unwrap_or(0)
    }

    pub(crate) fn leave(&self) {
        self.mailbox.tell(message::Message::Leave);
    }
}

fn overloaded() -> message::Start {
    message::Start::Refuse(problem::Problem::new(
        problem::ProblemKind::Overloaded,
        "the agent has too much to decide",
    ))
}

/// Starts the control thread; returns where it publishes the load.
///
/// # Errors
///
/// [`error::StartError::Thread`] when the thread can't be started.
pub(crate) fn start(
    rx: Receiver<message::Message>,
    settings: &agent_settings::AgentSettings,
    incarnation: incarnation::Incarnation,
    clock: clock::Clock,
    ready: Arc<AtomicBool>,
    log: Logger,
) -> Result<Arc<ShardedLock<load::Load>>, error::StartError> {
    let load = Arc::new(ShardedLock::new(load::Load::default()));
    let board = board::Board {
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
        Loop {
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

struct Loop {
    board: board::Board,
    clock: clock::Clock,
    published: Arc<ShardedLock<load::Load>>,
    ready: Arc<AtomicBool>,
    log: Logger,
}

impl Loop {
    fn run(mut self, rx: &Receiver<message::Message>) {
        let mut ticks = 0_u32;
        loop {
            let pause = if self.board.pending.is_empty() { IDLE_TICK } else { TICK };
            match rx.recv_timeout(pause) {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.begin_waiting();
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(EXPIRY_TICKS) {
                self.board.attempt_queue.remove_expired(self.clock.now());
            }
            self.publish();
        }
    }

    fn take(&mut self, message: message::Message) {
        let now = self.clock.now();
        let board = &mut self.board;
        // Whoever asked may have gone meanwhile; then the answer has no reader and is dropped.
        match message {
            message::Message::Offer(offer, reply) => self.offer(&offer, reply),
            message::Message::Ended(attempt) => board.attempt_queue.record_ended(attempt, now),
            message::Message::Withdrawn(attempt) => board.attempt_queue.record_withdrawn(attempt, now),
            message::Message::FirstToken(span) => board.attempt_queue.observe_first_token(span),
            message::Message::TokenGap(span) => board.attempt_queue.observe_token_gap(span),
            message::Message::Cancel(attempt, reply) => self.cancel(attempt, reply),
            message::Message::Addresses { calls, control } => {
                board.calls = Some(calls);
                board.control = Some(control);
            }
            message::Message::Announced(reply) => self.announced(*reply),
            message::Message::View(reply) => drop(reply.send(board.view())),
            message::Message::Config(reply) => drop(reply.send(board.config.clone())),
            message::Message::InFlight(reply) => drop(reply.send(board.attempt_queue.in_flight())),
            message::Message::Leave => self.leave(),
        }
    }

    fn offer(&mut self, offer: &attempt_queue::AttemptOffer, reply: oneshot::Sender<message::Start>) {
        let start = match self.board.attempt_queue.offer(offer, self.clock.now()) {
            attempt_queue::OfferResult::Begin => message::Start::Begin,
            attempt_queue::OfferResult::Refuse(problem) => message::Start::Refuse(problem),
            attempt_queue::OfferResult::Duplicate => message::Start::Known,
            attempt_queue::OfferResult::Wait => {
                self.board.wait(offer.attempt, reply);
                return;
            }
        };
        let _told = reply.send(start);
    }

    fn cancel(&mut self, attempt: attempt_id::AttemptId, reply: oneshot::Sender<attempt_queue::AttemptState>) {
        let fate = self.board.attempt_queue.cancel(attempt, self.clock.now());
        if fate == attempt_queue::AttemptState::NeverBegan {
            let problem = problem::Problem::new(
                problem::ProblemKind::DeadlineBeforeStart,
                "the entry gave the attempt up",
            );
            self.board.decide(attempt, message::Start::Refuse(problem));
        }
        let _told = reply.send(fate);
    }

    fn announced(&mut self, reply: announce_reply::AnnounceReply) {
        let before = self.board.revision;
        self.board.announced(reply);
        if self.board.revision != before {
            debug!(self.log, "configuration in force"; "revision" => %self.board.revision);
        }
    }

    fn leave(&mut self) {
        let refused = self.board.attempt_queue.drain(self.clock.now());
        info!(self.log, "leaving"; "running" => self.board.attempt_queue.in_flight(), "refused" => refused.len());
        for next in refused {
            self.tell(next);
        }
    }

    fn begin_waiting(&mut self) {
        while let Some(next) = self.board.attempt_queue.next_action(self.clock.now()) {
            self.tell(next);
        }
    }

    fn tell(&mut self, next: attempt_queue::QueueAction) {
        match next {
            attempt_queue::QueueAction::Begin(attempt) => self.board.decide(attempt, message::Start::Begin),
            attempt_queue::QueueAction::Refuse(attempt, problem) => {
                self.board.decide(attempt, message::Start::Refuse(problem));
            }
        }
    }

    fn publish(&self) {
        let load = self.board.attempt_queue.load();
        let stale = *self.published.read().unwrap_or_else(std::sync::PoisonError::into_inner) != load;
        if stale {
            *self
                .published
                .write()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = load;
        }
        let ready = self.board.config.is_some() && !self.board.attempt_queue.is_draining();
        self.ready.store(ready, Ordering::Release);
    }
}
