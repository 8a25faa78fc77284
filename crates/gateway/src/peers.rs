//! Exchange of the numbers of in-flight requests between gateways, as UDP datagrams.
//!
//! Each datagram carries the complete state of its sender, so a lost one is replaced by the next. The counts of a peer
//! that can't be reached expire. Datagrams are not acknowledged.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, warn};
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
const MAX_DATAGRAM_BYTES: usize = 32 << 10;

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
        let own_reads = peer_link::OwnReads {
            declarations: snapshot.own_read,
            endpoints: snapshot.own_endpoint_read,
        };
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
                let same_domain = message.failure_domain == cx.settings.failure_domain;
                let has_read = message.own_read.is_some() || message.own_endpoint_read.is_some();
                if same_domain && has_read {
                    // A read that is lost to a full queue is replaced by the next one.
                    let _queued = peer_reads.try_send(peer_read::PeerRead {
                        instance: Arc::clone(&message.instance),
                        declarations: message.own_read,
                        endpoints: message.own_endpoint_read,
                    });
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
