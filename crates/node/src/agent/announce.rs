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
use tarpc::context;
use tokio::time;

use crate::agent::cx;
use crate::entry_links;
use crate::settings::agent_settings;

/// Interval between two heartbeats until an entry tells another one, and while none answers.
pub(crate) const INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two looks at the platform's list while no entry answers.
const URGENT_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two looks at the platform's list while entries answer. All agents together must not wear the list out.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Time without an answer after which the list is looked at sooner.
const SILENCE: Duration = Duration::from_secs(3);

/// Starts to speak to the entries from the settings, from the platform's list and from entries' answers.
pub(crate) fn start(settings: &agent_settings::AgentSettings, cx: Arc<cx::Cx>) {
    let choice = entry_selector::EntrySelector::new(settings.endpoint.clone(), settings.entries.clone());
    let choice = Arc::new(Mutex::new(choice));
    tokio::spawn(run(Arc::clone(&choice), Arc::clone(&cx)));
    let client = client::Client::new(settings.platform);
    let domain = settings.failure_domain.clone();
    tokio::spawn(async move {
        loop {
            let entries = entry_links::listed(&client, &domain).await;
            if !entries.is_empty() {
                lock(&choice).set_listed(entries);
            }
            pause(&cx).await;
        }
    });
}

fn lock(choice: &Mutex<entry_selector::EntrySelector>) -> MutexGuard<'_, entry_selector::EntrySelector> {
    choice.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits for the next look at the list.
async fn pause(cx: &cx::Cx) {
    let looked = cx.clock.now();
    loop {
        time::sleep(URGENT_LIST_INTERVAL).await;
        let now = cx.clock.now();
        let answered = Time::from_micros(cx.last_answer.load(Ordering::Acquire));
        if now.since(answered) > SILENCE || now.since(looked) > LIST_INTERVAL {
            return;
        }
    }
}

/// Heartbeats, one after the other.
async fn run(choice: Arc<Mutex<entry_selector::EntrySelector>>, cx: Arc<cx::Cx>) {
    let mut home: Option<Home> = None;
    loop {
        let pause = beat(&choice, &mut home, &cx).await.unwrap_or(INTERVAL);
        let early = cx.announce_now.notified();
        if time::timeout(pause, early).await.is_ok() {
            tell_all(&choice, &cx).await;
        }
    }
}

/// The entry that the agent speaks to.
struct Home {
    entry: SocketAddr,
    client: entry_control::EntryControlClient,
}

/// Sends one heartbeat to the first entry that answers; the time after which that one expects the next.
async fn beat(choice: &Mutex<entry_selector::EntrySelector>, home: &mut Option<Home>, cx: &cx::Cx) -> Option<Duration> {
    let order = lock(choice).candidates(cx.clock.now());
    for entry in order {
        let kept = home.take().filter(|h| h.entry == entry);
        let is_new = kept.is_none();
        let client = match kept {
            Some(home) => Some(home.client),
            None => entry_links::connect(entry).await,
        };
        let answer = match &client {
            Some(client) => announce(client, cx).await,
            None => None,
        };
        let (Some(client), Some(told)) = (client, answer) else {
            debug!(cx.log, "entry not in reach"; "entry" => %entry);
            lock(choice).record_failure(entry, cx.clock.now());
            continue;
        };
        if is_new {
            info!(cx.log, "home entry"; "entry" => %entry, "heartbeat_ms" => told.pause.as_millis() as u64);
        }
        *home = Some(Home { entry, client });
        if let Some(entries) = told.entries {
            lock(choice).set_advertised(entries);
        }
        return Some(told.pause);
    }
    None
}

/// Tells every entry, over connections of their own.
async fn tell_all(choice: &Mutex<entry_selector::EntrySelector>, cx: &cx::Cx) {
    let order = lock(choice).candidates(cx.clock.now());
    let told = order.into_iter().map(|entry| async move {
        if let Some(client) = entry_links::connect(entry).await {
            announce(&client, cx).await;
        }
    });
    future::join_all(told).await;
}

/// What an entry's answer told.
struct Told {
    /// Time after which it expects the next heartbeat.
    pause: Duration,
    /// The entries that it knows, unless the agent knew the same.
    entries: Option<Vec<SocketAddr>>,
}

/// Sends one heartbeat; `None` when the connection is of no use.
async fn announce(client: &entry_control::EntryControlClient, cx: &cx::Cx) -> Option<Told> {
    // Without addresses there is nothing to tell yet.
    let Some(view) = cx.control.view().await else {
        return Some(Told {
            pause: INTERVAL,
            entries: None,
        });
    };
    let reply = time::timeout(
        entry_links::TIMEOUT,
        client.announce(context::current(), packed::Packed(view)),
    )
    .await;
    let reply = reply.ok()?.ok()??;
    cx.last_answer.store(cx.clock.now().as_micros(), Ordering::Release);
    let told = Told {
        pause: Duration::from_millis(u64::from(reply.heartbeat_ms)),
        entries: reply.entries.clone(),
    };
    cx.control.announced(reply);
    Some(told)
}
