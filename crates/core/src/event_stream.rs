//! What tells a stream of server-sent events from other responses.
//!
//! Where one endpoint goes on with the stream of another, the caller sees a single response. An error in place of the rest must not
//! become a part of it, so that its media type and each block of its lines are checked.

/// Maximum length of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Media type of a stream of events.
const MEDIA_TYPE: &str = "text/event-stream";
/// Fields of an event.
const FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];

/// Returns whether the value of a `Content-Type` header names a stream of events.
pub fn is_event_stream(content_type: &str) -> bool {
    let essence = content_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case(MEDIA_TYPE)
}

/// Returns whether a block of lines is an event, a comment or empty.
pub fn is_event(block: &[u8]) -> bool {
    let is_field = |line: &[u8]| {
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        name.is_empty() || FIELDS.contains(&name)
    };
    let mut filled = block
        .split(|b| *b == b'\n')
        .filter(|line| !matches!(line, [] | [b'\r']))
        .peekable();
    filled.peek().is_none() || filled.any(is_field)
}
