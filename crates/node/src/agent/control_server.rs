//! The agent's server for the control protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::{StreamExt, future};
use sycamorestile_core::agent_view;
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::incarnation;
use sycamorestile_wire::agent_control::{self, AgentControl};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};

use crate::agent::context;
use crate::error;

#[derive(Clone)]
struct Server {
    cx: Arc<context::AgentContext>,
}

impl AgentControl for Server {
    async fn cancel(
        self,
        _: Context,
        attempt: attempt_id::AttemptId,
        incarnation: incarnation::Incarnation,
    ) -> agent_control::CancelReply {
        if incarnation != self.cx.incarnation {
            return agent_control::CancelReply::Forgotten;
        }
        match self.cx.control.cancel(attempt).await {
            Some(attempt_queue::AttemptState::NeverBegan) => agent_control::CancelReply::NeverBegan,
            Some(
                attempt_queue::AttemptState::Waiting
                | attempt_queue::AttemptState::Running
                | attempt_queue::AttemptState::Ended,
            )
            | None => agent_control::CancelReply::Began,
        }
    }

    async fn drain(self, _: Context) -> Option<agent_view::AgentView> {
        self.cx.control.drain();
        self.cx.announce_now.notify_waiters();
        self.cx.control.view().await
    }

    async fn view(self, _: Context) -> Option<agent_view::AgentView> {
        self.cx.control.view().await
    }
}

/// Starts the server and returns its address.
///
/// # Errors
///
/// Returns [`error::StartError::Bind`] if the address cannot be bound.
pub(crate) async fn start(addr: SocketAddr, cx: Arc<context::AgentContext>) -> Result<SocketAddr, error::StartError> {
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
