//! Entries that a process keeps in touch with: those from its settings and those on the platform's list.
//!
//! Instances are replaced all the time, so an entry from the list that has not answered for long is forgotten; if the
//! list shows it again it is taken up again.

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

/// Time-out of a connection attempt and of one call.
pub(crate) const RPC_TIMEOUT: Duration = Duration::from_millis(600);
/// Silence after which an entry from the list is forgotten.
pub(crate) const EVICTION_TIMEOUT: Duration = Duration::from_secs(120);

/// Where an address came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The settings; never forgotten.
    Settings,
    /// The platform's list.
    List,
}

/// Addresses of entries that have a task.
#[derive(Debug, Default)]
pub(crate) struct EntryLinks {
    /// Sorted by address, each with what wakes its task.
    known: Mutex<Vec<(SocketAddr, Arc<Notify>)>>,
}

impl EntryLinks {
    fn known(&self) -> MutexGuard<'_, Vec<(SocketAddr, Arc<Notify>)>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an address up and gives what wakes its task; `None` when it has a task already.
    pub(crate) fn register(&self, entry: SocketAddr) -> Option<Arc<Notify>> {
        let mut known = self.known();
        let at = known.binary_search_by_key(&entry, |(addr, _)| *addr).err()?;
        let wake = Arc::new(Notify::new());
        known.insert(at, (entry, Arc::clone(&wake)));
        Some(wake)
    }

    /// Wakes the task of an address.
    pub(crate) fn wake(&self, entry: SocketAddr) {
        let known = self.known();
        if let Ok(at) = known.binary_search_by_key(&entry, |(addr, _)| *addr) {
            known[at].1.notify_one();
        }
    }

    /// Forgets an address whose task ends.
    pub(crate) fn remove(&self, entry: SocketAddr) {
        let mut known = self.known();
        if let Ok(at) = known.binary_search_by_key(&entry, |(addr, _)| *addr) {
            known.remove(at);
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

/// Control addresses of the entries of a failure domain, as the platform lists them; none while it does not answer.
pub(crate) async fn list_entries(client: &client::Client, domain: &name::Name) -> Vec<SocketAddr> {
    let client = client.clone();
    let listed = task::spawn_blocking(move || client.instances()).await;
    let Ok(Ok(list)) = listed else { return Vec::new() };
    let entries = list.instances.into_iter().filter(|i| i.role == instance::Role::Entry);
    let in_domain = entries.filter(|i| i.failure_domain == *domain);
    in_domain.map(|i| i.control).collect()
}
