//! Datagrams between agents.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorestile_expert_map::held_switch;

use crate::rank_adapter;

/// A datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The coordinator asks for the state.
    Heartbeat(CoordinatorHeartbeat),
    /// An agent tells the coordinator its state.
    Status(Box<RankStatus>),
    /// The coordinator orders something of a rank.
    Order(Box<rank_adapter::RankOrder>),
    /// Like an order, and to be handed on to further agents.
    Forward(Box<ForwardedOrder>),
}

/// A coordinator's sign of life.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CoordinatorHeartbeat {
    /// Group that it coordinates.
    pub(crate) group: Arc<str>,
    /// Its number.
    pub(crate) number: u64,
    /// Its own rank.
    pub(crate) rank: u32,
    /// The last pass that it orders to be held. Told before the order, so that a successor knows whose hold it finds.
    pub(crate) ordered_hold: Option<u64>,
    /// Whether a change of maps is under way, so that its loss would be felt soon.
    pub(crate) is_busy: bool,
    /// Whether counts are wanted as well.
    pub(crate) wants_counts: bool,
}

/// Where an agent and its rank are; the value of the agent's row in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AgentLocation {
    /// The agent's address for datagrams.
    pub(crate) agent: SocketAddr,
    /// The rank's address.
    pub(crate) rank: SocketAddr,
}

impl AgentLocation {
    /// The row's value.
    pub(crate) fn to_text(self) -> String {
        format!("{} {}", self.agent, self.rank)
    }

    /// Reads the row's value.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (agent, rank) = text.split_once(' ')?;
        Some(Self {
            agent: agent.parse().ok()?,
            rank: rank.parse().ok()?,
        })
    }
}

/// An order for several ranks. Orders that carry a map are large, and one instance's link is narrow, so the first agent
/// of the list hands it on to the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardedOrder {
    /// The order for the agent that gets this.
    pub(crate) order: rank_adapter::RankOrder,
    /// Agents that get the same order, and what is due at their ranks.
    pub(crate) others: Vec<(SocketAddr, held_switch::PendingOrder)>,
    /// The coordinator, which the ranks' states are told to.
    pub(crate) coordinator: SocketAddr,
}

/// What an agent knows about its rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RankStatus {
    /// Which rank.
    pub(crate) membership: rank_adapter::Membership,
    /// Its part in a change of maps.
    pub(crate) view: held_switch::RankView,
    /// Its experts by set, in the map in force.
    pub(crate) experts: Vec<Vec<u32>>,
    /// Times as long as usual that the rank takes for its work.
    pub(crate) slowness: f64,
    /// When the rank was started.
    pub(crate) started_at_ms: u64,
    /// How often its requests chose each expert since then, set by set; empty when not asked for.
    pub(crate) counts: Vec<u64>,
    /// Highest coordinator's number that the agent knows.
    pub(crate) number: u64,
}
