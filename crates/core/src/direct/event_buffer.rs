//! Cuts a stream of server-sent events after its last whole event, leaving every byte as it came.
//!
//! A stream can be continued by another endpoint only between two events, so no part of an event is handed on before
//! the whole event is there.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes that do not yet make a whole event, and the identifier of the last event that was handed on.
#[derive(Debug, Clone, Default)]
pub struct EventBuffer {
    /// Bytes after the last event boundary.
    partial: BytesMut,
    /// Identifier of the last whole event.
    last_id: Option<String>,
}

/// An event longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl EventBuffer {
    /// A cut that begins after the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Takes received bytes and gives back those that complete events.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] when no boundary comes within [`MAX_EVENT_BYTES`].
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

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an unfinished event are held back.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let is_boundary = |at: usize| {
        let before = bytes.get(..at).unwrap_or_default();
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(|at| is_boundary(*at))
}

fn last_identifier(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
