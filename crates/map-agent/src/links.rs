//! Datagrams to other agents.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{Logger, warn};
use sycamorestile_table::adapter;
use tokio::net::UdpSocket;

use crate::coordinator;
use crate::message;
use crate::rank_adapter;

/// Other agents and the socket to them.
pub(crate) struct Links {
    pub(crate) socket: UdpSocket,
    instance: Arc<str>,
    /// Other agents, and this one.
    peers: Vec<(Arc<str>, message::Whereabouts)>,
    /// Which agent comes first when a map is spread.
    turn: usize,
    log: Logger,
}

impl Links {
    pub(crate) fn new(socket: UdpSocket, instance: Arc<str>, log: Logger) -> Self {
        Self {
            socket,
            instance,
            peers: Vec::new(),
            turn: 0,
            log,
        }
    }

    /// Takes the row of an agent.
    pub(crate) fn learn(&mut self, row: &adapter::Row) {
        self.peers.retain(|(instance, _)| *instance != row.key);
        let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
        if let Some(found) = text.and_then(message::Whereabouts::parse) {
            // A new agent may come at the address of one that is gone.
            self.peers.retain(|(_, known)| known.agent != found.agent);
            self.peers.push((Arc::clone(&row.key), found));
        }
    }

    /// Where the agents and their ranks are.
    pub(crate) fn whereabouts(&self) -> impl Iterator<Item = message::Whereabouts> {
        self.peers.iter().map(|(_, whereabouts)| *whereabouts)
    }

    /// The direct way to a rank that is reached through its agent.
    pub(crate) fn direct(&self, via: coordinator::Via) -> coordinator::Via {
        let coordinator::Via::Agent(addr) = via else { return via };
        let peer = self.whereabouts().find(|w| w.agent == addr);
        peer.map_or(via, |w| coordinator::Via::Rank(w.rank))
    }

    /// Sends `message` to all agents, this one among them.
    pub(crate) async fn send_to_all(&self, message: &message::Message) {
        for whereabouts in self.whereabouts() {
            self.send(message, whereabouts.agent).await;
        }
    }

    /// Sends `message` to one agent.
    pub(crate) async fn send(&self, message: &message::Message, to: SocketAddr) {
        match postcard::to_stdvec(message) {
            Ok(datagram) => {
                // What is lost is asked for or ordered again.
                if let Err(e) = self.socket.send_to(&datagram, to).await {
                    warn!(self.log, "datagram not sent"; "to" => %to, "error" => %e);
                }
            }
            Err(e) => warn!(self.log, "datagram can't be written"; "error" => %e),
        }
    }

    /// Gives orders that carry a map through a few agents, each of which hands them on to some others.
    pub(crate) async fn spread(&mut self, mut orders: Vec<(SocketAddr, rank_adapter::RankOrder)>) {
        let own = self.peers.iter().find(|(instance, _)| *instance == self.instance);
        let Some(own) = own.map(|(_, whereabouts)| whereabouts.agent) else {
            return;
        };
        // Another agent comes first each time, since the first one may be the one that is lost.
        let turn = orders.len().min(self.turn);
        orders.rotate_left(turn);
        self.turn = (self.turn + 1) % orders.len().max(1);
        for part in orders.chunks(orders.len().isqrt().max(1)) {
            let Some(((first, order), rest)) = part.split_first() else {
                continue;
            };
            let relay = message::Relay {
                order: order.clone(),
                others: rest.iter().map(|(addr, order)| (*addr, order.pending)).collect(),
                coordinator: own,
            };
            self.send(&message::Message::Relay(Box::new(relay)), *first).await;
        }
    }
}
