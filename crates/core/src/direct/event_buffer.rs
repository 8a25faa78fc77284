//! Buffers a stream of server-sent events and releases complete events only, with their bytes unchanged.
//!
//! Another endpoint can continue a stream only between two events, so no part of an event may reach the caller before
//! the event is complete.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Holds the bytes of an incomplete event, and the identifier of the last event that was released.
#[derive(Debug, Clone, Default)]
pub struct EventBuffer {
    /// Bytes after the last event boundary.
    partial: BytesMut,
    /// Identifier of the last complete event.
    last_id: Option<String>,
}

/// The error for an event that is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl EventBuffer {
    /// Creates the buffer of a stream that starts after the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Appends received bytes and returns the buffered bytes up to the end of the last complete event.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] when an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_identifier(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the offset after the last blank line of `bytes`, which ends an event.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let is_boundary = |at: usize| {
        let before = bytes.get(..at).unwrap_or_default();
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(|at| is_boundary(*at))
}

/// Returns the value of the last `id` field in `events`.
fn last_identifier(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
