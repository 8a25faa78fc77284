//! Reports by which an entry informs the other entries of its failure domain about the agents that report to it.
//!
//! An agent sends heartbeats to a single entry. The other entries learn of the agent from that entry's report, which
//! any entry may forward. The parts that rarely change, such as the agents' addresses, are sent only to entries that
//! lack them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::agent_view;
use crate::incarnation;
use crate::limits;
use crate::load;
use crate::name;
use crate::revision;

/// Resolution of [`AgentSample::silence`].
const SILENCE_UNIT: Duration = Duration::from_millis(100);

/// The part of an agent's state that rarely changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentIdentity {
    /// The endpoint that the agent manages.
    pub endpoint: name::Name,
    /// Identifies the lifetime of the agent's process.
    pub incarnation: incarnation::Incarnation,
    /// Address that accepts attempts.
    pub calls: SocketAddr,
    /// Address that accepts control requests.
    pub control: SocketAddr,
    /// Number of attempts that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the agent is draining and refuses new attempts.
    pub leaving: bool,
}

impl AgentIdentity {
    /// Extracts the identity of the agent that sent `view`.
    pub fn from_view(view: &agent_view::AgentView) -> Self {
        Self {
            endpoint: view.endpoint.clone(),
            incarnation: view.incarnation,
            calls: view.calls,
            control: view.control,
            slots: view.load.slots,
            leaving: view.leaving,
        }
    }
}

/// The part of an agent's state that changes with every heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentSample {
    /// Number of running attempts.
    running: u16,
    /// Number of queued attempts.
    queued: u16,
    /// [`load::Load::hold_us`], quantised with [`load::to_log_step`].
    hold_step: u8,
    /// [`load::Load::first_us`], quantised with [`load::to_log_step`].
    first_step: u8,
    /// [`load::Load::gap_us`], quantised with [`load::to_log_step`].
    gap_step: u8,
    /// Time since the agent's last heartbeat when the report was created, in tenths of a second.
    silence: u8,
    /// Whether the agent has at least the report's configuration revision in force.
    has_revision: bool,
}

impl AgentSample {
    /// Creates the sample for an agent whose last heartbeat, `view`, arrived `silence` ago, in a report with
    /// `revision`.
    pub fn from_view(view: &agent_view::AgentView, silence: Duration, revision: revision::Revision) -> Self {
        let load = &view.load;
        let tenths = silence.as_millis() / SILENCE_UNIT.as_millis();
        Self {
            running: u16::try_from(load.running).unwrap_or(u16::MAX),
            queued: u16::try_from(load.queued).unwrap_or(u16::MAX),
            hold_step: load::to_log_step(load.hold_us),
            first_step: load::to_log_step(load.first_us),
            gap_step: load::to_log_step(load.gap_us),
            silence: u8::try_from(tenths).unwrap_or(u8::MAX),
            has_revision: view.revision >= revision,
        }
    }

    /// Returns the time between the agent's last heartbeat and the creation of the report.
    pub fn silence(&self) -> Duration {
        SILENCE_UNIT * u32::from(self.silence)
    }

    /// Reconstructs the agent's last heartbeat.
    ///
    /// The sequence number is zero because samples don't carry it. The revision is zero if the agent is behind
    /// `revision`, the revision of the report.
    pub fn to_view(&self, identity: &AgentIdentity, revision: revision::Revision) -> agent_view::AgentView {
        agent_view::AgentView {
            endpoint: identity.endpoint.clone(),
            incarnation: identity.incarnation,
            seq: 0,
            calls: identity.calls,
            control: identity.control,
            load: load::Load {
                running: u32::from(self.running),
                queued: u32::from(self.queued),
                slots: identity.slots,
                hold_us: load::from_log_step(self.hold_step),
                first_us: load::from_log_step(self.first_step),
                gap_us: load::from_log_step(self.gap_step),
            },
            leaving: identity.leaving,
            entries: 0,
            revision: if self.has_revision {
                revision
            } else {
                revision::Revision::default()
            },
        }
    }
}

/// Report of one entry about its agents and about the demand of organisations at that entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The entry that created the report.
    pub entry: name::Name,
    /// Identifies the lifetime of the entry's process.
    pub epoch: u32,
    /// Sequence number of the report within the epoch.
    pub seq: u32,
    /// Sequence number of the first report that had the current value of `agents`.
    pub agents_since: u32,
    /// Control address of the entry.
    pub control: Option<SocketAddr>,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Interval between the heartbeats of the entry's agents, in milliseconds.
    pub heartbeat_ms: u32,
    /// Configuration revision in force at the entry.
    pub revision: revision::Revision,
    /// The agents, in the order of `samples`. `None` if the receiver already has them from a report with a sequence
    /// number of at least `agents_since`.
    pub agents: Option<Vec<AgentIdentity>>,
    /// One sample for each agent.
    pub samples: Vec<AgentSample>,
    /// Demand of each organisation at the entry, sorted by organisation.
    pub demands: Vec<limits::Demand>,
}

impl AgentReport {
    /// Returns the version of the report.
    pub fn version(&self) -> ReportVersion {
        ReportVersion {
            key: entry_key(&self.entry, self.epoch),
            seq: self.seq,
        }
    }
}

/// Identifies a version of an entry's report.
///
/// Entries list the versions that they have in a [`Digest`](crate::digest::Digest).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportVersion {
    /// Hash of the entry and its epoch; see [`entry_key`].
    pub key: u32,
    /// Sequence number of the report.
    pub seq: u32,
}

/// Returns a hash of an entry and its epoch.
///
/// If two entries of a failure domain had the same key, reports of one could be withheld as if they were known. With 40
/// entries the probability of a collision is one in five million.
pub fn entry_key(entry: &name::Name, epoch: u32) -> u32 {
    xxh3::xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(epoch)) as u32
}
