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

use crate::control;
use crate::cx;

/// Least time between two rounds.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two rounds; a peer counts as gone after 1.5 s of silence.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes a second that a gateway may send to its peers, from the target of 9 KB/s for all control.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// Time for which a read of the declarations is told: twice at least, since datagrams get lost.
const TELL_READ_FOR: Duration = Duration::from_secs(1);
/// Largest datagram that is read.
const MAX_DATAGRAM: usize = 8 << 10;

/// What a gateway tells its peers.
#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    /// Name of the sender's instance.
    instance: Arc<str>,
    /// Failure domain of the sender.
    failure_domain: Arc<str>,
    /// Requests under way by endpoint, sorted.
    under_way: Vec<(Arc<str>, u32)>,
    /// The sender's own last read of the declarations, for some rounds after it.
    own_read: Option<confirmation::Confirmation>,
}

/// Sends and receives counts until the process ends.
pub(crate) async fn run(cx: Rc<cx::Cx>, socket: UdpSocket, told: mpsc::Sender<control::PeerRead>) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(listen(Rc::clone(&cx), Rc::clone(&socket), told));
    let mut interval = MIN_INTERVAL;
    let mut last: Vec<(Arc<str>, u32)> = Vec::new();
    let mut last_read = None;
    let mut read_told = Duration::ZERO;
    let mut unchanged = Duration::ZERO;
    loop {
        time::sleep(interval).await;
        let under_way = cx.placement.borrow().own_in_flight();
        let own_read = cx.snapshot().own_read;
        if under_way == last && own_read == last_read && unchanged < MAX_INTERVAL {
            unchanged += interval;
            continue;
        }
        unchanged = Duration::ZERO;
        if own_read != last_read {
            read_told = Duration::ZERO;
        }
        let news = own_read.filter(|_| read_told < TELL_READ_FOR);
        read_told += interval;
        interval = tell(&cx, &socket, &under_way, news).await;
        last = under_way;
        last_read = own_read;
        let snapshot = cx.snapshot();
        let known = |id: &str| snapshot.endpoints.iter().any(|e| e.id.as_ref() == id);
        cx.placement.borrow_mut().retain_known(known, boot_clock::now());
        cx.pool.tidy(known);
    }
}

/// Tells all peers and gives back the time to wait until the next round.
async fn tell(
    cx: &cx::Cx,
    socket: &UdpSocket,
    under_way: &[(Arc<str>, u32)],
    own_read: Option<confirmation::Confirmation>,
) -> Duration {
    let counts = Counts {
        instance: Arc::clone(&cx.settings.instance),
        failure_domain: Arc::clone(&cx.settings.failure_domain),
        under_way: under_way.to_vec(),
        own_read,
    };
    let datagram = match serde_json::to_vec(&counts) {
        Ok(datagram) => datagram,
        Err(e) => {
            warn!(cx.log, "counts can't be written"; "error" => %e);
            return MAX_INTERVAL;
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
    Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

async fn listen(cx: Rc<cx::Cx>, socket: Rc<UdpSocket>, told: mpsc::Sender<control::PeerRead>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            Err(e) => {
                debug!(cx.log, "counts not received"; "error" => %e);
                time::sleep(MIN_INTERVAL).await;
                continue;
            }
        };
        match serde_json::from_slice::<Counts>(buf.get(..len).unwrap_or_default()) {
            Ok(counts) => {
                let now = boot_clock::now();
                let near = counts.failure_domain == cx.settings.failure_domain;
                if let Some(confirmation) = counts.own_read.filter(|_| near) {
                    let instance = Arc::clone(&counts.instance);
                    // A full queue loses one of many; the next read is told as well.
                    let _taken = told.try_send(control::PeerRead { instance, confirmation });
                }
                cx.placement
                    .borrow_mut()
                    .record_peer_counts(&counts.instance, counts.under_way, now);
            }
            Err(e) => warn!(cx.log, "a peer's counts can't be read"; "error" => %e),
        }
    }
}
