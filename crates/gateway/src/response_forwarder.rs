//! Forwards a response that there is no room to read completely, at the pace of its caller.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sycamorestile_core::direct::endpoint;
use sycamorestile_table::boot_clock;
use tokio::sync::mpsc;
use tokio::time;

use crate::context;
use crate::crash_watch;
use crate::endpoint_slot;
use crate::header_adapter;
use crate::pool;
use crate::receive;
use crate::request;
use crate::response_account;
use crate::response_body;

/// The time for which an endpoint may send nothing after the deadline. A caller that reads slowly takes longer than that for all.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// The largest number of blocks that are queued for the caller.
const QUEUE_CAPACITY: usize = 1;

/// Starts a task that forwards the rest of the response, and returns the response for the caller.
pub(crate) fn start(
    cx: &Rc<context::GatewayContext>,
    req_cx: request::RequestContext,
    open: receive::OpenResponse,
) -> Response<response_body::ResponseBody> {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let headers = open.parts.headers.clone();
    let status = open.parts.status.as_u16();
    cx.metrics.record_open_response();
    let forwarder = ResponseForwarder {
        cx: Rc::clone(cx),
        req_cx,
        status,
        len: open.blocks.iter().map(response_account::Block::len).sum(),
        body: open.body,
        _share: open.share,
        ends_with_connection: open.ends_with_connection,
        tx,
    };
    tokio::task::spawn_local(forwarder.run(open.slot, open.lease, headers, open.head));
    receive::caller_response(open.parts, response_body::ResponseBody::blocks(open.blocks, Some(rx)))
}

/// The reason why a response ended.
enum ResponseEnd {
    Complete,
    /// The endpoint broke it off, or went silent.
    Broken(&'static str),
    CallerDisconnected,
    /// The instance is about to be killed.
    InstanceEnds,
}

/// The task that forwards one response.
struct ResponseForwarder {
    cx: Rc<context::GatewayContext>,
    req_cx: request::RequestContext,
    status: u16,
    /// The number of bytes that were read.
    len: usize,
    body: Incoming,
    _share: response_account::Share,
    /// Whether the end of the connection is the only sign of the end of the response.
    ends_with_connection: bool,
    tx: mpsc::Sender<Result<response_account::Block, response_body::StreamAborted>>,
}

impl ResponseForwarder {
    /// Forwards the response until it ends, and records its end in metrics and the log.
    async fn run(
        mut self,
        slot: endpoint_slot::EndpointSlot,
        lease: pool::Lease,
        headers: HeaderMap,
        head: header_adapter::ResponseHead,
    ) {
        let endpoint = Arc::clone(&slot.endpoint);
        let mut end = self.forward(&lease).await;
        if matches!(end, ResponseEnd::Complete)
            && self.ends_with_connection
            && pool::Pool::refuses_connections(&endpoint).await
        {
            end = ResponseEnd::Broken("endpoint crashed");
        }
        let reason = match end {
            ResponseEnd::Complete => {
                let now = boot_clock::now();
                self.cx
                    .placement
                    .borrow_mut()
                    .record_success(&endpoint.id, head.load, now);
                crash_watch::record_proof(&self.cx, &self.req_cx.call);
                receive::release_connection(lease, &headers, &head);
                "answered"
            }
            ResponseEnd::Broken(why) => {
                drop(lease);
                self.record_broken(&endpoint, why).await;
                self.abort().await;
                "broke off"
            }
            ResponseEnd::CallerDisconnected => "caller left",
            ResponseEnd::InstanceEnds => {
                self.abort().await;
                "instance stopped"
            }
        };
        let took = boot_clock::now().since(self.req_cx.call.started);
        self.cx.metrics.record_outcome(self.status, reason);
        self.cx
            .metrics
            .observe_whole(self.req_cx.call.organisation(), self.req_cx.call.kind(), took);
        request::log_finished(&self.cx, &self.req_cx, self.status, reason, took);
    }

    /// Forwards blocks until the body ends.
    async fn forward(&mut self, lease: &pool::Lease) -> ResponseEnd {
        let cx = Rc::clone(&self.cx);
        let mut ending = std::pin::pin!(cx.ending());
        loop {
            // The next block is read when there is room for it in the queue, so that a slow caller slows the endpoint.
            let room = tokio::select! {
                room = self.tx.reserve() => room,
                () = ending.as_mut() => return ResponseEnd::InstanceEnds,
            };
            let Ok(room) = room else {
                return ResponseEnd::CallerDisconnected;
            };
            let silence = self.req_cx.call.deadline.since(boot_clock::now()).max(MAX_SILENCE);
            let next = tokio::select! {
                next = time::timeout(silence, self.body.frame()) => next,
                () = self.tx.closed() => return ResponseEnd::CallerDisconnected,
                () = ending.as_mut() => return ResponseEnd::InstanceEnds,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return ResponseEnd::Complete,
                Ok(Some(Err(_))) => return ResponseEnd::Broken("answer broke off"),
                Err(_) => return ResponseEnd::Broken("no answer in time"),
            };
            lease.renew_read_limit();
            let Ok(data) = frame.into_data() else { continue };
            self.len += data.len();
            if self.len > receive::MAX_RESPONSE_BYTES {
                return ResponseEnd::Broken("answer too long");
            }
            room.send(Ok(response_account::Block::covered(data)));
        }
    }

    /// Records that `endpoint` broke the response off.
    async fn record_broken(&mut self, endpoint: &Arc<endpoint::Endpoint>, why: &'static str) {
        let now = boot_clock::now();
        self.cx.placement.borrow_mut().record_failure(&endpoint.id, now);
        let next = self.req_cx.attempts.lost();
        self.req_cx
            .examine_broken_response(&self.cx, endpoint, crash_watch::Progress::default())
            .await;
        self.req_cx.attempt_failed(&self.cx, why, next);
    }

    /// Closes the caller's connection in a way that shows that the response is incomplete.
    async fn abort(&self) {
        // Sending fails only if the caller has already disconnected.
        let _sent = self.tx.send(Err(response_body::StreamAborted)).await;
    }
}
