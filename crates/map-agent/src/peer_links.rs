//! Datagram links to other agents.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{Logger, warn};
use sycamorestile_table::{adapter, rank_row};
use tokio::net::UdpSocket;

use crate::coordinator;
use crate::message;
use crate::rank_adapter;

/// Addresses of all agents and the socket through which messages are sent to them.
pub(crate) struct PeerLinks {
    pub(crate) socket: UdpSocket,
    instance: Arc<str>,
    /// All agents, this one included, by instance.
    peers: Vec<(Arc<str>, rank_row::RankRow)>,
    /// Offset into the list of orders from which the next map is distributed.
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

    /// Applies an agent's row of the table.
    pub(crate) fn update_peer(&mut self, row: &adapter::Row) {
        self.peers.retain(|(instance, _)| *instance != row.key);
        let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
        if let Some(location) = text.and_then(rank_row::RankRow::parse) {
            // A new agent may reuse the address of one that no longer exists.
            self.peers.retain(|(_, known)| known.agent != location.agent);
            self.peers.push((Arc::clone(&row.key), location));
        }
    }

    /// Returns the locations of all agents and their ranks.
    pub(crate) fn locations(&self) -> impl Iterator<Item = rank_row::RankRow> {
        self.peers.iter().map(|(_, location)| *location)
    }

    /// Returns the direct route to a rank that is reached through its agent, if the agent's location is known.
    /// Otherwise returns `route` itself.
    pub(crate) fn direct_route(&self, route: coordinator::RankRoute) -> coordinator::RankRoute {
        let coordinator::RankRoute::Agent(addr) = route else {
            return route;
        };
        let peer = self.locations().find(|l| l.agent == addr);
        peer.map_or(route, |l| coordinator::RankRoute::Rank(l.rank))
    }

    /// Sends `message` to all agents, this one included.
    pub(crate) async fn send_to_all(&self, message: &message::Message) {
        for location in self.locations() {
            self.send(message, location.agent).await;
        }
    }

    /// Sends `message` to one agent.
    pub(crate) async fn send(&self, message: &message::Message, to: SocketAddr) {
        match postcard::to_stdvec(message) {
            Ok(datagram) => {
                // Not retried: the coordinator requests a missing status again and resends an order without effect.
                if let Err(e) = self.socket.send_to(&datagram, to).await {
                    warn!(self.log, "failed to send a datagram"; "to" => %to, "error" => %e);
                }
            }
            Err(e) => warn!(self.log, "failed to encode a datagram"; "error" => %e),
        }
    }

    /// Sends orders that carry a map to a few agents, each of which forwards them to some of the others.
    pub(crate) async fn distribute_maps(&mut self, mut orders: Vec<(SocketAddr, rank_adapter::RankOrder)>) {
        let own = self.peers.iter().find(|(instance, _)| *instance == self.instance);
        let Some(own) = own.map(|(_, location)| location.agent) else {
            return;
        };
        // Each time, other agents are chosen to forward the orders, since a chosen one may be unreachable.
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
