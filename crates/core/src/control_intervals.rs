//! Intervals of control messages, scaled with the size of the failure domain.
//!
//! The control traffic of each process is limited to 9 KB/s regardless of the number of processes. Small domains
//! exchange messages as often as callers benefit from it. Large domains exchange them less often, which their longer
//! calls and larger choice of endpoints allow.

use std::time::Duration;

/// Maximum rate of heartbeats that an entry receives. At 430 bytes for a heartbeat and its reply, they use a third of
/// the 9 KB/s.
const HEARTBEATS_PER_SECOND: f64 = 7.5;
/// Minimum interval between two heartbeats of an agent.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum interval between two heartbeats of an agent. A configuration change must be in force at agents within 3 s,
/// and entries take up to half a second to read it.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_900);
/// Maximum rate of agent samples that an entry receives. At 10 bytes for a sample, received and sent on, they use a
/// quarter of the 9 KB/s.
const SAMPLES_PER_SECOND: f64 = 100.0;
/// Minimum interval between two agent reports of an entry.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which an entry starts gossip exchanges. At 700 bytes for each, the exchanges that an entry starts and those
/// that it replies to use a third of the 9 KB/s together.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Intervals for an entry and for the agents that report to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlIntervals {
    /// Interval between two heartbeats of an agent.
    pub heartbeat: Duration,
    /// Interval between two agent reports of an entry, unless a change makes an earlier one necessary.
    pub report: Duration,
    /// Time that a report may take to reach the last entry of the failure domain.
    pub propagation: Duration,
}

impl ControlIntervals {
    /// Returns the intervals for an entry that `reporting_agents` agents report to, in a failure domain with `entries`
    /// entries and `agents` agents.
    pub fn for_domain(entries: usize, agents: usize, reporting_agents: usize) -> Self {
        let heartbeat = Duration::from_secs_f64(reporting_agents as f64 / HEARTBEATS_PER_SECOND);
        let report = Duration::from_secs_f64(agents as f64 / SAMPLES_PER_SECOND);
        Self {
            heartbeat: heartbeat.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL),
            report: report.max(MIN_REPORT_INTERVAL),
            propagation: GOSSIP_INTERVAL * propagation_rounds(entries),
        }
    }

    /// Returns by how much the heartbeat interval exceeds the minimum.
    pub fn heartbeat_slack(&self) -> Duration {
        self.heartbeat.saturating_sub(MIN_HEARTBEAT_INTERVAL)
    }

    /// Returns how old an agent's last heartbeat, as known from another entry's report, can become in normal operation.
    pub fn report_lag(&self) -> Duration {
        self.heartbeat + self.report + self.propagation
    }
}

/// Returns the number of gossip rounds after which information has reached all of `entries`.
///
/// Each round about doubles the number of entries that have the information, which takes one round for each distance.
/// The second half of the rounds covers the remaining entries.
fn propagation_rounds(entries: usize) -> u32 {
    2 * ring_distances(entries) as u32
}

/// Returns the number of ring distances over which an entry gossips in a ring of `entries` entries.
///
/// The distances are the powers of two, beginning with 1, that are less than `entries`.
pub fn ring_distances(entries: usize) -> usize {
    (usize::BITS - entries.saturating_sub(1).leading_zeros()) as usize
}
