//! Splitting of a stream of server-sent events at event boundaries.
//!
//! A response can be continued over another connection or by another endpoint only between two events. The agent and
//! the entry therefore forward whole events and count them.

use crate::event_stream;

/// Splits received bytes into complete events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes received since the last event boundary.
    partial: Vec<u8>,
}

/// Error for an event longer than [`event_stream::MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the event is longer than {} bytes", event_stream::MAX_EVENT_BYTES)]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds received bytes and returns the events that they complete, each with its terminating blank line.
    ///
    /// Carriage returns are removed.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] if the incomplete event that remains is longer than [`event_stream::MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, EventTooLong> {
        let mut events = Vec::new();
        for byte in bytes {
            if *byte == b'\r' {
                continue;
            }
            self.partial.push(*byte);
            if self.partial.ends_with(b"\n\n") {
                events.push(std::mem::take(&mut self.partial));
            }
        }
        if self.partial.len() > event_stream::MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }
}

/// Returns whether an event is the explicit end marker of a stream.
pub fn is_end_event(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.any(|line| line == b"event: end" || line == b"event:end")
}
