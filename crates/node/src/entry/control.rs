//! The entry's control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use slog::{info, warn};
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::decision_log;
use sycamorestile_core::entry_board;
use sycamorestile_core::name;
use sycamorestile_core::time;

use crate::entry::context;
use crate::entry::message;
use crate::entry::snapshot;
use crate::error;
use sycamorestile_operator_api::convert;

/// Maximum number of messages queued for the control thread.
pub(crate) const QUEUE_CAPACITY: usize = 16_384;
/// Maximum number of further messages handled between two checks whether a snapshot is due.
const MESSAGE_BATCH: usize = 256;
/// Maximum time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two snapshots that differ only in load.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the control thread.
///
/// # Errors
///
/// Returns [`error::StartError::Thread`] if the thread cannot be spawned.
pub(crate) fn start(
    rx: Receiver<message::ControlMessage>,
    board: entry_board::EntryBoard,
    cx: Arc<context::EntryContext>,
    ready: Arc<AtomicBool>,
) -> Result<(), error::StartError> {
    let thread = thread::Builder::new().name("control".to_owned());
    let state = ControlLoop {
        board,
        cx,
        ready,
        published: time::Time::ZERO,
        publish_now: true,
    };
    let spawned = thread.spawn(move || state.run(&rx));
    spawned.map(drop).map_err(|source| error::StartError::Thread {
        what: "control",
        source,
    })
}

struct ControlLoop {
    board: entry_board::EntryBoard,
    cx: Arc<context::EntryContext>,
    ready: Arc<AtomicBool>,
    published: time::Time,
    /// Whether a change must be published to traffic immediately.
    publish_now: bool,
}

