//! Exchange of the numbers of in-flight requests between gateways, as UDP datagrams.
//!
//! Each datagram carries the complete state of its sender, so a lost one is replaced by the next. The counts of a peer
//! that can't be reached expire. Datagrams are not acknowledged.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use slog::{debug, warn};
use sycamorestile_core::direct::accepted_versions;
use sycamorestile_table::boot_clock;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use tokio::time;

use crate::context;
use crate::fact_exchange;
use crate::peer_link;
use crate::peer_read;
use crate::withdrawal;

/// The shortest time between two rounds of datagrams.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time between two rounds of datagrams. A peer counts as gone after 1.5 s without one.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(500);
/// The rate at which a gateway may send to its peers. It is part of the target of 9 KB/s for all control traffic.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// The number of rounds in which a read of the table is sent, since datagrams can get lost.
const READ_ROUNDS: u32 = 3;
/// The largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 48 << 10;

/// Sends and receives datagrams until the process exits, and removes the state of endpoints that no longer exist.
pub(crate) async fn run(
    cx: Rc<context::GatewayContext>,
    socket: Rc<UdpSocket>,
    peer_reads: mpsc::Sender<peer_read::PeerRead>,
    read_news: Arc<Notify>,
) {
    tokio::task::spawn_local(receive(Rc::clone(&cx), Rc::clone(&socket), peer_reads));
    let mut interval = MIN_SEND_INTERVAL;
    let mut last_in_flight: Vec<(Arc<str>, u32)> = Vec::new();
    let mut last_reads = peer_link::OwnReads::default();
    let mut read_rounds = 0;
    let mut unchanged = Duration::ZERO;
    loop {
        let has_news = tokio::select! {
            () = time::sleep(interval) => false,
            () = read_news.notified() => true,
        };
        let in_flight = cx.placement.borrow().own_in_flight();
        let snapshot = cx.snapshot();
        if snapshot.asks_until.is_some_and(|until| boot_clock::now() < until) {
            ask_peers(&cx, &socket).await;
        }
        let own_reads = peer_link::OwnReads::of(&snapshot);
        let is_unchanged = in_flight == last_in_flight && own_reads == last_reads;
        if is_unchanged && !has_news && unchanged < MAX_SEND_INTERVAL {
            unchanged += interval;
            continue;
        }
        unchanged = Duration::ZERO;
        if own_reads != last_reads {
            read_rounds = 0;
        }
        let reads_to_send = if read_rounds < READ_ROUNDS {
            own_reads
        } else {
            peer_link::OwnReads::default()
        };
        read_rounds += 1;
        interval = send_to_peers(&cx, &socket, &in_flight, reads_to_send).await;
        last_in_flight = in_flight;
        last_reads = own_reads;
        let known = |id: &str| snapshot.lists_endpoint(id);
        cx.placement.borrow_mut().retain_known(known, boot_clock::now());
        cx.pool.evict_idle(known);
        withdrawal::refresh(&cx, boot_clock::now());
    }
}

/// Sends a datagram to every peer and returns the time to wait until the next round.
async fn send_to_peers(
    cx: &context::GatewayContext,
    socket: &UdpSocket,
    in_flight: &[(Arc<str>, u32)],
    own_reads: peer_link::OwnReads,
) -> Duration {
    let Some(datagram) = peer_link::encode(cx, in_flight.to_vec(), own_reads, None) else {
        return MAX_SEND_INTERVAL;
    };
    let snapshot = cx.snapshot();
    let peers = snapshot
        .gateways
        .all()
        .iter()
        .filter(|g| g.instance != cx.settings.instance);
    let mut sent = 0_usize;
    for peer in peers {
        sent += peer_link::send_datagram(cx, socket, &datagram, peer.addr).await;
    }
    Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND).clamp(MIN_SEND_INTERVAL, MAX_SEND_INTERVAL)
}

/// Asks a few random peers for their own reads.
async fn ask_peers(cx: &context::GatewayContext, socket: &UdpSocket) {
    let Some(question) = peer_link::encode_question(cx) else {
        return;
    };
    let snapshot = cx.snapshot();
    let others = snapshot
        .gateways
        .all()
        .iter()
        .filter(|g| g.instance != cx.settings.instance);
    let addrs: Vec<SocketAddr> = others.map(|g| g.addr).collect();
    let chosen: Vec<SocketAddr> = addrs
        .sample(&mut cx.rng.borrow_mut(), accepted_versions::ASKED_PEERS)
        .copied()
        .collect();
    for addr in chosen {
        peer_link::send_datagram(cx, socket, &question, addr).await;
    }
}

/// Sends this gateway's own reads to the peer at `addr`, which has asked for them.
async fn answer_question(cx: &context::GatewayContext, socket: &UdpSocket, addr: SocketAddr) {
    let in_flight = cx.placement.borrow().own_in_flight();
    let own_reads = peer_link::OwnReads::of(&cx.snapshot());
    if let Some(answer) = peer_link::encode(cx, in_flight, own_reads, None) {
        peer_link::send_datagram(cx, socket, &answer, addr).await;
    }
}

/// Returns what a peer's datagram tells, if the control thread needs it.
fn peer_read(cx: &context::GatewayContext, message: &peer_link::PeerMessage) -> Option<peer_read::PeerRead> {
    let snapshot = cx.snapshot();
    let same_domain = message.failure_domain == cx.settings.failure_domain;
    let in_force = snapshot.declared.as_ref().map(|declared| declared.version);
    let accepted = message.own_read.map(|read| accepted_versions::Told {
        version: read.version,
        is_starting: message.is_starting,
    });
    let accepted = accepted.filter(|told| snapshot.is_starting || Some(told.version) > in_force);
    let read = peer_read::PeerRead {
        instance: Arc::clone(&message.instance),
        accepted,
        declarations: message.own_read.filter(|_| same_domain),
        endpoints: message.own_endpoint_read.filter(|_| same_domain),
    };
    let is_needed = read.accepted.is_some() || read.declarations.is_some() || read.endpoints.is_some();
    is_needed.then_some(read)
}

/// Receives the datagrams of peers until the process exits.
async fn receive(
    cx: Rc<context::GatewayContext>,
    socket: Rc<UdpSocket>,
    peer_reads: mpsc::Sender<peer_read::PeerRead>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                debug!(cx.log, "failed to receive a datagram"; "error" => %e);
                time::sleep(MIN_SEND_INTERVAL).await;
                continue;
            }
        };
        match serde_json::from_slice::<peer_link::PeerMessage>(buf.get(..len).unwrap_or_default()) {
            Ok(message) => {
                let now = boot_clock::now();
                if let Some(read) = peer_read(&cx, &message) {
                    // A read that is lost to a full queue is replaced by the next one.
                    let _queued = peer_reads.try_send(read);
                }
                if message.asks_reads {
                    answer_question(&cx, &socket, from).await;
                }
                cx.placement
                    .borrow_mut()
                    .record_peer_counts(&message.instance, message.in_flight, now);
                if let Some(facts) = message.facts {
                    fact_exchange::receive(&cx, &socket, &facts, from).await;
                }
            }
            Err(e) => warn!(cx.log, "failed to decode a peer's datagram"; "error" => %e),
        }
    }
}
