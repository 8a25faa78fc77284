//! Endpoints, the back ends that agents manage.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name;

/// Optional capability of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Feature {
    /// Can resume a response from a given token.
    Resume,
    /// Can cancel a running attempt.
    Cancel,
    /// Honours the priorities of calls.
    Priorities,
    /// Can export and import KV cache entries.
    KvTransfer,
    /// Rejects orders with an outdated fencing token.
    Fencing,
}

/// Position of an endpoint in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOf {
    /// The group.
    pub group: name::Name,
    /// Zero-based index of the rank.
    pub rank: u32,
}

/// A declared endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint. The settings of its agent refer to it by this name.
    pub name: name::Name,
    /// Service that the endpoint belongs to.
    pub service: name::Name,
    /// Failure domain of the endpoint.
    pub failure_domain: name::Name,
    /// Address of the back end. Only its agent connects to this address.
    pub address: SocketAddr,
    /// Number of attempts that the endpoint runs concurrently.
    pub slots: u32,
    /// Position in a group. Required for services of kind `model`, not allowed for others.
    #[serde(default)]
    pub rank_of: Option<RankOf>,
    /// Capabilities of the endpoint, sorted.
    #[serde(default)]
    pub features: Vec<Feature>,
}

impl Endpoint {
    /// Returns whether the endpoint has `feature`.
    pub fn has(&self, feature: Feature) -> bool {
        self.features.contains(&feature)
    }
}
