//! Structured logging to standard output.

use std::fmt;
use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Capacity of the queue to the writer thread, in lines. Further lines are dropped, and their number is logged, so that
/// logging never blocks traffic.
const QUEUE_LINES: usize = 2_048;

/// Writes the queued lines when dropped.
///
/// Other threads may still hold loggers at the end of the process, so dropping the root logger writes nothing.
pub struct FlushGuard {
    _queue: slog_async::AsyncGuard,
}

impl fmt::Debug for FlushGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FlushGuard").finish_non_exhaustive()
    }
}

/// Creates the root logger, which writes one JSON object per line from a separate thread.
pub fn root() -> (Logger, FlushGuard) {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    let (queue, guard) = slog_async::Async::new(Mutex::new(json).fuse())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let logger = Logger::root(slog::LevelFilter::new(queue.fuse(), slog::Level::Info).fuse(), o!());
    (logger, FlushGuard { _queue: guard })
}
