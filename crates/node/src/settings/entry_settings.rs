//! Settings of an entry.

use std::net::SocketAddr;

use serde::Deserialize;
use sycamorestile_core::name;

use crate::settings::fault;

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
pub struct EntrySettings {
    /// Always `entry`; detects a settings file of another role.
    pub role: EntryRole,
    /// Name of the instance.
    pub instance: name::Name,
    /// Failure domain of the instance.
    pub failure_domain: name::Name,
    /// Address of the callers' HTTP server.
    pub callers: SocketAddr,
    /// Address of the operators' gRPC server.
    pub operators: SocketAddr,
    /// Address of the control server, for the system's own processes.
    pub control: SocketAddr,
    /// Address of the health and metrics server.
    pub metrics: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of other entries, in addition to those on the platform's list of instances.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Maximum number of calls in flight; further calls are refused.
    #[serde(default = "default_max_calls")]
    pub max_calls: u32,
    /// Seed of random choices; random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Value of `role` in an entry's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryRole {
    /// Settings of an entry.
    Entry,
}

/// Upper bound of the `max_calls` setting.
const MAX_CALLS: u32 = 100_000;

fn default_max_calls() -> u32 {
    2_000
}

impl EntrySettings {
    /// Validates the values and returns all faults.
    pub fn validate(&self) -> Vec<fault::SettingFault> {
        let mut faults = Vec::new();
        if !(1..=MAX_CALLS).contains(&self.max_calls) {
            let message = format!("{} is out of bounds; use 1 to {MAX_CALLS} calls", self.max_calls);
            faults.push(fault::SettingFault::new("max_calls", message));
        }
        if self.platform.port() == 0 {
            faults.push(fault::SettingFault::new(
                "platform",
                "port 0 is not a valid destination; use the platform's port",
            ));
        }
        for (index, peer) in self.peers.iter().enumerate() {
            if peer.port() == 0 {
                let path = format!("peers[{index}]");
                faults.push(fault::SettingFault::new(
                    path,
                    "port 0 is not a valid destination; use the entry's control port",
                ));
            }
        }
        faults
    }
}
