//! Connections of a process to entries from its settings and from the platform's list of instances.
//!
//! Instances are replaced regularly, so an entry from the list that has not replied for a long time is removed. It is
//! registered again if it reappears on the list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sycamorestile_core::name;
use sycamorestile_platform::client;
use sycamorestile_platform::instance;
use sycamorestile_wire::entry_control;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Notify;
use tokio::{task, time};

/// Timeout of connecting and of one control call.
pub(crate) const RPC_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a reply after which an entry from the list is removed.
pub(crate) const EVICTION_TIMEOUT: Duration = Duration::from_secs(120);

/// Origin of an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The settings. The entry is never removed.
    Settings,
    /// The platform's list of instances.
    List,
}

/// Addresses of entries that have a task.
#[derive(Debug, Default)]
pub(crate) struct EntryLinks {
    /// Sorted by address. The notification wakes the task of the address.
    links: Mutex<Vec<(SocketAddr, Arc<Notify>)>>,
}

impl EntryLinks {
    fn lock(&self) -> MutexGuard<'_, Vec<(SocketAddr, Arc<Notify>)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an address and returns the notification that wakes its task. Returns `None` if the address is already
    /// registered.
    pub(crate) fn register(&self, entry: SocketAddr) -> Option<Arc<Notify>> {
        let mut links = self.lock();
        let index = links.binary_search_by_key(&entry, |(addr, _)| *addr).err()?;
        let wake = Arc::new(Notify::new());
        links.insert(index, (entry, Arc::clone(&wake)));
        Some(wake)
    }

    /// Wakes the task of an address.
    pub(crate) fn wake(&self, entry: SocketAddr) {
        let links = self.lock();
        if let Ok(index) = links.binary_search_by_key(&entry, |(addr, _)| *addr) {
            links[index].1.notify_one();
        }
    }

    /// Removes an address whose task ends.
    pub(crate) fn remove(&self, entry: SocketAddr) {
        let mut links = self.lock();
        if let Ok(index) = links.binary_search_by_key(&entry, |(addr, _)| *addr) {
            links.remove(index);
        }
    }
}

/// Opens a control connection to an entry.
pub(crate) async fn connect(entry: SocketAddr) -> Option<entry_control::EntryControlClient> {
    let connecting = tarpc::serde_transport::tcp::connect(entry, Bincode::default);
    let transport = time::timeout(RPC_TIMEOUT, connecting).await.ok()?.ok()?;
    let config = tarpc::client::Config::default();
    Some(entry_control::EntryControlClient::new(config, transport).spawn())
}

/// Returns the control addresses of a failure domain's entries on the platform's list of instances, or none if the
/// platform does not respond.
pub(crate) async fn list_entries(client: &client::Client, domain: &name::Name) -> Vec<SocketAddr> {
    let client = client.clone();
    let result = task::spawn_blocking(move || client.instances()).await;
    let Ok(Ok(list)) = result else { return Vec::new() };
    let entries = list.instances.into_iter().filter(|i| i.role == instance::Role::Entry);
    let in_domain = entries.filter(|i| i.failure_domain == *domain);
    in_domain.map(|i| i.control).collect()
}
