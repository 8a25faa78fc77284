//! Attempts that have gone silent, and are kept until another one has taken the request over.
//!
//! An endpoint that is silent may only be slow, and the next one may refuse the request, fail or go silent too. An attempt is
//! therefore given up when another one has begun to answer, and not when another one is made.

use std::future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::{Response, header};
use hyper::body::Incoming;
use sycamorestile_core::direct::{endpoint, event_buffer, response_class};
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::call;
use crate::context;
use crate::crash_watch;
use crate::endpoint_slot;
use crate::endpoint_stream::{self, EndpointStream};
use crate::pool;
use crate::receive;
use crate::response_body;

/// The interval at which a stream that has just begun is checked for a stalled endpoint.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The interval at which endpoints of silent attempts are checked when no other endpoint is asked.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why an endpoint that was asked to go on with a stream can't.
pub(crate) const NO_CONTINUATION: &str = "endpoint answered something else than the rest of the stream";

/// A stream that goes on.
pub(crate) struct BegunStream {
    pub(crate) stream: EndpointStream,
    /// The state before what was read ahead.
    pub(crate) position: event_buffer::EventBuffer,
}

/// A response that goes on, or is complete.
pub(crate) enum Begun {
    Stream(Box<BegunStream>),
    Response(Box<Response<response_body::ResponseBody>>),
    OpenResponse(Box<receive::OpenResponse>),
}

/// An attempt that ended without a response.
pub(crate) struct Lost {
    pub(crate) why: &'static str,
    pub(crate) endpoint: Arc<endpoint::Endpoint>,
    /// Present if the connection broke, which may be a crash of the endpoint.
    pub(crate) broken: Option<crash_watch::Progress>,
}

/// An attempt whose response is waited for.
pub(crate) struct WaitingAttempt {
    endpoint: Arc<endpoint::Endpoint>,
    response: Pin<Box<dyn Future<Output = Result<Begun, Lost>>>>,
    /// Until then, only the other attempts are waited for.
    held: Option<Pin<Box<time::Sleep>>>,
}

/// What a request without a response needs.
pub(crate) struct SentRequest<F> {
    pub(crate) call: Rc<call::Call>,
    pub(crate) lease: pool::Lease,
    pub(crate) slot: endpoint_slot::EndpointSlot,
    pub(crate) position: event_buffer::EventBuffer,
    pub(crate) sending: Pin<Box<F>>,
}

impl WaitingAttempt {
    /// Keeps an attempt that has no response yet.
    pub(crate) fn head<F, E>(cx: &Rc<context::GatewayContext>, sent: SentRequest<F>) -> Self
    where
        F: Future<Output = Result<Response<Incoming>, E>> + 'static,
        E: 'static,
    {
        sent.slot.set_counted(false);
        Self {
            endpoint: Arc::clone(&sent.slot.endpoint),
            response: Box::pin(wait_for_response(Rc::clone(cx), sent)),
            held: None,
        }
    }

    /// Keeps a stream until `deadline`. For as long as `held`, what it sends doesn't count, so that another endpoint has time
    /// to take it over.
    pub(crate) fn stream(
        stream: EndpointStream,
        position: event_buffer::EventBuffer,
        deadline: Time,
        held: Option<Duration>,
    ) -> Self {
        let endpoint = Arc::clone(&stream.slot.endpoint);
        stream.slot.set_counted(false);
        let silent = SilentStream {
            stream,
            buffer: position.clone(),
            position,
            accepts_end: true,
        };
        Self {
            endpoint,
            response: Box::pin(silent.wait(deadline)),
            held: held.map(|held| Box::pin(time::sleep(held))),
        }
    }
}

/// What became of a stream that has just begun while other attempts wait.
pub(crate) enum Race {
    /// It goes on.
    Begun(Box<BegunStream>),
    /// One of the others goes on.
    Other(Begun),
    Lost(Lost),
    /// It has gone silent too, and waits with the others.
    Silent,
}

/// The attempts of one request that have gone silent.
#[derive(Default)]
pub(crate) struct Waiting {
    attempts: Vec<WaitingAttempt>,
    /// Those that have ended, until they are taken.
    lost: Vec<Lost>,
}

impl Waiting {
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(crate) fn push(&mut self, attempt: WaitingAttempt) {
        self.attempts.push(attempt);
    }

    /// Returns the attempts that have ended without a response.
    pub(crate) fn take_lost(&mut self) -> Vec<Lost> {
        std::mem::take(&mut self.lost)
    }

