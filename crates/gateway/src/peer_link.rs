//! The datagrams that gateways send each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slog::{debug, warn};
use sycamorestile_core::direct::confirmation;
use tokio::net::UdpSocket;

use crate::context;
use crate::endpoint_facts;
use crate::snapshot;

/// The content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PeerMessage {
    /// The name of the sender's instance.
    pub(crate) instance: Arc<str>,
    /// The failure domain of the sender.
    pub(crate) failure_domain: Arc<str>,
    /// The number of in-flight requests by endpoint, sorted by endpoint.
    #[serde(rename = "under_way")]
    pub(crate) in_flight: Vec<(Arc<str>, u32)>,
    /// The sender's own last read of the declarations, in some rounds after the read.
    pub(crate) own_read: Option<confirmation::Confirmation>,
    /// The sender's own last read of the endpoints, whose version is that of the newest change, in the same rounds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) own_endpoint_read: Option<confirmation::Confirmation>,
    /// Whether the sender has started lately and can't rely on its own reads yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_starting: bool,
    /// Whether the sender asks for the receiver's own reads.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) asks_reads: bool,
    /// What the sender knows about endpoints, in datagrams of the exchange of facts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) facts: Option<endpoint_facts::EndpointFacts>,
}

/// What a gateway itself has read of the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct OwnReads {
    /// The last read of the declarations.
    pub(crate) declarations: Option<confirmation::Confirmation>,
    /// The last read of the endpoints.
    pub(crate) endpoints: Option<confirmation::Confirmation>,
}

impl OwnReads {
    /// Returns the last reads in `snapshot`.
    pub(crate) fn of(snapshot: &snapshot::Snapshot) -> Self {
        Self {
            declarations: snapshot.own_read,
            endpoints: snapshot.own_endpoint_read,
        }
    }
}

/// Sends `facts` to the peer at `addr` and returns the number of bytes sent.
pub(crate) async fn send_facts(
    cx: &context::GatewayContext,
    socket: &UdpSocket,
    addr: SocketAddr,
    facts: endpoint_facts::EndpointFacts,
) -> usize {
    let in_flight = cx.placement.borrow().own_in_flight();
    match encode(cx, in_flight, OwnReads::default(), Some(facts)) {
        Some(datagram) => send_datagram(cx, socket, &datagram, addr).await,
        None => 0,
    }
}

/// Encodes a datagram. Returns `None` if that fails.
pub(crate) fn encode(
    cx: &context::GatewayContext,
    in_flight: Vec<(Arc<str>, u32)>,
    own_reads: OwnReads,
    facts: Option<endpoint_facts::EndpointFacts>,
) -> Option<Vec<u8>> {
    encode_message(cx, &message(cx, in_flight, own_reads, facts))
}

/// Encodes a datagram that asks the receiver for its own reads. Returns `None` if that fails.
pub(crate) fn encode_question(cx: &context::GatewayContext) -> Option<Vec<u8>> {
    let in_flight = cx.placement.borrow().own_in_flight();
    let question = PeerMessage {
        asks_reads: true,
        ..message(cx, in_flight, OwnReads::of(&cx.snapshot()), None)
    };
    encode_message(cx, &question)
}

fn message(
    cx: &context::GatewayContext,
    in_flight: Vec<(Arc<str>, u32)>,
    own_reads: OwnReads,
    facts: Option<endpoint_facts::EndpointFacts>,
) -> PeerMessage {
    PeerMessage {
        instance: Arc::clone(&cx.settings.instance),
        failure_domain: Arc::clone(&cx.settings.failure_domain),
        in_flight,
        own_read: own_reads.declarations,
        own_endpoint_read: own_reads.endpoints,
        is_starting: cx.snapshot().is_starting,
        asks_reads: false,
        facts,
    }
}

fn encode_message(cx: &context::GatewayContext, message: &PeerMessage) -> Option<Vec<u8>> {
    let encoded = serde_json::to_vec(message);
    encoded
        .inspect_err(|e| warn!(cx.log, "failed to encode the datagram for peers"; "error" => %e))
        .ok()
}

/// Sends a datagram and returns its length.
pub(crate) async fn send_datagram(
    cx: &context::GatewayContext,
    socket: &UdpSocket,
    datagram: &[u8],
    addr: SocketAddr,
) -> usize {
    // A peer that can't be reached gets the state with a later datagram.
    if let Err(e) = socket.send_to(datagram, addr).await {
        debug!(cx.log, "failed to send a datagram to a peer"; "peer" => %addr, "error" => %e);
    }
    datagram.len()
}
