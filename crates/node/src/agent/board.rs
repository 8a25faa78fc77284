//! The agent's board: the state that its control thread owns.

use std::net::SocketAddr;

use sycamorestile_core::agent_config;
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::incarnation;
use sycamorestile_core::name;
use sycamorestile_core::revision;
use tokio::sync::oneshot;

use crate::agent::message;

/// An attempt that is waiting for a slot.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) attempt: attempt_id::AttemptId,
    pub(crate) reply: oneshot::Sender<message::AttemptDecision>,
}

/// Control state of one agent.
#[derive(Debug)]
pub(crate) struct AgentBoard {
    pub(crate) endpoint: name::Name,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) attempt_queue: attempt_queue::AttemptQueue,
    /// Sorted by attempt. Contains exactly the attempts that are queued in `attempt_queue`.
    pub(crate) pending: Vec<PendingAttempt>,
    pub(crate) config: Option<agent_config::AgentConfig>,
    /// Revision of the configuration that is applied. Never decreases.
    pub(crate) revision: revision::Revision,
    pub(crate) calls: Option<SocketAddr>,
    pub(crate) control: Option<SocketAddr>,
    /// Fingerprint of the set of entries that the agent last received.
    pub(crate) entries: u64,
    /// Sequence number of the last heartbeat.
    pub(crate) seq: u64,
}

impl AgentBoard {
    /// Applies an entry's reply to a heartbeat. A configuration older than the applied one is ignored.
    pub(crate) fn apply_announce_reply(&mut self, reply: announce_reply::AnnounceReply) {
        if let Some(entries) = &reply.entries {
            self.entries = announce_reply::fingerprint(entries);
        }
        if reply.revision < self.revision {
            return;
        }
        if let Some(config) = reply.config {
            self.attempt_queue.set_slots(config.endpoint.slots);
            self.config = Some(config);
        }
        if self.config.is_some() {
            self.revision = reply.revision;
        }
    }

    /// Builds the next heartbeat. Returns `None` until the addresses of the agent's servers are known.
    pub(crate) fn view(&mut self) -> Option<agent_view::AgentView> {
        self.seq += 1;
        Some(agent_view::AgentView {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            calls: self.calls?,
            control: self.control?,
            load: self.attempt_queue.load().quantised(),
            leaving: self.attempt_queue.is_draining(),
            entries: self.entries,
            revision: self.revision,
        })
    }

    pub(crate) fn add_pending(
        &mut self,
        attempt: attempt_id::AttemptId,
        reply: oneshot::Sender<message::AttemptDecision>,
    ) {
        let index = self.pending.partition_point(|p| p.attempt < attempt);
        self.pending.insert(index, PendingAttempt { attempt, reply });
    }

    /// Sends the decision about a queued attempt to its task.
    pub(crate) fn resolve(&mut self, attempt: attempt_id::AttemptId, decision: message::AttemptDecision) {
        if let Ok(index) = self.pending.binary_search_by(|p| p.attempt.cmp(&attempt)) {
            let pending = self.pending.remove(index);
            // The receiver is gone if the task was dropped with its runtime. Nothing depends on the decision then.
            let _sent = pending.reply.send(decision);
        }
    }
}