    /// Waits until one of the attempts goes on. Does not return while none does.
    pub(crate) async fn next(&mut self) -> Begun {
        future::poll_fn(|task| self.poll(task)).await
    }

    /// Waits until one of the attempts goes on, when no other is made. Returns `None` once all have ended.
    ///
    /// Those whose endpoints can't be reached are given up: silence alone tells nothing, but such an endpoint doesn't answer, and its
    /// caller can come back sooner.
    pub(crate) async fn last(&mut self) -> Option<Begun> {
        for attempt in &mut self.attempts {
            attempt.held = None;
        }
        while !self.attempts.is_empty() {
            let endpoints: Vec<_> = self.attempts.iter().map(|a| Arc::clone(&a.endpoint)).collect();
            tokio::select! {
                biased;
                begun = self.next_of_all() => return begun,
                gone = unreachable(endpoints) => self.give_up(&gone),
            }
            tokio::select! {
                biased;
                begun = self.next_of_all() => return begun,
                () = time::sleep(PROBE_INTERVAL) => {}
            }
        }
        None
    }

    /// Waits until one of the attempts goes on. Returns `None` once all have ended.
    async fn next_of_all(&mut self) -> Option<Begun> {
        future::poll_fn(|task| match self.poll(task) {
            Poll::Ready(begun) => Poll::Ready(Some(begun)),
            Poll::Pending if self.attempts.is_empty() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Gives up the attempts at the endpoints `gone`.
    fn give_up(&mut self, gone: &[Arc<endpoint::Endpoint>]) {
        let is_gone = |attempt: &mut WaitingAttempt| gone.iter().any(|e| e.id == attempt.endpoint.id);
        for attempt in self.attempts.extract_if(.., is_gone) {
            self.lost.push(Lost {
                why: "endpoint can't be reached",
                endpoint: attempt.endpoint,
                broken: None,
            });
        }
    }

    /// Waits until `stream`, which follows `position`, or one of the others goes on. `may_move` tells whether another endpoint is
    /// to be asked after a silence.
    pub(crate) async fn race<M>(
        &mut self,
        stream: EndpointStream,
        position: &event_buffer::EventBuffer,
        deadline: Time,
        may_move: M,
    ) -> Race
    where
        M: Fn(&EndpointStream) -> bool,
    {
        let mut silent = SilentStream {
            stream,
            position: position.clone(),
            buffer: position.clone(),
            accepts_end: false,
        };
        loop {
            let sign = tokio::select! {
                biased;
                other = self.next() => return Race::Other(other),
                sign = time::timeout(CHECK_INTERVAL, silent.sign()) => sign,
            };
            match sign {
                Ok(Ok(())) => {
                    let SilentStream { stream, position, .. } = silent;
                    return Race::Begun(Box::new(BegunStream { stream, position }));
                }
                Ok(Err(interruption)) => return Race::Lost(interrupted(&silent.stream, interruption)),
                Err(_) if may_move(&silent.stream) || boot_clock::now() >= deadline => {
                    silent.stream.slot.set_counted(false);
                    self.attempts.push(WaitingAttempt {
                        endpoint: Arc::clone(&silent.stream.slot.endpoint),
                        response: Box::pin(silent.wait(deadline)),
                        held: None,
                    });
                    return Race::Silent;
                }
                Err(_) => {}
            }
        }
    }

    fn poll(&mut self, task: &mut Context<'_>) -> Poll<Begun> {
        let mut at = 0;
        while let Some(attempt) = self.attempts.get_mut(at) {
            if attempt
                .held
                .as_mut()
                .is_some_and(|held| held.as_mut().poll(task).is_pending())
            {
                at += 1;
                continue;
            }
            attempt.held = None;
            match attempt.response.as_mut().poll(task) {
                Poll::Pending => at += 1,
                Poll::Ready(Ok(begun)) => {
                    self.attempts.remove(at);
                    return Poll::Ready(begun);
                }
                Poll::Ready(Err(lost)) => {
                    self.attempts.remove(at);
                    self.lost.push(lost);
                }
            }
        }
        Poll::Pending
    }
}

/// Returns those of the endpoints that can't be reached.
async fn unreachable(endpoints: Vec<Arc<endpoint::Endpoint>>) -> Vec<Arc<endpoint::Endpoint>> {
    let mut gone = Vec::new();
    for endpoint in endpoints {
        if pool::Pool::probe(&endpoint).await != pool::Reachability::Accepts {
            gone.push(endpoint);
        }
    }
    gone
}

/// Returns whether a response can continue a stream that another endpoint has begun.
pub(crate) fn is_continuation(parts: &http::response::Parts) -> bool {
    let media_type = parts.headers.get(header::CONTENT_TYPE);
    // A media type that is no text is none of events.
    let media_type = media_type.map(|value| value.to_str().unwrap_or_default());
    response_class::is_continuation(parts.status.as_u16(), media_type)
}

/// Returns how an attempt was lost whose stream was interrupted.
pub(crate) fn interrupted(stream: &EndpointStream, interruption: endpoint_stream::Interruption) -> Lost {
    let broken = matches!(interruption, endpoint_stream::Interruption::Broken(_)).then(|| stream.progress());
    Lost {
        broken,
        ..lost(stream, interruption.why())
    }
}

fn lost(stream: &EndpointStream, why: &'static str) -> Lost {
    Lost {
        why,
        endpoint: Arc::clone(&stream.slot.endpoint),
        broken: None,
    }
}

/// Waits for the response to a request that was sent.
async fn wait_for_response<F, E>(cx: Rc<context::GatewayContext>, sent: SentRequest<F>) -> Result<Begun, Lost>
where
    F: Future<Output = Result<Response<Incoming>, E>>,
{
    let SentRequest {
        call,
        lease,
        slot,
        position,
        sending,
    } = sent;
    let endpoint = Arc::clone(&slot.endpoint);
    let ended = |why, broken| {
        let endpoint = Arc::clone(&endpoint);
        Lost { why, endpoint, broken }
    };
    let remaining = call.deadline.since(boot_clock::now());
    let response = match time::timeout(remaining, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => {
            let broken = Some(crash_watch::Progress::default());
            return Err(ended("connection broke before the answer", broken));
        }
        Err(_) => return Err(ended("no answer in time", None)),
    };
    match receive::receive(&cx, &call, None, lease, slot, response).await {
        receive::Received::Stream(open) if position.is_continued() && !is_continuation(&open.parts) => {
            Err(ended(NO_CONTINUATION, None))
        }
        receive::Received::Response(_) | receive::Received::OpenResponse(_) if position.is_continued() => {
            Err(ended(NO_CONTINUATION, None))
        }
        receive::Received::Response(response) => Ok(Begun::Response(response)),
        receive::Received::OpenResponse(open) => Ok(Begun::OpenResponse(open)),
        receive::Received::Stream(open) => {
            let silent = SilentStream {
                accepts_end: !position.is_continued(),
                buffer: position.clone(),
                stream: EndpointStream::new(*open),
                position,
            };
            silent.wait(call.deadline).await
        }
        receive::Received::Refused => Err(ended("refused by the endpoint", None)),
        receive::Received::Failed(_) => Err(ended("failed at the endpoint", None)),
        receive::Received::Untrusted => Err(ended("answer to another request", None)),
        receive::Received::Broken(why) => Err(ended(why, Some(crash_watch::Progress::default()))),
    }
}

/// A stream of which it is open whether it goes on.
struct SilentStream {
    stream: EndpointStream,
    /// The state before what was read ahead.
    position: event_buffer::EventBuffer,
    /// The state after it.
    buffer: event_buffer::EventBuffer,
    /// Whether the stream may end without a further event. Otherwise, that may as well be the answer of an endpoint that knows
    /// nothing of it.
    accepts_end: bool,
}

impl SilentStream {
    /// Waits until the stream goes on.
    async fn wait(mut self, deadline: Time) -> Result<Begun, Lost> {
        let remaining = deadline.since(boot_clock::now());
        match time::timeout(remaining, self.sign()).await {
            Ok(Ok(())) => {
                self.stream.slot.set_counted(true);
                Ok(Begun::Stream(Box::new(BegunStream {
                    stream: self.stream,
                    position: self.position,
                })))
            }
            Ok(Err(interruption)) => Err(interrupted(&self.stream, interruption)),
            Err(_) => Err(lost(&self.stream, "no answer in time")),
        }
    }

    /// Waits for a sign that the stream goes on. Nothing is lost if the future is dropped.
    async fn sign(&mut self) -> Result<(), endpoint_stream::Interruption> {
        match self.stream.wait_for_sign(&mut self.buffer).await? {
            endpoint_stream::Sign::End if !self.accepts_end => {
                Err(endpoint_stream::Interruption::Failed("stream ended before an event"))
            }
            endpoint_stream::Sign::Event | endpoint_stream::Sign::End => Ok(()),
        }
    }
}
