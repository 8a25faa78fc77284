//! Settings of an agent.

use std::net::SocketAddr;

use serde::Deserialize;
use sycamorestile_core::name;

use crate::settings::fault;

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
pub struct AgentSettings {
    /// Always `agent`; guards against a mixed-up file.
    pub role: AgentRole,
    /// Name of the instance.
    pub instance: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Name of the declared endpoint that the agent stands beside.
    pub endpoint: name::Name,
    /// Address for attempts.
    pub calls: SocketAddr,
    /// Address for control between the system's own processes.
    pub control: SocketAddr,
    /// Address under which entries reach `calls`, where it differs.
    #[serde(default)]
    pub announced_calls: Option<SocketAddr>,
    /// Address under which entries reach `control`, where it differs.
    #[serde(default)]
    pub announced_control: Option<SocketAddr>,
    /// Address for health and metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of entries, beside those on the platform's list.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Seed of random choices; absent for a random one.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// The value that marks an agent's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AgentRole {
    /// Settings of an agent.
    Agent,
}

impl AgentSettings {
    /// Faults of the values.
    pub fn validate(&self) -> Vec<fault::SettingFault> {
        let mut faults = Vec::new();
        if self.platform.port() == 0 {
            faults.push(fault::SettingFault::new(
                "platform",
                "port 0 can't be connected to; name the platform's port",
            ));
        }
        for (at, entry) in self.entries.iter().enumerate() {
            if entry.port() == 0 {
                let path = format!("entries[{at}]");
                faults.push(fault::SettingFault::new(
                    path,
                    "port 0 can't be connected to; name the entry's control port",
                ));
            }
        }
        faults
    }
}
