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

/// Unit of [`AgentSample::silent`].
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
    pub fn of(view: &agent_view::AgentView) -> Self {
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
    hold: u8,
    /// [`load::Load::first_us`] on the coarse scale.
    first: u8,
    /// [`load::Load::gap_us`] on the coarse scale.
    gap: u8,
    /// Time since the heartbeat that the row is from, in tenths of a second.
    silent: u8,
    /// The agent has the sheet's revision in force.
    current: bool,
}

impl AgentSample {
    /// The row of an agent that was last heard `silent` ago, on a sheet of `revision`.
    pub fn of(view: &agent_view::AgentView, silent: Duration, revision: revision::Revision) -> Self {
        let load = &view.load;
        let tenths = silent.as_millis() / SILENCE_UNIT.as_millis();
        Self {
            running: u16::try_from(load.running).unwrap_or(u16::MAX),
            queued: u16::try_from(load.queued).unwrap_or(u16::MAX),
            hold: load::to_log_step(load.hold_us),
            first: load::to_log_step(load.first_us),
            gap: load::to_log_step(load.gap_us),
            silent: u8::try_from(tenths).unwrap_or(u8::MAX),
            current: view.revision >= revision,
        }
    }

    /// Time since the heartbeat that the row is from.
    pub fn silent(&self) -> Duration {
        SILENCE_UNIT * u32::from(self.silent)
    }

    /// The heartbeat that the row stands for. Its number is zero, and so is its revision when the agent lags behind the
    /// sheet's.
    pub fn view(&self, card: &AgentIdentity, revision: revision::Revision) -> agent_view::AgentView {
        agent_view::AgentView {
            endpoint: card.endpoint.clone(),
            incarnation: card.incarnation,
            seq: 0,
            calls: card.calls,
            control: card.control,
            load: load::Load {
                running: u32::from(self.running),
                queued: u32::from(self.queued),
                slots: card.slots,
                hold_us: load::from_log_step(self.hold),
                first_us: load::from_log_step(self.first),
                gap_us: load::from_log_step(self.gap),
            },
            leaving: card.leaving,
            entries: 0,
            revision: if self.current {
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
    pub tick: u32,
    /// The tick since which the agents are the same.
    pub since: u32,
    /// The entry's control address.
    pub control: Option<SocketAddr>,
    /// Age when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Interval of its agents' heartbeats, in milliseconds.
    pub heartbeat_ms: u32,
    /// Revision in force at the entry.
    pub revision: revision::Revision,
    /// The agents, in the order of `rows`; `None` where the receiver has those of `since`.
    pub agents: Option<Vec<AgentIdentity>>,
    /// One for each agent.
    pub rows: Vec<AgentSample>,
    /// Calls a second that organisations ask of the entry, sorted by organisation.
    pub demands: Vec<limits::Demand>,
}

impl AgentReport {
    /// The mark by which an entry tells that it has this sheet.
    pub fn mark(&self) -> ReportVersion {
        ReportVersion {
            key: key(&self.entry, self.epoch),
            tick: self.tick,
        }
    }
}

/// Which sheet of one entry somebody has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportVersion {
    /// Hash of the entry and its epoch.
    pub key: u32,
    /// The newest tick.
    pub tick: u32,
}

/// Hash of an entry and its epoch. Two entries of a domain with one key would hide one from the other; with 40 entries
/// the odds are one in five million.
pub fn key(entry: &name::Name, epoch: u32) -> u32 {
    xxh3::xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(epoch)) as u32
}
