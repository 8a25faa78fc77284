//! The entry's control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use slog::{info, warn};
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::config::change;
use sycamorestile_core::decision_log;
use sycamorestile_core::digest;
use sycamorestile_core::entry_board;
use sycamorestile_core::incarnation;
use sycamorestile_core::name;
use sycamorestile_core::time;
use sycamorestile_operator_api::v1;

use crate::entry::cx;
use crate::entry::message;
use crate::entry::snapshot;
use crate::error;
use crate::mailbox;
use sycamorestile_operator_api::convert;

/// Messages that may wait for the control thread.
pub(crate) const QUEUE: usize = 16_384;
/// Longest pause between two snapshots.
const TICK: Duration = Duration::from_millis(50);
/// Shortest pause between two snapshots that differ in loads only.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

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

    pub(crate) async fn announce(&self, view: agent_view::AgentView) -> Option<announce_reply::AnnounceReply> {
        self.mailbox.ask(|reply| message::Message::Announce(view, reply)).await
    }

    pub(crate) async fn exchange(&self, digest: digest::Digest) -> Option<digest::DigestReply> {
        self.mailbox
            .ask(|reply| message::Message::Exchange(Box::new(digest), reply))
            .await
    }

    pub(crate) async fn digest(&self, peer: Option<name::Name>) -> Option<digest::Digest> {
        self.mailbox.ask(|reply| message::Message::Digest(peer, reply)).await
    }

    /// The peer with which to exchange next, given the failure domain's entries on the platform's list.
    pub(crate) async fn next_partner(&self, listed: Vec<SocketAddr>) -> Option<SocketAddr> {
        let asked = self
            .mailbox
            .ask(|reply| message::Message::NextPartner(listed, reply))
            .await;
        asked.flatten()
    }

    /// Peers that lack changes which this entry should send at once.
    pub(crate) async fn pushes(&self) -> Vec<SocketAddr> {
        self.mailbox.ask(message::Message::Pushes).await.unwrap_or_default()
    }

    pub(crate) fn exchanged(&self, reply: digest::DigestReply) {
        self.mailbox.tell(message::Message::Exchanged(Box::new(reply)));
    }

    pub(crate) fn looked(&self, look: message::Look) {
        self.mailbox.tell(message::Message::Looked(look));
    }

    pub(crate) fn accepted(&self, change: change::Change) {
        self.mailbox.tell(message::Message::Accepted(change));
    }

    pub(crate) fn listed_leaving(&self, endpoint: name::Name) {
        self.mailbox.tell(message::Message::ListedLeaving(endpoint));
    }

    pub(crate) fn said_leaving(&self, endpoint: name::Name, incarnation: incarnation::Incarnation) {
        self.mailbox.tell(message::Message::SaidLeaving(endpoint, incarnation));
    }

    /// Records a decision; records may be lost under pressure.
    pub(crate) fn note(&self, decision: decision_log::Decision) {
        let _taken = self.mailbox.try_tell(message::Message::Note(decision));
    }

    pub(crate) async fn status(&self) -> Option<v1::StatusReply> {
        self.mailbox.ask(message::Message::Status).await
    }

    pub(crate) async fn explain(
        &self,
        query: decision_log::Query,
    ) -> Option<(time::Time, Vec<decision_log::Decision>)> {
        self.mailbox.ask(|reply| message::Message::Explain(query, reply)).await
    }

    /// How long the platform reader should pause; for its thread only.
    pub(crate) fn read_interval(&self) -> Option<Duration> {
        self.mailbox.ask_blocking(message::Message::ReadInterval)
    }

    pub(crate) fn leave(&self) {
        self.mailbox.tell(message::Message::Leave);
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// [`error::StartError::Thread`] when the thread can't be started.
pub(crate) fn start(
    rx: Receiver<message::Message>,
    board: entry_board::EntryBoard,
    cx: Arc<cx::Cx>,
    ready: Arc<AtomicBool>,
) -> Result<(), error::StartError> {
    let thread = thread::Builder::new().name("control".to_owned());
    let state = Loop {
        board,
        cx,
        ready,
        published: time::Time::ZERO,
        pressing: true,
    };
    let spawned = thread.spawn(move || state.run(&rx));
    spawned.map(drop).map_err(|source| error::StartError::Thread {
        what: "control",
        source,
    })
}

struct Loop {
    board: entry_board::EntryBoard,
    cx: Arc<cx::Cx>,
    ready: Arc<AtomicBool>,
    published: time::Time,
    /// Something changed that traffic must see at once.
    pressing: bool,
}

impl Loop {
    fn run(mut self, rx: &Receiver<message::Message>) {
        loop {
            match rx.recv_timeout(TICK) {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => self.pressing = true,
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for message in rx.try_iter().take(256) {
                self.take(message);
            }
            if self.board.has_pushes() {
                self.cx.push_now.notify_one();
            }
            self.publish();
        }
    }

    fn take(&mut self, message: message::Message) {
        let now = self.cx.clock.now();
        let board = &mut self.board;
        // Whoever asked may have gone meanwhile; then the answer has no reader and is dropped.
        match message {
            message::Message::Announce(view, reply) => drop(reply.send(self.announce(view, now))),
            message::Message::Exchange(digest, reply) => {
                board.update_report(self.cx.dispatcher().limiter.demands(now), now);
                drop(reply.send(board.reply_to_digest(&digest, now)));
                self.pressing = true;
            }
            message::Message::Digest(peer, reply) => drop(reply.send(board.digest(peer.as_ref()))),
            message::Message::Exchanged(reply) => {
                let news = board.apply_digest_reply(&reply, now);
                self.hear(news, now);
            }
            message::Message::Pushes(reply) => drop(reply.send(board.take_pushes())),
            message::Message::NextPartner(listed, reply) => drop(reply.send(board.next_gossip_peer(&listed, now))),
            message::Message::Looked(look) => self.looked(look, now),
            message::Message::ReadInterval(reply) => drop(reply.send(board.read_interval(now))),
            message::Message::Accepted(change) => self.pressing |= board.apply_local_changes(&[change], now),
            message::Message::ListedLeaving(endpoint) => {
                board.members.mark_listed_draining(&endpoint);
                self.pressing = true;
            }
            message::Message::SaidLeaving(endpoint, incarnation) => {
                board.members.mark_draining(&endpoint, incarnation);
                board.record_decision(
                    now,
                    decision_log::Action::Drained,
                    Some(endpoint),
                    None,
                    "the agent says that it is leaving",
                );
                self.pressing = true;
            }
            message::Message::Note(decision) => board.log.record(decision),
            message::Message::Status(reply) => drop(reply.send(convert::status_reply(board, now))),
            message::Message::Explain(query, reply) => {
                let found = board.log.find(&query).into_iter().cloned().collect();
                drop(reply.send((now, found)));
            }
            message::Message::Leave => {
                board.draining = true;
                self.pressing = true;
            }
        }
    }

    fn announce(&mut self, view: agent_view::AgentView, now: time::Time) -> announce_reply::AnnounceReply {
        let endpoint = view.endpoint.clone();
        let known = self.board.members.get(&endpoint);
        let replaced = known.is_some_and(|m| m.view.incarnation != view.incarnation);
        let standing = known.map(|m| m.liveness(now));
        let reply = self.board.on_heartbeat(view, now);
        let after = self.board.members.get(&endpoint).map(|m| m.liveness(now));
        self.pressing |= replaced || standing != after;
        let mut dispatcher = self.cx.dispatcher();
        dispatcher.record_report(&endpoint, now);
        if replaced {
            dispatcher.reset_endpoint(&endpoint);
            info!(self.cx.log, "agent replaced"; "endpoint" => %endpoint);
        }
        reply
    }

    /// Takes what other entries' reports contain.
    fn hear(&mut self, news: entry_board::ReportEffects, now: time::Time) {
        self.pressing |= news.config_changed || news.liveness_changed || !news.new_incarnations.is_empty();
        let mut dispatcher = self.cx.dispatcher();
        for (endpoint, made) in &news.load_updates {
            dispatcher.record_report(endpoint, *made);
        }
        for endpoint in &news.new_incarnations {
            dispatcher.reset_endpoint(endpoint);
            info!(self.cx.log, "agent replaced"; "endpoint" => %endpoint);
        }
        for (entry, demands, made) in news.peer_demands {
            dispatcher.limiter.record_peer_demand(&entry, demands, made);
        }
        dispatcher.limiter.tick(now);
    }

    fn looked(&mut self, look: message::Look, now: time::Time) {
        let reached = !matches!(look, message::Look::Unreachable);
        if reached != self.board.platform_in_reach {
            self.board.platform_in_reach = reached;
            if reached {
                info!(self.cx.log, "platform in reach");
            } else {
                warn!(self.cx.log, "platform out of reach");
            }
        }
        let moved = match look {
            message::Look::Unreachable | message::Look::Current => false,
            message::Look::Changes(changes) => self.board.apply_local_changes(&changes, now),
            message::Look::Snapshot(snapshot) => self.board.adopt_snapshot(&snapshot, now),
        };
        if moved {
            info!(self.cx.log, "configuration in force"; "revision" => %self.board.config().revision());
            self.pressing = true;
        }
    }

    fn publish(&mut self) {
        let now = self.cx.clock.now();
        if !self.pressing && now.since(self.published) < LOAD_PUBLISH_INTERVAL {
            return;
        }
        self.board.tick(now);
        let entries = self.board.limit_sharing_entries() as u32;
        let pace = self.board.intervals(now);
        let mut dispatcher = self.cx.dispatcher();
        dispatcher.set_entries(entries);
        dispatcher.limiter.set_propagation_delay(pace.report + pace.propagation);
        dispatcher.limiter.tick(now);
        drop(dispatcher);
        self.cx.publish(snapshot::Snapshot {
            config: Arc::clone(self.board.config()),
            members: self.board.members.clone(),
            ready: self.board.is_ready(),
            leaving: self.board.draining,
        });
        let revision = self.board.config().revision().get();
        self.cx
            .metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.ready.store(self.board.is_ready(), Ordering::Release);
        self.published = now;
        self.pressing = false;
    }
}

/// A decision about a call.
pub(crate) fn call_decision(
    at: time::Time,
    action: decision_log::Action,
    call: &str,
    endpoint: Option<name::Name>,
    cause: String,
) -> decision_log::Decision {
    decision_log::Decision {
        at,
        action,
        call: Some(call.into()),
        endpoint,
        group: None,
        cause: cause.into(),
    }
}
