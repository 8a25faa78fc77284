//! The entry's server for the control protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::{StreamExt, future};
use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::digest;
use sycamorestile_core::direct::crash_facts;
use sycamorestile_core::packed;
use sycamorestile_wire::entry_control::EntryControl;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};

use crate::entry::context;
use crate::error;

#[derive(Clone)]
struct Server {
    cx: Arc<context::EntryContext>,
}

impl EntryControl for Server {
    async fn announce(
        self,
        _: Context,
        view: packed::Packed<agent_view::AgentView>,
    ) -> Option<announce_reply::AnnounceReply> {
        self.cx.control.announce(view.0).await
    }

    async fn exchange(self, _: Context, digest: digest::Digest) -> Option<digest::DigestReply> {
        self.cx.control.reply_to_digest(digest).await
    }

    async fn exchange_crashes(self, _: Context, facts: crash_facts::CrashFacts) -> crash_facts::CrashFacts {
        self.cx.merge_crashes(&facts);
        self.cx.crash_facts()
    }
}

/// Starts the server and returns its address.
///
/// # Errors
///
/// Returns [`error::StartError::Bind`] if the address cannot be bound.
pub(crate) async fn start(addr: SocketAddr, cx: Arc<context::EntryContext>) -> Result<SocketAddr, error::StartError> {
    let format = tarpc::tokio_serde::formats::Bincode::default;
    let listen_result = tarpc::serde_transport::tcp::listen(addr, format).await;
    let listener = listen_result.map_err(|source| error::StartError::Bind {
        what: "control",
        addr,
        source,
    })?;
    let local_addr = listener.local_addr();
    tokio::spawn(async move {
        let connections = listener.filter_map(|connection| future::ready(connection.ok()));
        let served = connections.map(BaseChannel::with_defaults).for_each(|channel| {
            let server = Server { cx: Arc::clone(&cx) };
            tokio::spawn(channel.execute(server.serve()).for_each(|response| async {
                tokio::spawn(response);
            }));
            future::ready(())
        });
        served.await;
    });
    Ok(local_addr)
}
