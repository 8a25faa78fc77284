//! How often the processes of a failure domain speak to each other, by the domain's size.
//!
//! Each process may spend 9 KB/s on control however many processes there are. A small domain speaks as often as its
//! callers profit from; a large one speaks less often, which its longer calls and larger choice of endpoints allow.

use std::time::Duration;

/// Heartbeats that one entry takes in a second: with 430 bytes for each and its answer, a third of the 9 KB/s.
const HEARTBEATS_PER_SECOND: f64 = 7.5;
/// Shortest interval of an agent's heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest interval of an agent's heartbeats: a change has to be in force at agents within 3 s, and entries take up to half
/// a second to read it.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_900);
/// Rows of sheets that one entry takes in a second: with 10 bytes for each, in and out, a quarter of the 9 KB/s.
const SAMPLES_PER_SECOND: f64 = 100.0;
/// Shortest interval between two sheets of one entry.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of an entry's exchanges with another one: with 700 bytes for each, begun and answered, a third of the 9 KB/s.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Intervals of one entry and of the agents that report to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlIntervals {
    /// Between two heartbeats of an agent.
    pub heartbeat: Duration,
    /// Shortest time between two sheets of one entry.
    pub report: Duration,
    /// Time for which a sheet may be on its way to the last entry of the domain.
    pub propagation: Duration,
}

impl ControlIntervals {
    /// The pace in a domain of `entries` and `agents` for an entry to which `homed` agents report.
    pub fn for_domain(entries: usize, agents: usize, reporting_agents: usize) -> Self {
        let heartbeat = Duration::from_secs_f64(reporting_agents as f64 / HEARTBEATS_PER_SECOND);
        let report = Duration::from_secs_f64(agents as f64 / SAMPLES_PER_SECOND);
        Self {
            heartbeat: heartbeat.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL),
            report: report.max(MIN_REPORT_INTERVAL),
            propagation: GOSSIP_INTERVAL * propagation_rounds(entries),
        }
    }

    /// How much longer than in a small domain an agent's next heartbeat may take.
    pub fn heartbeat_slack(&self) -> Duration {
        self.heartbeat.saturating_sub(MIN_HEARTBEAT_INTERVAL)
    }

    /// How much older than a heartbeat of one's own an agent's row from another entry may be while all is well.
    pub fn report_lag(&self) -> Duration {
        self.heartbeat + self.report + self.propagation
    }
}

/// Exchanges until all of `entries` know what one knew: each doubles those that know, and the last few take their turn.
fn propagation_rounds(entries: usize) -> u32 {
    2 * ring_distances(entries) as u32
}

/// How many distances an entry of `entries` exchanges over; the distance doubles from each to the next, beginning at 1.
pub fn ring_distances(entries: usize) -> usize {
    (usize::BITS - entries.saturating_sub(1).leading_zeros()) as usize
}
