//! The entry's exchanges of digests with other entries.
//!
//! One task per address keeps a connection. The board schedules the exchanges with the entries of the same failure
//! domain, and their tasks wait until they are woken. Entries that have not replied yet and entries of other failure
//! domains are contacted at a fixed interval.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use sycamorestile_core::control_intervals;
use sycamorestile_core::name;
use sycamorestile_wire::entry_control;
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::entry::context;
use crate::entry_links;
use crate::settings::entry_settings;

/// Interval between two digests to an entry that has not replied yet or is in another failure domain.
const UNSCHEDULED_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a task that was not woken checks whether its entry still replies.
const IDLE_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between two reads of the platform's list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Starts the exchanges with the peers from the settings and with the entries of this failure domain on the platform's
/// list of instances.
pub(crate) fn start(settings: &entry_settings::EntrySettings, own_addr: SocketAddr, cx: Arc<context::EntryContext>) {
    let links = Arc::new(entry_links::EntryLinks::default());
    // The entry's own address is registered without a task, so that it is never contacted.
    let _own = links.register(own_addr);
    for peer in &settings.peers {
        ensure_link(&links, *peer, entry_links::Source::Settings, &cx);
    }
    let (tx, rx) = watch::channel(Vec::new());
    tokio::spawn(schedule_exchanges(links, rx, Arc::clone(&cx)));
    let domain = settings.failure_domain.clone();
    tokio::spawn(async move {
        loop {
            let listed = entry_links::list_entries(&cx.platform, &domain).await;
            // If the list could not be read, the previous one stays in use.
            if !listed.is_empty() {
                tx.send_replace(listed);
            }
            time::sleep(LIST_INTERVAL).await;
        }
    });
}

/// Wakes the tasks of the peers that are due for an exchange.
async fn schedule_exchanges(
    links: Arc<entry_links::EntryLinks>,
    listed: watch::Receiver<Vec<SocketAddr>>,
    cx: Arc<context::EntryContext>,
) {
    let mut ticks = time::interval(control_intervals::GOSSIP_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        let peers = tokio::select! {
            _ = ticks.tick() => {
                let listed = listed.borrow().clone();
                Vec::from_iter(cx.control.next_gossip_peer(listed).await)
            }
            () = cx.push_now.notified() => cx.control.take_pushes().await,
        };
        for peer in peers {
            ensure_link(&links, peer, entry_links::Source::List, &cx);
            links.wake(peer);
        }
    }
}

fn ensure_link(
    links: &Arc<entry_links::EntryLinks>,
    peer: SocketAddr,
    source: entry_links::Source,
    cx: &Arc<context::EntryContext>,
) {
    if let Some(wake) = links.register(peer) {
        tokio::spawn(run(Arc::clone(links), peer, source, wake, Arc::clone(cx)));
    }
}

async fn run(
    links: Arc<entry_links::EntryLinks>,
    peer: SocketAddr,
    source: entry_links::Source,
    wake: Arc<Notify>,
    cx: Arc<context::EntryContext>,
) {
    let mut client = None;
    let mut peer_info: Option<PeerInfo> = None;
    let mut last_reply = cx.clock.now();
    loop {
        if client.is_none() {
            client = entry_links::connect(peer).await;
        }
        if let Some(connected) = &client {
            let name = peer_info.as_ref().map(|info| info.instance.clone());
            match exchange_digest(connected, name, &cx).await {
                Some(replied) => {
                    peer_info = Some(replied);
                    last_reply = cx.clock.now();
                }
                None => client = None,
            }
        }
        let silence = cx.clock.now().since(last_reply);
        if source == entry_links::Source::List && silence > entry_links::EVICTION_TIMEOUT {
            links.remove(peer);
            return;
        }
        let is_scheduled = client.is_some() && peer_info.as_ref().is_some_and(|info| info.same_domain);
        let timeout = if is_scheduled {
            IDLE_INTERVAL
        } else {
            UNSCHEDULED_INTERVAL
        };
        // The peer is contacted whether or not the task was woken.
        let _woken = time::timeout(timeout, wake.notified()).await;
    }
}

/// The properties of a peer that its reply contains.
struct PeerInfo {
    instance: name::Name,
    /// Whether the peer is in the same failure domain as this entry.
    same_domain: bool,
}

/// Sends one digest and returns who replied. Returns `None` if the connection is unusable.
async fn exchange_digest(
    client: &entry_control::EntryControlClient,
    name: Option<name::Name>,
    cx: &context::EntryContext,
) -> Option<PeerInfo> {
    let digest = cx.control.digest(name).await?;
    let domain = digest.failure_domain.clone();
    let reply = time::timeout(
        entry_links::RPC_TIMEOUT,
        client.exchange(tarpc::context::current(), digest),
    )
    .await;
    let reply = reply.ok()?.ok()??;
    let peer_info = PeerInfo {
        instance: reply.instance.clone(),
        same_domain: reply.failure_domain == domain,
    };
    cx.control.apply_digest_reply(reply);
    exchange_crashes(client, cx).await;
    Some(peer_info)
}

/// Exchanges with a peer what both know of crashes of endpoints, unless this entry knows of none. An entry that knows
/// of some contacts this one itself.
async fn exchange_crashes(client: &entry_control::EntryControlClient, cx: &context::EntryContext) {
    let facts = cx.crash_facts();
    if facts.is_empty() {
        return;
    }
    let exchange = client.exchange_crashes(tarpc::context::current(), facts);
    match time::timeout(entry_links::RPC_TIMEOUT, exchange).await {
        Ok(Ok(told)) => cx.merge_crashes(&told),
        // The facts are sent again with the next digest.
        Ok(Err(_)) | Err(_) => debug!(cx.log, "failed to exchange crashes of endpoints with a peer"),
    }
}