impl ControlLoop {
    fn run(mut self, rx: &Receiver<message::ControlMessage>) {
        loop {
            match rx.recv_timeout(SNAPSHOT_INTERVAL) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => self.publish_now = true,
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for message in rx.try_iter().take(MESSAGE_BATCH) {
                self.handle(message);
            }
            if self.board.has_pushes() {
                self.cx.push_now.notify_one();
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: message::ControlMessage) {
        let now = self.cx.clock.now();
        let board = &mut self.board;
        // If the requester has gone away, the reply is dropped.
        match message {
            message::ControlMessage::Announce(view, reply) => drop(reply.send(self.announce(view, now))),
            message::ControlMessage::Exchange(digest, reply) => {
                board.update_report(self.cx.dispatcher().limiter.demands(now), now);
                drop(reply.send(board.reply_to_digest(&digest, now)));
                self.publish_now = true;
            }
            message::ControlMessage::Digest(peer, reply) => drop(reply.send(board.digest(peer.as_ref()))),
            message::ControlMessage::DigestReply(reply) => {
                let effects = board.apply_digest_reply(&reply, now);
                self.apply_report_effects(effects, now);
            }
            message::ControlMessage::TakePushes(reply) => drop(reply.send(board.take_pushes())),
            message::ControlMessage::NextGossipPeer(listed, reply) => {
                let _sent = reply.send(board.next_gossip_peer(&listed, now));
            }
            message::ControlMessage::ConfigRead(read) => self.apply_config_read(read, now),
            message::ControlMessage::ReadInterval(reply) => drop(reply.send(board.read_interval(now))),
            message::ControlMessage::AcceptedChange(change) => {
                self.publish_now |= board.apply_local_changes(&[change], now);
            }
            message::ControlMessage::MarkListedDraining(endpoint) => {
                board.members.mark_listed_draining(&endpoint);
                self.publish_now = true;
            }
            message::ControlMessage::MarkDraining(endpoint, incarnation) => {
                board.members.mark_draining(&endpoint, incarnation);
                board.record_decision(
                    now,
                    decision_log::Action::Drained,
                    Some(endpoint),
                    None,
                    "the agent reported that it is draining",
                );
                self.publish_now = true;
            }
            message::ControlMessage::RecordDecision(decision) => board.log.record(decision),
            message::ControlMessage::Status(reply) => drop(reply.send(convert::status_reply(board, now))),
            message::ControlMessage::Explain(query, reply) => {
                let found = board.log.find(&query).into_iter().cloned().collect();
                drop(reply.send((now, found)));
            }
            message::ControlMessage::Drain => {
                board.draining = true;
                self.publish_now = true;
            }
        }
    }

    fn announce(&mut self, view: agent_view::AgentView, now: time::Time) -> announce_reply::AnnounceReply {
        let endpoint = view.endpoint.clone();
        let known = self.board.members.get(&endpoint);
        let replaced = known.is_some_and(|m| m.view.incarnation != view.incarnation);
        let before = known.map(|m| m.liveness(now));
        let reply = self.board.on_heartbeat(view, now);
        let after = self.board.members.get(&endpoint).map(|m| m.liveness(now));
        self.publish_now |= replaced || before != after;
        let mut dispatcher = self.cx.dispatcher();
        dispatcher.record_report(&endpoint, now);
        if replaced {
            dispatcher.reset_endpoint(&endpoint);
            info!(self.cx.log, "agent replaced"; "endpoint" => %endpoint);
        }
        reply
    }

    /// Applies the effects of other entries' reports.
    fn apply_report_effects(&mut self, effects: entry_board::ReportEffects, now: time::Time) {
        self.publish_now |= effects.config_changed || effects.liveness_changed || !effects.new_incarnations.is_empty();
        let mut dispatcher = self.cx.dispatcher();
        for (endpoint, reported) in &effects.load_updates {
            dispatcher.record_report(endpoint, *reported);
        }
        for endpoint in &effects.new_incarnations {
            dispatcher.reset_endpoint(endpoint);
            info!(self.cx.log, "agent replaced"; "endpoint" => %endpoint);
        }
        for (entry, demands, reported) in effects.peer_demands {
            dispatcher.limiter.record_peer_demand(&entry, demands, reported);
        }
        dispatcher.limiter.tick(now);
    }

    fn apply_config_read(&mut self, read: message::ConfigRead, now: time::Time) {
        let is_reachable = !matches!(read, message::ConfigRead::Unreachable);
        if is_reachable != self.board.platform_in_reach {
            self.board.platform_in_reach = is_reachable;
            if is_reachable {
                info!(self.cx.log, "platform reachable");
            } else {
                warn!(self.cx.log, "platform unreachable");
            }
        }
        let changed = match read {
            message::ConfigRead::Unreachable | message::ConfigRead::Current => false,
            message::ConfigRead::Changes(changes) => self.board.apply_local_changes(&changes, now),
            message::ConfigRead::Snapshot(snapshot) => self.board.adopt_snapshot(&snapshot, now),
        };
        if changed {
            info!(self.cx.log, "configuration applied"; "revision" => %self.board.config().revision());
            self.publish_now = true;
        }
    }

    fn publish(&mut self) {
        let now = self.cx.clock.now();
        if !self.publish_now && now.since(self.published) < LOAD_PUBLISH_INTERVAL {
            return;
        }
        self.board.tick(now);
        let entries = self.board.limit_sharing_entries() as u32;
        let intervals = self.board.intervals(now);
        let mut dispatcher = self.cx.dispatcher();
        dispatcher.set_entries(entries);
        dispatcher
            .limiter
            .set_propagation_delay(intervals.report + intervals.propagation);
        dispatcher.limiter.tick(now);
        drop(dispatcher);
        self.cx.publish(snapshot::Snapshot {
            config: Arc::clone(self.board.config()),
            members: self.board.members.clone(),
            ready: self.board.is_ready(),
            draining: self.board.draining,
        });
        let revision = self.board.config().revision().get();
        self.cx
            .metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.ready.store(self.board.is_ready(), Ordering::Release);
        self.published = now;
        self.publish_now = false;
    }
}

/// Creates the record of a decision about a call.
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
