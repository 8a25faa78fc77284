//! What entries tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agent_report;
use crate::config::change;
use crate::config::state;
use crate::name;
use crate::packed;
use crate::revision;

/// One entry's state, told to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub instance: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Its control address.
    pub control: Option<SocketAddr>,
    /// Revision in force at the sender.
    pub revision: revision::Revision,
    /// Changes that the receiver may lack, in order.
    pub changes: Vec<change::Change>,
    /// The sheets that the sender has.
    pub report_versions: packed::Packed<Vec<agent_report::ReportVersion>>,
}

/// The receiver's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestReply {
    /// The receiver.
    pub instance: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Its control address.
    pub control: Option<SocketAddr>,
    /// Revision in force at the receiver, after it took the changes.
    pub revision: revision::Revision,
    /// Changes that the sender lacks, in order.
    pub changes: Vec<change::Change>,
    /// All declarations, when the sender lacks more than the receiver remembers as changes.
    pub snapshot: Option<state::ConfigState>,
    /// Sheets of the receiver's failure domain that the sender lacks.
    pub reports: packed::Packed<Vec<agent_report::AgentReport>>,
}
