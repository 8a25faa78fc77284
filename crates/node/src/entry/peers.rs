//! The entry's exchanges with other entries.
//!
//! One task an address keeps a connection. Within the failure domain the board says whose turn it is and a task waits
//! until it is woken; entries not heard yet, and those of other failure domains, are asked at a fixed interval.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamorestile_core::control_intervals;
use sycamorestile_core::name;
use sycamorestile_wire::entry_control;
use tarpc::context;
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::entry::cx;
use crate::entry_links;
use crate::settings::entry_settings;

/// Interval between two digests to an entry that is not heard yet or that stands in another failure domain.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a task that was not woken looks whether its entry still answers.
const IDLE: Duration = Duration::from_secs(20);
/// Interval between two looks at the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Starts to exchange with the peers from the settings and, in this failure domain, from the platform's list.
pub(crate) fn start(settings: &entry_settings::EntrySettings, own: SocketAddr, cx: Arc<cx::Cx>) {
    let links = Arc::new(entry_links::EntryLinks::default());
    // The own address never gets a task.
    let _own = links.take_up(own);
    for peer in &settings.peers {
        link(&links, *peer, entry_links::Source::Settings, &cx);
    }
    let (tx, rx) = watch::channel(Vec::new());
    tokio::spawn(take_turns(links, rx, Arc::clone(&cx)));
    let domain = settings.failure_domain.clone();
    tokio::spawn(async move {
        loop {
            let listed = entry_links::listed(&cx.platform, &domain).await;
            // Without an answer the last list stays.
            if !listed.is_empty() {
                tx.send_replace(listed);
            }
            time::sleep(LIST_INTERVAL).await;
        }
    });
}

/// Wakes the tasks of the peers with which to exchange now.
async fn take_turns(links: Arc<entry_links::EntryLinks>, listed: watch::Receiver<Vec<SocketAddr>>, cx: Arc<cx::Cx>) {
    let mut turn = time::interval(control_intervals::GOSSIP_INTERVAL);
    turn.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        let peers = tokio::select! {
            _ = turn.tick() => {
                let listed = listed.borrow().clone();
                Vec::from_iter(cx.control.next_partner(listed).await)
            }
            () = cx.push_now.notified() => cx.control.pushes().await,
        };
        for peer in peers {
            link(&links, peer, entry_links::Source::List, &cx);
            links.wake(peer);
        }
    }
}

fn link(links: &Arc<entry_links::EntryLinks>, peer: SocketAddr, source: entry_links::Source, cx: &Arc<cx::Cx>) {
    if let Some(wake) = links.take_up(peer) {
        tokio::spawn(run(Arc::clone(links), peer, source, wake, Arc::clone(cx)));
    }
}

async fn run(
    links: Arc<entry_links::EntryLinks>,
    peer: SocketAddr,
    source: entry_links::Source,
    wake: Arc<Notify>,
    cx: Arc<cx::Cx>,
) {
    let mut client = None;
    let mut known: Option<Known> = None;
    let mut answered = cx.clock.now();
    loop {
        if client.is_none() {
            client = entry_links::connect(peer).await;
        }
        if let Some(open) = &client {
            let name = known.as_ref().map(|k| k.instance.clone());
            match exchange(open, name, &cx).await {
                Some(told) => {
                    known = Some(told);
                    answered = cx.clock.now();
                }
                None => client = None,
            }
        }
        let silent = cx.clock.now().since(answered);
        if source == entry_links::Source::List && silent > entry_links::FORGET_AFTER {
            links.forget(peer);
            return;
        }
        let takes_turns = client.is_some() && known.as_ref().is_some_and(|k| k.near);
        let pause = if takes_turns { IDLE } else { INTERVAL };
        // Woken or not, the entry is asked again.
        let _woken = time::timeout(pause, wake.notified()).await;
    }
}

/// What an entry's answer told of it.
struct Known {
    instance: name::Name,
    /// It stands in this failure domain.
    near: bool,
}

/// Sends one digest; who answered, or `None` when the connection is of no use.
async fn exchange(client: &entry_control::EntryControlClient, name: Option<name::Name>, cx: &cx::Cx) -> Option<Known> {
    let digest = cx.control.digest(name).await?;
    let domain = digest.failure_domain.clone();
    let reply = time::timeout(entry_links::TIMEOUT, client.exchange(context::current(), digest)).await;
    let reply = reply.ok()?.ok()??;
    let known = Known {
        instance: reply.instance.clone(),
        near: reply.failure_domain == domain,
    };
    cx.control.exchanged(reply);
    Some(known)
}
