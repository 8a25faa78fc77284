//! Decides how much memory the responses on their way to callers may take.
//!
//! Load condition addressed: many callers read large responses slowly, as over narrow links, so that responses arrive faster
//! than they leave. A response that is read completely before it is forwarded can be replaced by another attempt if it breaks
//! off, but waits in memory for its caller.
//!
//! Three steps follow each other as memory fills. Large responses are forwarded while they are read, at the pace of
//! their callers. Then organisations whose responses take more than their part have new requests refused, before any
//! work begins, and after them all requests to routes with large responses. What a large response takes is set aside when its request
//! is accepted; one that nobody expected to be large is left at its endpoint until there is room. None is dropped for want of it.

use std::time::Duration;

/// What a response takes while it is read, in bytes: the buffers of both connections, and a block between them.
pub const OPEN_RESPONSE_BYTES: usize = 160 << 10;

/// Time for which responses of a route are expected to be large after one that was.
pub const LARGE_RESPONSE_MEMORY: Duration = Duration::from_secs(10);

/// The length up to which each response is read completely, in bytes.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;

/// Bytes of all responses together up to which one is read completely.
const MAX_WHOLE_BYTES: usize = 32 << 20;
/// The same, up to which all requests are accepted.
const MAX_SHARED_BYTES: usize = 64 << 20;
/// The same, up to which large responses are read.
const MAX_LARGE_BYTES: usize = 72 << 20;
/// The same, up to which requests are accepted whose responses are small. Large responses don't reach it.
const MAX_HELD_BYTES: usize = 80 << 20;
/// One organisation's part of what is held, from which on its requests are refused first.
const LARGE_PART: usize = 8;

/// The bytes of responses that an instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBytes {
    /// Of all responses.
    pub total: usize,
    /// Of the responses to the organisation of the request that is judged.
    pub of_organisation: usize,
}

/// Returns whether a response of which `len` bytes were read, while all together take `total`, is read on to its end before it is
/// forwarded.
pub fn reads_whole(len: usize, total: usize) -> bool {
    len <= SMALL_RESPONSE_BYTES || total <= MAX_WHOLE_BYTES
}

/// Returns whether there is room for the response to a further request, which is `expected_large` if such responses were lately.
pub fn has_room(held: HeldBytes, expected_large: bool) -> bool {
    let has_large_part = held.of_organisation >= held.total / LARGE_PART;
    let max = match (has_large_part, expected_large) {
        (true, _) => MAX_SHARED_BYTES,
        (false, true) => MAX_LARGE_BYTES - OPEN_RESPONSE_BYTES,
        (false, false) => MAX_HELD_BYTES,
    };
    held.total < max
}

/// Returns whether a response of `len` bytes, if that is known, may be read while all responses together take `total`.
pub fn may_read(len: Option<usize>, total: usize) -> bool {
    is_small(len) || total + OPEN_RESPONSE_BYTES <= MAX_LARGE_BYTES
}

/// Returns whether a response is known to be read completely.
pub fn is_small(len: Option<usize>) -> bool {
    len.is_some_and(|len| len <= SMALL_RESPONSE_BYTES)
}
