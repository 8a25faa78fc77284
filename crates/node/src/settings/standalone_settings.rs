//! Settings of the complete system in one process.

use std::net::SocketAddr;

use serde::Deserialize;
use sycamorestile_core::config::organisation;

use crate::settings::fault;

/// Settings of `sycamorestile standalone`.
#[derive(Debug, Clone, Deserialize)]
pub struct StandaloneSettings {
    /// Always `standalone`; detects a settings file of another role.
    pub role: StandaloneRole,
    /// Address of the callers' HTTP server.
    #[serde(default = "any_port")]
    pub callers: SocketAddr,
    /// Address of the operators' gRPC server.
    #[serde(default = "any_port")]
    pub operators: SocketAddr,
    /// Address of the health and metrics server.
    #[serde(default = "any_port")]
    pub metrics: SocketAddr,
    /// Number of ranks of the model group.
    #[serde(default = "default_ranks")]
    pub ranks: u32,
    /// Number of attempts that a rank runs concurrently.
    #[serde(default = "default_rank_slots")]
    pub rank_slots: u32,
    /// Number of replicas of the ledger.
    #[serde(default = "default_replicas")]
    pub ledger_replicas: u32,
    /// Minimum duration of a step of the group, in microseconds.
    #[serde(default = "default_step_us")]
    pub step_us: u64,
    /// Declared organisations; all others are admitted without a limit.
    #[serde(default)]
    pub organisations: Vec<organisation::Organisation>,
    /// Seed of random choices.
    #[serde(default)]
    pub seed: u64,
}

/// Value of `role` in standalone settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StandaloneRole {
    /// Settings of the complete system in one process.
    Standalone,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_ranks() -> u32 {
    4
}

fn default_rank_slots() -> u32 {
    16
}

fn default_replicas() -> u32 {
    3
}

fn default_step_us() -> u64 {
    5_000
}

impl Default for StandaloneSettings {
    fn default() -> Self {
        Self {
            role: StandaloneRole::Standalone,
            callers: any_port(),
            operators: any_port(),
            metrics: any_port(),
            ranks: default_ranks(),
            rank_slots: default_rank_slots(),
            ledger_replicas: default_replicas(),
            step_us: default_step_us(),
            organisations: Vec::new(),
            seed: 0,
        }
    }
}

impl StandaloneSettings {
    /// Validates the values and returns all faults.
    pub fn validate(&self) -> Vec<fault::SettingFault> {
        let mut faults = Vec::new();
        let mut check_bounds = |path: &str, value: u64, low: u64, high: u64| {
            if !(low..=high).contains(&value) {
                let message = format!("{value} is out of bounds; use {low} to {high}");
                faults.push(fault::SettingFault::new(path, message));
            }
        };
        check_bounds("ranks", u64::from(self.ranks), 1, 64);
        check_bounds("rank_slots", u64::from(self.rank_slots), 1, 4_096);
        check_bounds("ledger_replicas", u64::from(self.ledger_replicas), 1, 16);
        check_bounds("step_us", self.step_us, 100, 1_000_000);
        for (index, organisation) in self.organisations.iter().enumerate() {
            let path = format!("organisations[{index}]");
            if !(organisation.calls_per_second.is_finite()
                && organisation.calls_per_second >= 0.0
                && organisation.burst >= 1.0)
            {
                let message = "use a finite calls_per_second of at least 0 and a burst of at least 1";
                faults.push(fault::SettingFault::new(path, message));
            }
        }
        faults
    }
}
