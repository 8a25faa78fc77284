//! The agent's heartbeats.
//!
//! An agent speaks to one entry, its home, which tells the others. Homes are spread by rendezvous over the entries that
//! the agent knows, so the agents of a failure domain share its entries evenly without asking anyone. When its home does
//! not answer, the agent speaks to the next one at once. Only when it begins to leave does it tell all of them itself.

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

/// Interval between two heartbeats until an entry tells another one, and while none answers.
pub(crate) const DEFAULT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two looks at the platform's list while no entry answers.
const URGENT_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two looks at the platform's list while entries answer. All agents together must not wear the list out.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Time without an answer after which the list is looked at sooner.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts to speak to the entries from the settings, from the platform's list and from entries' answers.
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

/// Waits for the next look at the list.
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

/// Heartbeats, one after the other.
async fn run(selector: Arc<Mutex<entry_selector::EntrySelector>>, cx: Arc<context::AgentContext>) {
    let mut current: Option<EntryConnection> = None;
    loop {
        let pause = send_heartbeat(&selector, &mut current, &cx)
            .await
            .unwrap_or(DEFAULT_INTERVAL);
        let woken = cx.announce_now.notified();
        if time::timeout(pause, woken).await.is_ok() {
            announce_to_all(&selector, &cx).await;
        }
    }
}

/// The entry that the agent speaks to.
struct EntryConnection {
    entry: SocketAddr,
    client: entry_control::EntryControlClient,
}

/// Sends one heartbeat to the first entry that answers; the time after which that one expects the next.
async fn send_heartbeat(
    selector: &Mutex<entry_selector::EntrySelector>,
    current: &mut Option<EntryConnection>,
    cx: &context::AgentContext,
) -> Option<Duration> {
    let candidates = lock(selector).candidates(cx.clock.now());
    for entry in candidates {
        let kept = current.take().filter(|h| h.entry == entry);
        let is_new = kept.is_none();
        let client = match kept {
            Some(current) => Some(current.client),
            None => entry_links::connect(entry).await,
        };
        let reply = match &client {
            Some(client) => announce(client, cx).await,
            None => None,
        };
        let (Some(client), Some(result)) = (client, reply) else {
            debug!(cx.log, "entry not in reach"; "entry" => %entry);
            lock(selector).record_failure(entry, cx.clock.now());
            continue;
        };
        if is_new {
            info!(cx.log, "home entry"; "entry" => %entry, "heartbeat_ms" => result.pause.as_millis() as u64);
        }
        *current = Some(EntryConnection { entry, client });
        if let Some(entries) = result.entries {
            lock(selector).set_advertised(entries);
        }
        return Some(result.pause);
    }
    None
}

/// Tells every entry, over connections of their own.
async fn announce_to_all(selector: &Mutex<entry_selector::EntrySelector>, cx: &context::AgentContext) {
    let candidates = lock(selector).candidates(cx.clock.now());
    let result = candidates.into_iter().map(|entry| async move {
        if let Some(client) = entry_links::connect(entry).await {
            announce(&client, cx).await;
        }
    });
    future::join_all(result).await;
}

/// What an entry's answer told.
struct AnnounceResult {
    /// Time after which it expects the next heartbeat.
    pause: Duration,
    /// The entries that it knows, unless the agent knew the same.
    entries: Option<Vec<SocketAddr>>,
}

/// Sends one heartbeat; `None` when the connection is of no use.
async fn announce(client: &entry_control::EntryControlClient, cx: &context::AgentContext) -> Option<AnnounceResult> {
    // Without addresses there is nothing to tell yet.
    let Some(view) = cx.control.view().await else {
        return Some(AnnounceResult {
            pause: DEFAULT_INTERVAL,
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
        pause: Duration::from_millis(u64::from(reply.heartbeat_ms)),
        entries: reply.entries.clone(),
    };
    cx.control.apply_announce_reply(reply);
    Some(result)
}
