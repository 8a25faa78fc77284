//! The part of a streamed response that one endpoint sends.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sycamorestile_core::direct::event_buffer;
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::crash_watch;
use crate::endpoint_slot;
use crate::header_adapter;
use crate::pool;
use crate::receive;

/// The part of a stream that one endpoint sends.
pub(crate) struct EndpointStream {
    pub(crate) parts: http::response::Parts,
    body: Incoming,
    /// What was read while it was open whether this part goes on.
    read_ahead: VecDeque<Bytes>,
    pub(crate) head: header_adapter::ResponseHead,
    pub(crate) lease: pool::Lease,
    pub(crate) slot: endpoint_slot::EndpointSlot,
    pub(crate) ends_with_connection: bool,
    /// When the last event was forwarded, or this part began.
    pub(crate) last_event_at: Time,
    /// When the stream may be offered to another endpoint.
    pub(crate) may_move_at: Time,
    /// When the first and the last event arrived.
    written: Option<(Time, Time)>,
    /// The number of events.
    events: usize,
    /// When the first event arrived, by a clock that stops while the instance is suspended.
    first_event: Option<time::Instant>,
    /// Whether this part has proved the segments of the prompt sound.
    pub(crate) is_proved: bool,
}

/// The reason why a stream can't go on at its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The endpoint closed the connection too early.
    Broken(&'static str),
    /// The data is invalid.
    Failed(&'static str),
}

impl Interruption {
    /// Returns the reason, for logs.
    pub(crate) fn why(self) -> &'static str {
        match self {
            Self::Broken(why) | Self::Failed(why) => why,
        }
    }
}

/// How a part of a stream goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sign {
    /// By an event.
    Event,
    /// By its end.
    End,
}

impl EndpointStream {
    pub(crate) fn new(open: receive::OpenStream) -> Self {
        let receive::OpenStream {
            parts,
            body,
            head,
            lease,
            slot,
        } = open;
        Self {
            ends_with_connection: receive::ends_with_connection(&parts.headers, &body),
            parts,
            body,
            read_ahead: VecDeque::new(),
            head,
            lease,
            slot,
            last_event_at: boot_clock::now(),
            may_move_at: Time::ZERO,
            written: None,
            events: 0,
            first_event: None,
            is_proved: false,
        }
    }

    /// Returns the next bytes, or `None` at the end of the body. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the reason if the connection broke.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        match self.read_ahead.pop_front() {
            Some(bytes) => Ok(Some(bytes)),
            None => self.read().await,
        }
    }

    /// Waits until an event is complete or the stream ends, and keeps what it reads. `buffer` holds what came before.
    ///
    /// Nothing is lost if the future is dropped, and another call with the same `buffer` goes on.
    ///
    /// # Errors
    ///
    /// Returns the reason if this part can't go on.
    pub(crate) async fn wait_for_sign(&mut self, buffer: &mut event_buffer::EventBuffer) -> Result<Sign, Interruption> {
        loop {
            let Some(bytes) = self.read().await? else {
                let fault = self.end_fault(buffer.has_partial()).await;
                return fault.map_or(Ok(Sign::End), |why| Err(Interruption::Broken(why)));
            };
            let events = buffer.push(&bytes);
            self.read_ahead.push_back(bytes);
            match events {
                Ok(events) if events.is_empty() => {}
                Ok(_) => return Ok(Sign::Event),
                Err(fault) => return Err(Interruption::Failed(fault.as_str())),
            }
        }
    }

    /// Returns why a body that has ended is not complete. `has_partial` tells whether it ended within an event.
    pub(crate) async fn end_fault(&self, has_partial: bool) -> Option<&'static str> {
        if has_partial {
            Some("stream ended within an event")
        } else if self.ends_with_connection && self.events == 0 && self.read_ahead.is_empty() {
            Some("stream ended before an event")
        } else if self.ends_with_connection && pool::Pool::refuses_connections(&self.slot.endpoint).await {
            Some("endpoint crashed")
        } else {
            None
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Interruption> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(Interruption::Broken("stream broke")),
                Some(Ok(frame)) => {
                    self.lease.renew_read_limit();
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Records that events arrived. Those that arrive together count as one, since one pass may have written them.
    pub(crate) fn record_events(&mut self, now: Time) {
        let (first, _) = self.written.unwrap_or((now, now));
        self.written = Some((first, now));
        self.events += 1;
        self.first_event.get_or_insert_with(time::Instant::now);
    }

    /// Returns how much had arrived when the connection was closed, which is now.
    pub(crate) fn progress(&self) -> crash_watch::Progress {
        crash_watch::Progress {
            events: self.events,
            written_for: self.written_for(),
            held_for: self.first_event.map_or(Duration::ZERO, |at| at.elapsed()),
        }
    }

    /// Returns the time from the first to the last event.
    pub(crate) fn written_for(&self) -> Duration {
        self.written.map_or(Duration::ZERO, |(first, last)| last.since(first))
    }
}
