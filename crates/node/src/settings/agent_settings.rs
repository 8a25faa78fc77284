//! Settings of an agent.

use std::net::SocketAddr;

use serde::Deserialize;
use sycamorestile_core::name;

use crate::settings::fault;

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
pub struct AgentSettings {
    /// Always `agent`; detects a settings file of another role.
    pub role: AgentRole,
    /// Name of the instance.
    pub instance: name::Name,
    /// Failure domain of the instance.
    pub failure_domain: name::Name,
    /// Name of the declared endpoint that the agent manages.
    pub endpoint: name::Name,
    /// Address that accepts attempts.
    pub calls: SocketAddr,
    /// Address of the control server, for the system's own processes.
    pub control: SocketAddr,
    /// Address at which entries reach `calls`, if it differs.
    #[serde(default)]
    pub announced_calls: Option<SocketAddr>,
    /// Address at which entries reach `control`, if it differs.
    #[serde(default)]
    pub announced_control: Option<SocketAddr>,
    /// Address of the health and metrics server.
    pub metrics: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of entries, in addition to those on the platform's list of instances.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Seed of random choices; random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Value of `role` in an agent's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AgentRole {
    /// Settings of an agent.
    Agent,
}

impl AgentSettings {
    /// Validates the values and returns all faults.
    pub fn validate(&self) -> Vec<fault::SettingFault> {
        let mut faults = Vec::new();
        if self.platform.port() == 0 {
            faults.push(fault::SettingFault::new(
                "platform",
                "port 0 is not a valid destination; use the platform's port",
            ));
        }
        for (index, entry) in self.entries.iter().enumerate() {
            if entry.port() == 0 {
                let path = format!("entries[{index}]");
                faults.push(fault::SettingFault::new(
                    path,
                    "port 0 is not a valid destination; use the entry's control port",
                ));
            }
        }
        faults
    }
}
