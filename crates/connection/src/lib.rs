//! HTTP connections of callers: what they are owed, their timeouts, and their end when a process stops. Also what a connection to a
//! server may read without a result ([`read_limit`]).
//!
//! A request is owed a response from its head on until the last byte of the response is written to its connection. The
//! HTTP library ends its own account earlier, when it has taken over the response. [`watch`] keeps ours, [`owed_counts`]
//! adds it up over all connections of a server, and [`serve`] closes a connection only when nothing is owed on it or its
//! caller no longer does its part.

mod close_reason;
mod count_guard;
pub mod owed_counts;
pub mod read_limit;
pub mod serve;
pub mod timeouts;
pub mod watch;
mod watched_io;

pub use close_reason::CloseReason;
pub use count_guard::CountGuard;
