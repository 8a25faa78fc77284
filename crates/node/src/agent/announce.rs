//! The agent's heartbeats.
//!
//! An agent sends its heartbeats to one entry, which passes them on to the other entries. The entry is selected by
//! rendezvous hashing over the entries that the agent knows, so the agents of a failure domain are spread evenly over
//! its entries without coordination. If the selected entry does not reply, the agent falls back to the next candidate
//! immediately. Only when it starts draining does the agent notify all known entries directly.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future;
use slog::{debug, info};
use sycamorestile_core::entry_selector;
use sycamorestile_core::packed;
use sycamorestile_core::time::Time;
use sycamorestile_platform::client;
use sycamorestile_wire::entry_control;
use tokio::time;

use crate::agent::context;
use crate::entry_links;
use crate::settings::agent_settings;

/// Heartbeat interval used until an entry replies with its own interval, and while no entry replies.
pub(crate) const DEFAULT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two reads of the platform's list of instances while no entry replies.
const URGENT_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two reads of the platform's list of instances while entries reply. It is long because all agents
/// read the list, and together they must not overload the platform.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Time without a reply after which the list of instances is read more often.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts sending heartbeats. The known entries are those from the settings, the platform's list of instances and the
/// replies to heartbeats.
pub(crate) fn start(settings: &agent_settings::AgentSettings, cx: Arc<context::AgentContext>) {
    let selector = entry_selector::EntrySelector::new(settings.endpoint.clone(), settings.entries.clone());
    let selector = Arc::new(Mutex::new(selector));
    tokio::spawn(run(Arc::clone(&selector), Arc::clone(&cx)));
    let client = client::Client::new(settings.platform);
    let domain = settings.failure_domain.clone();
    tokio::spawn(async move {
        loop {
            let entries = entry_links::list_entries(&client, &domain).await;
            if !entries.is_empty() {
                lock(&selector).set_listed(entries);
            }
            wait_for_list_refresh(&cx).await;
        }
    });
}

fn lock(selector: &Mutex<entry_selector::EntrySelector>) -> MutexGuard<'_, entry_selector::EntrySelector> {
    selector.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until the next read of the list of instances is due.
async fn wait_for_list_refresh(cx: &context::AgentContext) {
    let refreshed = cx.clock.now();
    loop {
        time::sleep(URGENT_LIST_INTERVAL).await;
        let now = cx.clock.now();
        let last_reply = Time::from_micros(cx.last_reply.load(Ordering::Acquire));
        if now.since(last_reply) > REPLY_TIMEOUT || now.since(refreshed) > LIST_INTERVAL {
            return;
        }
    }
}

/// Sends heartbeats in a loop.
async fn run(selector: Arc<Mutex<entry_selector::EntrySelector>>, cx: Arc<context::AgentContext>) {
    let mut current: Option<EntryConnection> = None;
    loop {
        let interval = send_heartbeat(&selector, &mut current, &cx)
            .await
            .unwrap_or(DEFAULT_INTERVAL);
        let woken = cx.announce_now.notified();
        if time::timeout(interval, woken).await.is_ok() {
            announce_to_all(&selector, &cx).await;
        }
    }
}

/// The connection to the entry that receives the heartbeats.
struct EntryConnection {
    entry: SocketAddr,
    client: entry_control::EntryControlClient,
}

/// Sends one heartbeat to the first candidate that replies and returns the interval that it requested.
async fn send_heartbeat(
    selector: &Mutex<entry_selector::EntrySelector>,
    current: &mut Option<EntryConnection>,
    cx: &context::AgentContext,
) -> Option<Duration> {
    let candidates = lock(selector).candidates(cx.clock.now());
    for entry in candidates {
        let existing = current.take().filter(|connection| connection.entry == entry);
        let is_new = existing.is_none();
        let client = match existing {
            Some(connection) => Some(connection.client),
            None => entry_links::connect(entry).await,
        };
        let reply = match &client {
            Some(client) => announce(client, cx).await,
            None => None,
        };
        let (Some(client), Some(result)) = (client, reply) else {
            debug!(cx.log, "entry unreachable"; "entry" => %entry);
            lock(selector).record_failure(entry, cx.clock.now());
            continue;
        };
        if is_new {
            let heartbeat_ms = result.interval.as_millis() as u64;
            info!(cx.log, "sending heartbeats to entry"; "entry" => %entry, "heartbeat_ms" => heartbeat_ms);
        }
        *current = Some(EntryConnection { entry, client });
        if let Some(entries) = result.entries {
            lock(selector).set_advertised(entries);
        }
        return Some(result.interval);
    }
    None
}

/// Sends a heartbeat to every known entry, each over a new connection.
async fn announce_to_all(selector: &Mutex<entry_selector::EntrySelector>, cx: &context::AgentContext) {
    let candidates = lock(selector).candidates(cx.clock.now());
    let announcements = candidates.into_iter().map(|entry| async move {
        if let Some(client) = entry_links::connect(entry).await {
            announce(&client, cx).await;
        }
    });
    future::join_all(announcements).await;
}

/// The parts of an entry's reply that control the heartbeats.
struct AnnounceResult {
    /// Interval until the next heartbeat.
    interval: Duration,
    /// The entries that the replying entry knows; `None` if the agent already knew the same set.
    entries: Option<Vec<SocketAddr>>,
}

/// Sends one heartbeat. Returns `None` if the connection is unusable.
async fn announce(client: &entry_control::EntryControlClient, cx: &context::AgentContext) -> Option<AnnounceResult> {
    // The heartbeat carries the addresses of the servers, so it cannot be sent before they are bound.
    let Some(view) = cx.control.view().await else {
        return Some(AnnounceResult {
            interval: DEFAULT_INTERVAL,
            entries: None,
        });
    };
    let reply = time::timeout(
        entry_links::RPC_TIMEOUT,
        client.announce(tarpc::context::current(), packed::Packed(view)),
    )
    .await;
    let reply = reply.ok()?.ok()??;
    cx.last_reply.store(cx.clock.now().as_micros(), Ordering::Release);
    let result = AnnounceResult {
        interval: Duration::from_millis(u64::from(reply.heartbeat_ms)),
        entries: reply.entries.clone(),
    };
    cx.control.apply_announce_reply(reply);
    Some(result)
}
