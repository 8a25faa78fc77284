//! An entry's client for one agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use sycamorestile_core::attempt_id;
use sycamorestile_core::frame_order;
use sycamorestile_core::incarnation;
use sycamorestile_core::membership;
use sycamorestile_wire::agent_control;
use sycamorestile_wire::attempt_request;
use sycamorestile_wire::codec;
use sycamorestile_wire::frame;
use tokio::time;

use crate::http_client;

/// Time without data from an agent after which a connection is closed. Several heartbeat intervals long.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a control call. Short, since a caller is waiting for the outcome.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(300);

/// Addresses and incarnation of an agent process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgentClient {
    pub(crate) calls: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) incarnation: incarnation::Incarnation,
}

/// Stream of frames received over one connection.
#[derive(Debug)]
pub(crate) struct FrameStream {
    body: Incoming,
    reader: codec::FrameReader,
}

/// Result of reading from a frame stream.
#[derive(Debug)]
pub(crate) enum Received {
    /// Complete frames; empty if the data received so far ends within the first one.
    Frames(Vec<frame::Frame>),
    /// The connection was closed, broke or carried invalid data.
    Broken,
    /// No data was received in time.
    TimedOut,
}

impl FrameStream {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            reader: codec::FrameReader::default(),
        }
    }

    /// Waits up to `timeout` for data and returns the frames that it completes.
    pub(crate) async fn receive(&mut self, timeout: Duration) -> Received {
        let frame = match time::timeout(timeout, self.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None | Some(Err(_))) => return Received::Broken,
            Err(_) => return Received::TimedOut,
        };
        let mut frames = Vec::new();
        let decoded = frame
            .data_ref()
            .map_or(Ok(()), |data| self.reader.feed(data, &mut frames));
        if decoded.is_err() {
            Received::Broken
        } else {
            Received::Frames(frames)
        }
    }
}

impl AgentClient {
    pub(crate) fn for_member(member: &membership::Member) -> Self {
        Self {
            calls: member.view.calls,
            control: member.view.control,
            incarnation: member.view.incarnation,
        }
    }

    /// Sends an attempt and returns the stream of its frames.
    pub(crate) async fn start(
        &self,
        req: &attempt_request::AttemptRequest,
    ) -> Result<FrameStream, http_client::ExchangeError> {
        let not_sent = || http_client::ExchangeError::NotSent { addr: self.calls };
        let body = codec::encode(req).ok().ok_or_else(not_sent)?;
        let builder = Request::post("/attempts").header(http::header::HOST, self.calls.to_string());
        let request = builder.body(Full::new(Bytes::from(body))).ok().ok_or_else(not_sent)?;
        let response = http_client::send(self.calls, request, SILENCE_TIMEOUT).await?;
        Ok(FrameStream::new(response.into_body()))
    }

    /// Requests an attempt's frames from a position on, over a new connection.
    pub(crate) async fn resume(
        &self,
        attempt: attempt_id::AttemptId,
        from: frame_order::FrameSeq,
    ) -> Result<FrameStream, http_client::ExchangeError> {
        let path = format!("/attempts/{attempt}/{}/{}", self.incarnation, from.0);
        let builder = Request::get(path).header(http::header::HOST, self.calls.to_string());
        let not_sent = |_| http_client::ExchangeError::NotSent { addr: self.calls };
        let request = builder.body(Full::new(Bytes::new())).map_err(not_sent)?;
        let response = http_client::send(self.calls, request, SILENCE_TIMEOUT).await?;
        Ok(FrameStream::new(response.into_body()))
    }

    /// Cancels an attempt unless it has begun. Returns `None` if the agent does not reply.
    pub(crate) async fn cancel(&self, attempt: attempt_id::AttemptId) -> Option<agent_control::CancelReply> {
        let client = self.control_client().await?;
        let reply = client.cancel(tarpc::context::current(), attempt, self.incarnation);
        time::timeout(CONTROL_TIMEOUT, reply).await.ok()?.ok()
    }

    /// Starts draining the agent and returns the number of its running attempts. Returns `None` if the agent does not
    /// reply.
    pub(crate) async fn drain(&self) -> Option<u32> {
        let client = self.control_client().await?;
        let reply = client.drain(tarpc::context::current());
        let view = time::timeout(CONTROL_TIMEOUT, reply).await.ok()?.ok()??;
        Some(view.load.running)
    }

    async fn control_client(&self) -> Option<agent_control::AgentControlClient> {
        let format = tarpc::tokio_serde::formats::Bincode::default;
        let connecting = tarpc::serde_transport::tcp::connect(self.control, format);
        let transport = time::timeout(CONTROL_TIMEOUT, connecting).await.ok()?.ok()?;
        Some(agent_control::AgentControlClient::new(tarpc::client::Config::default(), transport).spawn())
    }
}
