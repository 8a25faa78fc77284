//! The blackboard of an agent.

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

/// An offered attempt that waits for a slot.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) attempt: attempt_id::AttemptId,
    pub(crate) reply: oneshot::Sender<message::AttemptDecision>,
}

/// Blackboard of one agent, owned by its control thread.
#[derive(Debug)]
pub(crate) struct AgentBoard {
    pub(crate) endpoint: name::Name,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) attempt_queue: attempt_queue::AttemptQueue,
    /// Sorted by attempt; exactly the attempts that wait in the attempt queue.
    pub(crate) pending: Vec<PendingAttempt>,
    pub(crate) config: Option<agent_config::AgentConfig>,
    /// Revision in force; never decreases.
    pub(crate) revision: revision::Revision,
    pub(crate) calls: Option<SocketAddr>,
    pub(crate) control: Option<SocketAddr>,
    /// Fingerprint of the entries that the agent was told of.
    pub(crate) entries: u64,
    /// Counts the agent's heartbeats.
    pub(crate) seq: u64,
}

impl AgentBoard {
    /// Takes an entry's answer; an older revision than the one in force changes nothing.
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

    /// The agent's heartbeat; `None` until its addresses are known.
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
        let at = self.pending.partition_point(|p| p.attempt < attempt);
        self.pending.insert(at, PendingAttempt { attempt, reply });
    }

    /// Tells a waiting attempt's task what was decided.
    pub(crate) fn resolve(&mut self, attempt: attempt_id::AttemptId, decision: message::AttemptDecision) {
        if let Ok(at) = self.pending.binary_search_by(|p| p.attempt.cmp(&attempt)) {
            let pending = self.pending.remove(at);
            // The task may have ended with its runtime; then nobody needs the decision.
            let _sent = pending.reply.send(decision);
        }
    }
}
