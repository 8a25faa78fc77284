//! Settings of an entry.

use std::net::SocketAddr;

use serde::Deserialize;
use sycamorestile_core::name;

use crate::settings::fault;

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
pub struct EntrySettings {
    /// Always `entry`; guards against a mixed-up file.
    pub role: EntryRole,
    /// Name of the instance.
    pub instance: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Address for callers' HTTP.
    pub callers: SocketAddr,
    /// Address for operators' gRPC.
    pub operators: SocketAddr,
    /// Address for control between the system's own processes.
    pub control: SocketAddr,
    /// Address for health and metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of other entries, beside those on the platform's list.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Calls in flight at once; above it callers are refused.
    #[serde(default = "default_max_calls")]
    pub max_calls: u32,
    /// Seed of random choices; absent for a random one.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// The value that marks an entry's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryRole {
    /// Settings of an entry.
    Entry,
}

/// Most calls that an entry may be told to hold.
const MAX_CALLS: u32 = 100_000;

fn default_max_calls() -> u32 {
    2_000
}

impl EntrySettings {
    /// Faults of the values.
    pub fn validate(&self) -> Vec<fault::SettingFault> {
        let mut faults = Vec::new();
        if !(1..=MAX_CALLS).contains(&self.max_calls) {
            let message = format!("{} is out of bounds; use 1 to {MAX_CALLS} calls", self.max_calls);
            faults.push(fault::SettingFault::new("max_calls", message));
        }
        if self.platform.port() == 0 {
            faults.push(fault::SettingFault::new(
                "platform",
                "port 0 can't be connected to; name the platform's port",
            ));
        }
        for (at, peer) in self.peers.iter().enumerate() {
            if peer.port() == 0 {
                let path = format!("peers[{at}]");
                faults.push(fault::SettingFault::new(
                    path,
                    "port 0 can't be connected to; name the entry's control port",
                ));
            }
        }
        faults
    }
}
