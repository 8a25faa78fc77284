//! Counts of requests under way, exchanged between gateways as datagrams.
//!
//! A lost datagram is made good by the next one; a peer that is cut off ages out. No answer is waited for.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{debug, warn};
use sycamorestile_core::direct::confirmation;
use sycamorestile_table::boot_clock;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time;

use crate::context;
use crate::control;

/// Least time between two rounds.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two rounds; a peer counts as gone after 1.5 s of silence.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes a second that a gateway may send to its peers, from the target of 9 KB/s for all control.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// Time for which a read of the declarations is told: twice at least, since datagrams get lost.
const READ_REPEAT_TIME: Duration = Duration::from_secs(1);
/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// What a gateway tells its peers.
#[derive(Debug, Serialize, Deserialize)]
struct PeerMessage {
    /// Name of the sender's instance.
    instance: Arc<str>,
    /// Failure domain of the sender.
    failure_domain: Arc<str>,
    /// Requests under way by endpoint, sorted.
    #[serde(rename = "under_way")]
    in_flight: Vec<(Arc<str>, u32)>,
    /// The sender's own last read of the declarations, for some rounds after it.
    own_read: Option<confirmation::Confirmation>,
}

/// Sends and receives counts until the process ends.
pub(crate) async fn run(
    cx: Rc<context::GatewayContext>,
    socket: UdpSocket,
    peer_reads: mpsc::Sender<control::PeerRead>,
) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(&cx), Rc::clone(&socket), peer_reads));
    let mut interval = MIN_SEND_INTERVAL;
    let mut last_in_flight: Vec<(Arc<str>, u32)> = Vec::new();
    let mut last_read = None;
    let mut read_sent_for = Duration::ZERO;
    let mut unchanged = Duration::ZERO;
    loop {
        time::sleep(interval).await;
        let in_flight = cx.placement.borrow().own_in_flight();
        let own_read = cx.snapshot().own_read;
        if in_flight == last_in_flight && own_read == last_read && unchanged < MAX_SEND_INTERVAL {
            unchanged += interval;
            continue;
        }
        unchanged = Duration::ZERO;
        if own_read != last_read {
            read_sent_for = Duration::ZERO;
        }
        let read_to_send = own_read.filter(|_| read_sent_for < READ_REPEAT_TIME);
        read_sent_for += interval;
        interval = send_to_peers(&cx, &socket, &in_flight, read_to_send).await;
        last_in_flight = in_flight;
        last_read = own_read;
        let snapshot = cx.snapshot();
        let known = |id: &str| snapshot.endpoints.iter().any(|e| e.id.as_ref() == id);
        cx.placement.borrow_mut().retain_known(known, boot_clock::now());
        cx.pool.evict_idle(known);
    }
}

/// Tells all peers and gives back the time to wait until the next round.
async fn send_to_peers(
    cx: &context::GatewayContext,
    socket: &UdpSocket,
    in_flight: &[(Arc<str>, u32)],
    own_read: Option<confirmation::Confirmation>,
) -> Duration {
    let message = PeerMessage {
        instance: Arc::clone(&cx.settings.instance),
        failure_domain: Arc::clone(&cx.settings.failure_domain),
        in_flight: in_flight.to_vec(),
        own_read,
    };
    let datagram = match serde_json::to_vec(&message) {
        Ok(datagram) => datagram,
        Err(e) => {
            warn!(cx.log, "counts can't be written"; "error" => %e);
            return MAX_SEND_INTERVAL;
        }
    };
    let snapshot = cx.snapshot();
    let peers = snapshot.gateways.iter().filter(|g| g.instance != cx.settings.instance);
    let mut sent = 0_usize;
    for peer in peers {
        // A peer that can't be reached now hears the next round.
        if let Err(e) = socket.send_to(&datagram, peer.addr).await {
            debug!(cx.log, "counts not sent"; "peer" => peer.instance.as_ref(), "error" => %e);
        }
        sent += datagram.len();
    }
    Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND).clamp(MIN_SEND_INTERVAL, MAX_SEND_INTERVAL)
}

async fn receive(cx: Rc<context::GatewayContext>, socket: Rc<UdpSocket>, peer_reads: mpsc::Sender<control::PeerRead>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            Err(e) => {
                debug!(cx.log, "counts not received"; "error" => %e);
                time::sleep(MIN_SEND_INTERVAL).await;
                continue;
            }
        };
        match serde_json::from_slice::<PeerMessage>(buf.get(..len).unwrap_or_default()) {
            Ok(message) => {
                let now = boot_clock::now();
                let same_domain = message.failure_domain == cx.settings.failure_domain;
                if let Some(confirmation) = message.own_read.filter(|_| same_domain) {
                    let instance = Arc::clone(&message.instance);
                    // A full queue loses one of many; the next read is told as well.
                    let _taken = peer_reads.try_send(control::PeerRead { instance, confirmation });
                }
                cx.placement
                    .borrow_mut()
                    .record_peer_counts(&message.instance, message.in_flight, now);
            }
            Err(e) => warn!(cx.log, "a peer's counts can't be read"; "error" => %e),
        }
    }
}
