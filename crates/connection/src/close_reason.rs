//! Reasons to close a connection.

/// The reason why a server closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for too long.
    Idle,
    /// A request head was not complete in time.
    SlowHead,
    /// The caller has stopped reading a response.
    StoppedReading,
    /// The process is stopping, and the connection had no request.
    Unused,
}
