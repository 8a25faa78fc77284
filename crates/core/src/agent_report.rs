//! What one entry tells the others of its failure domain about the agents that report to it.
//!
//! An agent reports to one entry only. The others learn of it from that entry's sheet, which any entry hands on. What
//! rarely changes, the agents' addresses, goes over the wire only to entries that lack it.

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

/// Unit of [`AgentSample::silence`].
const SILENCE_UNIT: Duration = Duration::from_millis(100);

/// What rarely changes about an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentIdentity {
    /// Endpoint that the agent stands beside.
    pub endpoint: name::Name,
    /// The agent's process lifetime.
    pub incarnation: incarnation::Incarnation,
    /// Address for attempts.
    pub calls: SocketAddr,
    /// Address for control.
    pub control: SocketAddr,
    /// Attempts that the endpoint runs at once.
    pub slots: u32,
    /// Nothing new begins there.
    pub leaving: bool,
}

impl AgentIdentity {
    /// The card of the agent that sent `view`.
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

/// What changes all the time about an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentSample {
    /// Attempts running.
    running: u16,
    /// Attempts waiting.
    queued: u16,
    /// [`load::Load::hold_us`] on the coarse scale.
    hold_step: u8,
    /// [`load::Load::first_us`] on the coarse scale.
    first_step: u8,
    /// [`load::Load::gap_us`] on the coarse scale.
    gap_step: u8,
    /// Time since the heartbeat that the row is from, in tenths of a second.
    silence: u8,
    /// The agent has the sheet's revision in force.
    has_revision: bool,
}

impl AgentSample {
    /// The row of an agent that was last heard `silent` ago, on a sheet of `revision`.
    pub fn from_view(view: &agent_view::AgentView, silence: Duration, revision: revision::Revision) -> Self {
        let load = &view.load;
        let tenths = silence.as_millis() / SILENCE_UNIT.as_millis();
        Self {
            running: u16::try_from(load.running).unwrap_or(u16::MAX),
            queued: u16::try_from(load.queued).unwrap_or(u16::MAX),
            hold_step: load::step_of(load.hold_us),
            first_step: load::step_of(load.first_us),
            gap_step: load::step_of(load.gap_us),
            silence: u8::try_from(tenths).unwrap_or(u8::MAX),
            has_revision: view.revision >= revision,
        }
    }

    /// Time since the heartbeat that the row is from.
    pub fn silence(&self) -> Duration {
        SILENCE_UNIT * u32::from(self.silence)
    }

    /// The heartbeat that the row stands for. Its number is zero, and so is its revision when the agent lags behind the
    /// sheet's.
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
                hold_us: load::of_step(self.hold_step),
                first_us: load::of_step(self.first_step),
                gap_us: load::of_step(self.gap_step),
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

/// One entry's agents and demands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The entry that made it.
    pub entry: name::Name,
    /// The entry's process lifetime.
    pub epoch: u32,
    /// Counts the entry's sheets within its epoch.
    pub seq: u32,
    /// The tick since which the agents are the same.
    pub agents_since: u32,
    /// The entry's control address.
    pub control: Option<SocketAddr>,
    /// Age when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Interval of its agents' heartbeats, in milliseconds.
    pub heartbeat_ms: u32,
    /// Revision in force at the entry.
    pub revision: revision::Revision,
    /// The agents, in the order of `samples`; `None` where the receiver has those of `agents_since`.
    pub agents: Option<Vec<AgentIdentity>>,
    /// One for each agent.
    pub samples: Vec<AgentSample>,
    /// Calls a second that organisations ask of the entry, sorted by organisation.
    pub demands: Vec<limits::Demand>,
}

impl AgentReport {
    /// The mark by which an entry tells that it has this sheet.
    pub fn version(&self) -> ReportVersion {
        ReportVersion {
            key: entry_key(&self.entry, self.epoch),
            seq: self.seq,
        }
    }
}

/// Which sheet of one entry somebody has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportVersion {
    /// Hash of the entry and its epoch.
    pub key: u32,
    /// The newest tick.
    pub seq: u32,
}

/// Hash of an entry and its epoch. Two entries of a domain with one key would hide one from the other; with 40 entries
/// the odds are one in five million.
pub fn entry_key(entry: &name::Name, epoch: u32) -> u32 {
    xxh3::xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(epoch)) as u32
}
