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
    field_names(block).next().is_none() || field_names(block).any(|name| name.is_empty() || FIELDS.contains(&name))
}

/// Returns whether a block of lines is an event for its reader: comments and blocks of other fields are none.
pub fn has_data(block: &[u8]) -> bool {
    field_names(block).any(|name| name == b"data")
}

/// Returns what stands before the colon of each line, which is nothing in a comment.
fn field_names(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = block
        .split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let filled = lines.filter(|line| !line.is_empty());
    filled.map(|line| line.split(|b| *b == b':').next().unwrap_or_default())
}
