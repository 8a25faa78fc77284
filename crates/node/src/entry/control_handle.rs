//! Handle to the entry's control thread.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::Sender;
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::config::change;
use sycamorestile_core::decision_log;
use sycamorestile_core::digest;
use sycamorestile_core::incarnation;
use sycamorestile_core::name;
use sycamorestile_core::time;
use sycamorestile_operator_api::v1;

use crate::entry::message;
use crate::mailbox;

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

    pub(crate) async fn announce(&self, view: agent_view::AgentView) -> Option<announce_reply::AnnounceReply> {
        self.mailbox
            .request(|reply| message::ControlMessage::Announce(view, reply))
            .await
    }

    pub(crate) async fn reply_to_digest(&self, digest: digest::Digest) -> Option<digest::DigestReply> {
        self.mailbox
            .request(|reply| message::ControlMessage::Exchange(Box::new(digest), reply))
            .await
    }

    pub(crate) async fn digest(&self, peer: Option<name::Name>) -> Option<digest::Digest> {
        self.mailbox
            .request(|reply| message::ControlMessage::Digest(peer, reply))
            .await
    }

    /// Returns the address of the next peer for an exchange. `listed` are the entries of this failure domain on the
    /// platform's list of instances.
    pub(crate) async fn next_gossip_peer(&self, listed: Vec<SocketAddr>) -> Option<SocketAddr> {
        let peer = self
            .mailbox
            .request(|reply| message::ControlMessage::NextGossipPeer(listed, reply))
            .await;
        peer.flatten()
    }

    /// Returns the peers that lack changes and should receive them from this entry immediately.
    pub(crate) async fn take_pushes(&self) -> Vec<SocketAddr> {
        self.mailbox
            .request(message::ControlMessage::TakePushes)
            .await
            .unwrap_or_default()
    }

    pub(crate) fn apply_digest_reply(&self, reply: digest::DigestReply) {
        self.mailbox.send(message::ControlMessage::DigestReply(Box::new(reply)));
    }

    pub(crate) fn apply_config_read(&self, read: message::ConfigRead) {
        self.mailbox.send(message::ControlMessage::ConfigRead(read));
    }

    pub(crate) fn apply_accepted_change(&self, change: change::Change) {
        self.mailbox.send(message::ControlMessage::AcceptedChange(change));
    }

    pub(crate) fn mark_listed_draining(&self, endpoint: name::Name) {
        self.mailbox.send(message::ControlMessage::MarkListedDraining(endpoint));
    }

    pub(crate) fn mark_draining(&self, endpoint: name::Name, incarnation: incarnation::Incarnation) {
        self.mailbox
            .send(message::ControlMessage::MarkDraining(endpoint, incarnation));
    }

    /// Records a decision. The record is dropped if the queue is full.
    pub(crate) fn record_decision(&self, decision: decision_log::Decision) {
        let _sent = self.mailbox.try_send(message::ControlMessage::RecordDecision(decision));
    }

    pub(crate) async fn status(&self) -> Option<v1::StatusReply> {
        self.mailbox.request(message::ControlMessage::Status).await
    }

    pub(crate) async fn explain(
        &self,
        query: decision_log::Query,
    ) -> Option<(time::Time, Vec<decision_log::Decision>)> {
        self.mailbox
            .request(|reply| message::ControlMessage::Explain(query, reply))
            .await
    }

    /// Returns the time until the next read of the platform. Blocks, so it is called only by the platform reader's
    /// thread.
    pub(crate) fn read_interval(&self) -> Option<Duration> {
        self.mailbox.request_blocking(message::ControlMessage::ReadInterval)
    }

    pub(crate) fn drain(&self) {
        self.mailbox.send(message::ControlMessage::Drain);
    }
}
