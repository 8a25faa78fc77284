//! Exchange of facts about endpoints between gateways.
//!
//! Gateways send all that they know to random peers, paced by [`gossip`]. A gateway that gets less than it knows itself
//! replies with that, which is how a gateway learns what it missed while it was suspended or cut off. A gateway that
//! observed something itself also writes a row of the table, for those that can't be reached and for the case that all
//! gateways restart.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use sycamorestile_core::direct::gossip;
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time;

use crate::context;
use crate::control;
use crate::crash_watch;
use crate::endpoint_facts;
use crate::peer_link;

/// The row that a gateway keeps in the table.
#[derive(Debug, Serialize, Deserialize)]
struct FactRow {
    /// When the row was written, in milliseconds since the Unix epoch.
    written_at_ms: u64,
    facts: endpoint_facts::EndpointFacts,
}

/// Sends and merges facts until the process exits.
pub(crate) async fn run(cx: Rc<context::GatewayContext>, socket: Rc<UdpSocket>, channels: control::FactRows) {
    let control::FactRows { mut rows, own_row } = channels;
    let mut rounds = gossip::Rounds::new(boot_clock::now());
    let mut reports_written = 0;
    loop {
        let has_news = tokio::select! {
            () = time::sleep(rounds.next().since(boot_clock::now())) => {
                let now = boot_clock::now();
                refresh(&cx, now);
                let round = rounds.begin(now);
                rounds.record_sent(send_round(&cx, &socket, round).await);
                false
            }
            () = cx.fact_news.notified() => true,
            Some(value) = rows.recv() => merge_row(&cx, &value),
        };
        if has_news {
            rounds.record_news(boot_clock::now());
        }
        let own_reports = cx.crashes.borrow().own_reports() + cx.restrictions.borrow().rate_limits.own_reports();
        if own_reports != reports_written {
            reports_written = own_reports;
            write_row(&cx, &own_row);
        }
    }
}

/// Forgets old facts, shares the rate limits among the gateways that are heard of now, and updates the metrics.
fn refresh(cx: &context::GatewayContext, now: Time) {
    crash_watch::examine_replacements(cx, now);
    crash_watch::update(cx, |crashes| crashes.refresh(now));
    if let Some(era) = cx.snapshot().era {
        cx.metrics.set_table_era(era.0);
    }
    let peers = cx.placement.borrow().live_peer_ids(now);
    cx.restrictions.borrow_mut().rate_limits.refresh(peers, now);
}

/// Merges the facts of a peer's datagram, and replies if the peer lacks any that are known here.
pub(crate) async fn receive(
    cx: &context::GatewayContext,
    socket: &UdpSocket,
    facts: &endpoint_facts::EndpointFacts,
    from: SocketAddr,
) {
    let merged = facts.merge_into(cx, Duration::ZERO);
    if merged.learned {
        info!(cx.log, "learned facts about endpoints from a peer";
            "peer" => %from, "crashes" => facts.crashes.crashes.len(),
            "request_crashes" => facts.request_crashes.crashes.len(), "limits" => facts.limits.len());
        cx.fact_news.notify_one();
    }
    if merged.sender_lacks && !facts.is_reply {
        let reply = endpoint_facts::EndpointFacts {
            is_reply: true,
            ..endpoint_facts::EndpointFacts::collect(cx)
        };
        peer_link::send_facts(cx, socket, from, reply).await;
    }
}

/// Sends all facts to random peers, and returns the number of bytes sent.
async fn send_round(cx: &context::GatewayContext, socket: &UdpSocket, round: gossip::Round) -> usize {
    let facts = endpoint_facts::EndpointFacts::collect(cx);
    if facts.is_empty() && !round.asks {
        return 0;
    }
    let snapshot = cx.snapshot();
    let peers: Vec<SocketAddr> = snapshot
        .gateways
        .all()
        .iter()
        .filter(|g| g.instance != cx.settings.instance)
        .map(|g| g.addr)
        .collect();
    let chosen: Vec<SocketAddr> = peers.sample(&mut cx.rng.borrow_mut(), round.fanout).copied().collect();
    let mut sent = 0;
    for addr in chosen {
        sent += peer_link::send_facts(cx, socket, addr, facts.clone()).await;
    }
    sent
}

/// Hands this gateway's row to the control thread.
fn write_row(cx: &context::GatewayContext, own_row: &watch::Sender<Vec<u8>>) {
    let row = FactRow {
        written_at_ms: unix_ms(),
        facts: endpoint_facts::EndpointFacts::collect_for_table(cx),
    };
    match serde_json::to_vec(&row) {
        Ok(value) => {
            own_row.send_replace(value);
        }
        Err(e) => warn!(cx.log, "failed to encode facts about endpoints for the table"; "error" => %e),
    }
}

/// Merges a row of the table, and returns whether it contained news.
fn merge_row(cx: &context::GatewayContext, value: &[u8]) -> bool {
    match serde_json::from_slice::<FactRow>(value) {
        Ok(row) => {
            let elapsed = Duration::from_millis(unix_ms().saturating_sub(row.written_at_ms));
            let merged = row.facts.merge_into(cx, elapsed);
            debug!(cx.log, "read facts about endpoints from the table"; "crashes" => row.facts.crashes.crashes.len(), "news" => merged.learned);
            merged.learned
        }
        Err(e) => {
            warn!(cx.log, "failed to decode facts about endpoints from the table"; "error" => %e);
            false
        }
    }
}

fn unix_ms() -> u64 {
    // A clock before 1970 is treated as 1970, which makes all rows look new.
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
