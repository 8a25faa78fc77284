//! Cuts a stream of server-sent events at event boundaries.
//!
//! An answer can be continued on another connection or by another endpoint only between two events, so both the agent
//! and the entry hand on whole events and count them.

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until they make whole events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes after the last event boundary.
    partial: Vec<u8>,
}

/// An event longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl EventSplitter {
    /// Takes received bytes and gives back the events that they complete, each with its blank line.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] when no boundary comes within [`MAX_EVENT_BYTES`].
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
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }
}

/// Whether an event is the explicit end mark of a stream.
pub fn is_end_event(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.any(|line| line == b"event: end" || line == b"event:end")
}
