//! Structured log lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Lines that wait for the writer. More are dropped and counted in a line of their own, so that logging never blocks
/// traffic.
const QUEUE_LINES: usize = 2_048;

/// The root logger: one JSON object a line, written by a thread of its own.
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
