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
pub(crate) struct PeerLinks {
    pub(crate) socket: UdpSocket,
    instance: Arc<str>,
    /// Other agents, and this one.
    peers: Vec<(Arc<str>, message::AgentLocation)>,
    /// Which agent comes first when a map is spread.
    rotation: usize,
    log: Logger,
}

impl PeerLinks {
    pub(crate) fn new(socket: UdpSocket, instance: Arc<str>, log: Logger) -> Self {
        Self {
            socket,
            instance,
            peers: Vec::new(),
            rotation: 0,
            log,
        }
    }

    /// Takes the row of an agent.
    pub(crate) fn update_peer(&mut self, row: &adapter::Row) {
        self.peers.retain(|(instance, _)| *instance != row.key);
        let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
        if let Some(location) = text.and_then(message::AgentLocation::parse) {
            // A new agent may come at the address of one that is gone.
            self.peers.retain(|(_, known)| known.agent != location.agent);
            self.peers.push((Arc::clone(&row.key), location));
        }
    }

    /// Where the agents and their ranks are.
    pub(crate) fn locations(&self) -> impl Iterator<Item = message::AgentLocation> {
        self.peers.iter().map(|(_, location)| *location)
    }

    /// The direct way to a rank that is reached through its agent.
    pub(crate) fn direct_route(&self, route: coordinator::RankRoute) -> coordinator::RankRoute {
        let coordinator::RankRoute::Agent(addr) = route else {
            return route;
        };
        let peer = self.locations().find(|l| l.agent == addr);
        peer.map_or(route, |l| coordinator::RankRoute::Rank(l.rank))
    }

    /// Sends `message` to all agents, this one among them.
    pub(crate) async fn send_to_all(&self, message: &message::Message) {
        for location in self.locations() {
            self.send(message, location.agent).await;
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
    pub(crate) async fn distribute_maps(&mut self, mut orders: Vec<(SocketAddr, rank_adapter::RankOrder)>) {
        let own = self.peers.iter().find(|(instance, _)| *instance == self.instance);
        let Some(own) = own.map(|(_, location)| location.agent) else {
            return;
        };
        // Another agent comes first each time, since the first one may be the one that is lost.
        let rotation = orders.len().min(self.rotation);
        orders.rotate_left(rotation);
        self.rotation = (self.rotation + 1) % orders.len().max(1);
        for batch in orders.chunks(orders.len().isqrt().max(1)) {
            let Some(((first, order), rest)) = batch.split_first() else {
                continue;
            };
            let forwarded = message::ForwardedOrder {
                order: order.clone(),
                others: rest.iter().map(|(addr, order)| (*addr, order.pending)).collect(),
                coordinator: own,
            };
            self.send(&message::Message::Forward(Box::new(forwarded)), *first).await;
        }
    }
}
