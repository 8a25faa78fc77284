//! Messages to the agent's control thread.

use std::net::SocketAddr;
use std::time::Duration;

use sycamorestile_core::agent_config;
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::problem;
use tokio::sync::oneshot;

/// Decision of the control thread about an offered attempt.
#[derive(Debug)]
pub(crate) enum AttemptDecision {
    /// The attempt holds a slot and may run.
    Begin,
    /// The attempt is refused and will never run at this agent.
    Refuse(problem::Problem),
    /// The attempt is already known and handled by another task.
    Duplicate,
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    Offer(attempt_queue::AttemptOffer, oneshot::Sender<AttemptDecision>),
    Ended(attempt_id::AttemptId),
    Withdrawn(attempt_id::AttemptId),
    FirstToken(Duration),
    TokenGap(Duration),
    Cancel(attempt_id::AttemptId, oneshot::Sender<attempt_queue::AttemptState>),
    Addresses { calls: SocketAddr, control: SocketAddr },
    AnnounceReply(Box<announce_reply::AnnounceReply>),
    View(oneshot::Sender<Option<agent_view::AgentView>>),
    Config(oneshot::Sender<Option<agent_config::AgentConfig>>),
    InFlight(oneshot::Sender<usize>),
    Drain,
}
