//! Which complete responses an agent keeps, so that entries can read them again after a lost connection.

use std::cmp::Reverse;
use std::time::Duration;

use crate::time;

/// Time for which a complete response is kept.
const RETENTION: Duration = Duration::from_secs(30);
/// Upper bound of the bytes of complete responses. Large responses at a high rate would otherwise take the endpoint's
/// memory.
pub const MAX_BYTES: usize = 64 << 20;

/// A complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompleteResponse {
    /// When its last frame was written.
    pub closed: time::Time,
    /// Whether an entry has read it to its end.
    pub is_fetched: bool,
    /// Size of its body.
    pub bytes: usize,
}

/// Returns which of `responses` are kept at `now`. For want of room, those go first that an entry has read to their end, and
/// of these the oldest.
pub fn kept(responses: &[CompleteResponse], now: time::Time) -> Vec<bool> {
    let mut kept: Vec<bool> = responses.iter().map(|r| now.since(r.closed) < RETENTION).collect();
    let mut by_value: Vec<usize> = (0..responses.len()).filter(|&i| kept[i]).collect();
    by_value.sort_by_key(|&i| (responses[i].is_fetched, Reverse(responses[i].closed)));
    let mut bytes = 0;
    for index in by_value {
        bytes += responses[index].bytes;
        kept[index] = bytes <= MAX_BYTES;
    }
    kept
}
