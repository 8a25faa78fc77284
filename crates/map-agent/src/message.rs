//! Messages between agents.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorestile_expert_map::held_switch;

use crate::rank_adapter;

/// Message between agents, encoded with postcard as one datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// From the coordinator: asks for the rank's status.
    Heartbeat(CoordinatorHeartbeat),
    /// To the coordinator: status of a rank.
    Status(Box<RankStatus>),
    /// From the coordinator: an order for the receiver's rank.
    Order(Box<rank_adapter::RankOrder>),
    /// An order for the receiver's rank that the receiver also forwards to other agents.
    Forward(Box<ForwardedOrder>),
}

/// Heartbeat of a group's coordinator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CoordinatorHeartbeat {
    /// Name of the group.
    pub(crate) group: Arc<str>,
    /// Leadership number of the coordinator.
    pub(crate) number: u64,
    /// Rank of the coordinator's own agent.
    pub(crate) rank: u32,
    /// The last pass for which the coordinator orders a hold. It is announced before the order is sent, so that a
    /// successor that finds the hold knows which coordinator ordered it.
    pub(crate) ordered_hold: Option<u64>,
    /// Whether a map switch is in progress. Agents then replace a lost coordinator sooner, since ranks may be held.
    pub(crate) is_busy: bool,
    /// Whether the status should include expert counts.
    pub(crate) wants_counts: bool,
}

/// An order for several ranks.
///
/// Orders that carry a map are large and the network bandwidth of one instance is small. The coordinator therefore
/// sends such an order to a few agents, each of which forwards it to some of the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardedOrder {
    /// Order for the rank of the receiving agent.
    pub(crate) order: rank_adapter::RankOrder,
    /// Other agents to forward the order to, with the pending order of each one's rank. The map is the same for all.
    pub(crate) others: Vec<(SocketAddr, held_switch::PendingOrder)>,
    /// Address of the coordinator, to which each agent sends its rank's status.
    pub(crate) coordinator: SocketAddr,
}

/// Status of a rank, as its agent read it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RankStatus {
    /// Group and index of the rank.
    pub(crate) membership: rank_adapter::Membership,
    /// State of the rank in a map switch.
    pub(crate) view: held_switch::RankView,
    /// Experts of the rank in the active map, indexed by set.
    pub(crate) experts: Vec<Vec<u32>>,
    /// Factor by which the rank's work takes longer than usual; 1 for a rank of normal speed.
    pub(crate) slowness: f64,
    /// Start time of the rank's process, in milliseconds since the Unix epoch.
    pub(crate) started_at_ms: u64,
    /// Number of times that each expert was chosen since then, set by set. Empty unless requested.
    pub(crate) counts: Vec<u64>,
    /// Highest leadership number that the agent knows.
    pub(crate) number: u64,
}
