//! The control service of agents.

use serde::{Deserialize, Serialize};
use sycamorestile_core::agent_view;
use sycamorestile_core::attempt_id;
use sycamorestile_core::incarnation;

/// The reply to the cancellation of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// The attempt was not sent to the endpoint and never will be.
    NeverBegan,
    /// The attempt is or was running at the endpoint, or its state is unknown.
    Began,
    /// The attempt belongs to another incarnation of the agent.
    Forgotten,
}

/// Control calls to an agent.
#[tarpc::service]
pub trait AgentControl {
    /// Cancels an attempt unless it was already sent to the endpoint.
    async fn cancel(attempt: attempt_id::AttemptId, incarnation: incarnation::Incarnation) -> CancelReply;
    /// Starts draining and returns the agent's status.
    async fn drain() -> Option<agent_view::AgentView>;
    /// Returns the agent's status, as sent in its heartbeats.
    async fn view() -> Option<agent_view::AgentView>;
}
