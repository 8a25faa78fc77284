//! Messages to the entry's control thread.

use std::net::SocketAddr;
use std::time::Duration;

use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::config::change;
use sycamorestile_core::config::state;
use sycamorestile_core::decision_log;
use sycamorestile_core::digest;
use sycamorestile_core::incarnation;
use sycamorestile_core::name;
use sycamorestile_core::time;
use sycamorestile_operator_api::v1;
use tokio::sync::oneshot;

/// Result of reading the platform's configuration rows.
#[derive(Debug)]
pub(crate) enum ConfigRead {
    /// The platform could not be reached.
    Unreachable,
    /// The applied configuration is current.
    Current,
    /// The changes that follow the applied revision.
    Changes(Vec<change::Change>),
    /// The complete configuration.
    Snapshot(state::ConfigState),
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    Announce(agent_view::AgentView, oneshot::Sender<announce_reply::AnnounceReply>),
    Exchange(Box<digest::Digest>, oneshot::Sender<digest::DigestReply>),
    Digest(Option<name::Name>, oneshot::Sender<digest::Digest>),
    DigestReply(Box<digest::DigestReply>),
    ConfigRead(ConfigRead),
    NextGossipPeer(Vec<SocketAddr>, oneshot::Sender<Option<SocketAddr>>),
    TakePushes(oneshot::Sender<Vec<SocketAddr>>),
    ReadInterval(oneshot::Sender<Duration>),
    AcceptedChange(change::Change),
    MarkListedDraining(name::Name),
    MarkDraining(name::Name, incarnation::Incarnation),
    RecordDecision(decision_log::Decision),
    Status(oneshot::Sender<v1::StatusReply>),
    Explain(
        decision_log::Query,
        oneshot::Sender<(time::Time, Vec<decision_log::Decision>)>,
    ),
    Drain,
}
