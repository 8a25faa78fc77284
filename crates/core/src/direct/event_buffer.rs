//! Buffers a stream of server-sent events and releases complete events only, with their bytes unchanged.
//!
//! Another endpoint can continue a stream only between two events, so no part of an event may reach the caller before
//! the event is complete. Nor may anything else: an endpoint that fails may send the text of an error in place of events, or
//! events from another place of the stream.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::event_stream;

/// The reason why what an endpoint sends can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum EventFault {
    /// An event is longer than [`event_stream::MAX_EVENT_BYTES`].
    TooLong,
    /// A block of lines has no field of an event.
    NotAnEvent,
    /// The identifier of an event doesn't follow that of the one before.
    OutOfOrder,
}

impl EventFault {
    /// Returns the reason, for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLong => "event too long",
            Self::NotAnEvent => "endpoint sent something else than events",
            Self::OutOfOrder => "event out of order",
        }
    }
}

/// Holds the bytes of an incomplete event, and the identifier of the last event that was released.
#[derive(Debug, Clone, Default)]
pub struct EventBuffer {
    /// Bytes after the last event boundary.
    partial: BytesMut,
    /// Identifier of the last complete event.
    last_id: Option<String>,
    /// Whether the last two numbers that identified events were consecutive.
    is_consecutive: bool,
    /// Whether the next event is the first one of another endpoint.
    is_continued: bool,
    /// Set once something can't be forwarded. What came before it was released.
    fault: Option<EventFault>,
}

impl EventBuffer {
    /// Creates the buffer of a stream that starts after the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends received bytes and returns the buffered bytes up to the end of the last complete event.
    ///
    /// # Errors
    ///
    /// Returns the fault of what follows the events that were released. Nothing more is released then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventFault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(len) = block_len(&self.partial[end..]) {
            let block = &self.partial[end..end + len];
            if let Some(fault) = self.check(block) {
                self.fault = Some(fault);
                break;
            }
            self.record(end, len);
            end += len;
        }
        if self.fault.is_none() && self.partial.len() - end > event_stream::MAX_EVENT_BYTES {
            self.fault = Some(EventFault::TooLong);
        }
        match self.fault {
            Some(fault) if end == 0 => Err(fault),
            _ => Ok(self.partial.split_to(end).freeze()),
        }
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the fault of what follows the events that were released.
    pub fn fault(&self) -> Option<EventFault> {
        self.fault
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the next event is the first one of another endpoint.
    pub fn is_continued(&self) -> bool {
        self.is_continued
    }

    /// Discards the bytes of an incomplete event, and what was wrong with it, since another endpoint continues the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.fault = None;
        self.is_continued = true;
    }

    /// Returns what is wrong with a block of lines that ends with a blank one.
    fn check(&self, block: &[u8]) -> Option<EventFault> {
        if !event_stream::is_event(block) {
            return Some(EventFault::NotAnEvent);
        }
        let (last, id) = (number(self.last_id.as_deref()?)?, number(identifier(block)?)?);
        let skips = self.is_continued && self.is_consecutive && id != last + 1;
        (id <= last || skips).then_some(EventFault::OutOfOrder)
    }

    /// Records the event of `len` bytes at `start`.
    fn record(&mut self, start: usize, len: usize) {
        let Some(id) = identifier(&self.partial[start..start + len]).map(str::to_owned) else {
            return;
        };
        if let Some((last, next)) = self.last_id.as_deref().and_then(number).zip(number(&id)) {
            self.is_consecutive = last + 1 == next;
        }
        self.is_continued = false;
        self.last_id = Some(id);
    }
}

/// Returns the length of the first block of lines of `bytes`, with the blank line that ends it.
fn block_len(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    let mut line_starts = std::iter::once(0).chain(newlines.map(|(at, _)| at + 1));
    line_starts.find_map(|at| Some(at + blank_line_len(&bytes[at..])?))
}

/// Returns the length of the blank line that `bytes` begin with.
fn blank_line_len(bytes: &[u8]) -> Option<usize> {
    let blank_lines: [&[u8]; 2] = [b"\n", b"\r\n"];
    let found = blank_lines.into_iter().find(|line| bytes.starts_with(line));
    found.map(<[u8]>::len)
}

fn lines(block: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    block
        .split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns the value of the last `id` field of an event.
fn identifier(block: &[u8]) -> Option<&str> {
    let id = lines(block).rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id.trim_ascii()).ok()
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok().filter(|number| *number < u64::MAX)
}
