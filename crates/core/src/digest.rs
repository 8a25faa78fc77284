//! Messages of the gossip exchange between entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agent_report;
use crate::config::change;
use crate::config::state;
use crate::name;
use crate::packed;
use crate::revision;

/// Summary of an entry's state, sent to another entry to start a gossip exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Instance name of the sender.
    pub instance: name::Name,
    /// Failure domain of the sender.
    pub failure_domain: name::Name,
    /// Control address of the sender.
    pub control: Option<SocketAddr>,
    /// Configuration revision in force at the sender.
    pub revision: revision::Revision,
    /// Configuration changes that the receiver may not have yet, in order.
    pub changes: Vec<change::Change>,
    /// Versions of the agent reports that the sender has.
    pub report_versions: packed::Packed<Vec<agent_report::ReportVersion>>,
}

/// Reply to a [`Digest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestReply {
    /// Instance name of the replying entry.
    pub instance: name::Name,
    /// Failure domain of the replying entry.
    pub failure_domain: name::Name,
    /// Control address of the replying entry.
    pub control: Option<SocketAddr>,
    /// Configuration revision in force at the replying entry after it applied the changes of the digest.
    pub revision: revision::Revision,
    /// Configuration changes that the sender of the digest lacks, in order.
    pub changes: Vec<change::Change>,
    /// Full configuration. Present when the replying entry no longer keeps all changes that the sender lacks.
    pub snapshot: Option<state::ConfigState>,
    /// Agent reports of the replying entry's failure domain that are newer than those of the sender.
    pub reports: packed::Packed<Vec<agent_report::AgentReport>>,
}
