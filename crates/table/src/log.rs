//! Structured logging to standard output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Capacity of the queue to the writer thread, in lines. Further lines are dropped, and their number is logged, so that
/// logging never blocks traffic.
const QUEUE_LINES: usize = 2_048;

/// Creates the root logger, which writes one JSON object per line from a separate thread.
pub fn root() -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    let queue = slog_async::Async::new(Mutex::new(json).fuse())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(slog::LevelFilter::new(queue.fuse(), slog::Level::Info).fuse(), o!())
}
