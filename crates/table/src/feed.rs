//! Change feed of one topic of the table.
//!
//! A feed starts with a full read and then long-polls for changes after that read's version. When changes may have been
//! missed, because the table no longer has the history, a response can't be decoded or a new era of the table has begun, it
//! starts over with a full read.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::table_clock;
use sycamorestile_core::time;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time as timer;

use crate::adapter;
use crate::boot_clock;
use crate::feed_event;
use crate::position;
use crate::reader;

/// Delay after the first failed request. It doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between retries. It is short so that new declarations take effect soon after the table recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Delay of a read after another feed has seen a new era, so that reads don't follow each other without a pause if the table
/// stops naming it.
const ERA_READ_DELAY: Duration = Duration::from_millis(200);

/// Timing of a feed's polls.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Longest time for which the table is asked to wait for a change.
    pub max_wait: Duration,
    /// Delay after a response with changes, so that the next one returns several changes at once.
    pub batch_delay: Duration,
}

/// Handle that adjusts a running feed.
#[derive(Debug)]
pub struct FeedControl {
    wait: watch::Sender<Duration>,
    read_now: Arc<Notify>,
}

/// Receiving half of a [`FeedControl`], which is passed to [`follow`].
#[derive(Debug)]
pub struct FeedControlReceiver {
    wait: watch::Receiver<Duration>,
    read_now: Arc<Notify>,
}

impl FeedControl {
    /// Creates a handle and its receiving half, with `timing.max_wait` as the first wait.
    pub fn channel(timing: PollTiming) -> (Self, FeedControlReceiver) {
        let (tx, rx) = watch::channel(timing.max_wait);
        let read_now = Arc::new(Notify::new());
        let control = Self {
            wait: tx,
            read_now: Arc::clone(&read_now),
        };
        (control, FeedControlReceiver { wait: rx, read_now })
    }

    /// Sets the longest time for which the table is asked to wait, from the next poll on.
    pub fn set_wait(&self, wait: Duration) {
        self.wait.send_if_modified(|current| {
            let changed = *current != wait;
            *current = wait;
            changed
        });
    }

    /// Cancels a poll that is waiting and polls again without waiting.
    pub fn read_now(&self) {
        self.read_now.notify_one();
    }
}

/// Follows `topic` and sends its events to `tx` until the receiver is dropped.
pub async fn follow(
    topic: adapter::Topic,
    mut reader: reader::Reader,
    timing: PollTiming,
    control: FeedControlReceiver,
    tx: mpsc::Sender<(adapter::Topic, feed_event::FeedEvent)>,
    log: Logger,
) {
    let mut position = position::Position::default();
    let mut retry_delay = INITIAL_RETRY_DELAY;
    let mut unavailable = false;
    // The reads that failed in a row, and when the last one of them was sent.
    let mut failed_reads = 0_u32;
    let mut last_failed = boot_clock::now();
    let mut clock = table_clock::TableClock::default();
    let mut read_requested = false;
    loop {
        let requested_at = boot_clock::now();
        let mut wait = Duration::ZERO;
        let result = match position.version() {
            None => reader.read_all(topic).await,
            Some(after) => {
                let read_now = read_requested || clock.is_stale();
                if !read_now {
                    wait = *control.wait.borrow();
                }
                read_requested = false;
                let eras = reader.eras().clone();
                let reading = reader.read_changes(topic, after, wait);
                tokio::select! {
                    result = reading => result,
                    // Cancelling the poll closes its connection, which is wanted: the connection may have stalled.
                    () = control.read_now.notified(), if !wait.is_zero() => {
                        read_requested = true;
                        continue;
                    }
                    () = eras.newer_than(position.era), if position.era.is_some() && !wait.is_zero() => {
                        timer::sleep(ERA_READ_DELAY).await;
                        read_requested = true;
                        continue;
                    }
                }
            }
        };
        let (page, era) = match result {
            Ok(read) => read,
            Err(e) => {
                if matches!(e, reader::ReadError::HistoryLost) {
                    info!(log, "table no longer has the history after this version; starting over with a full read";
                        "topic" => topic.as_str(), "after" => position.version());
                    position.start_over();
                    continue;
                }
                if matches!(e, reader::ReadError::Decode(_)) {
                    position.start_over();
                }
                failed_reads += 1;
                last_failed = requested_at;
                if !unavailable {
                    warn!(log, "failed to read from the table; retrying"; "topic" => topic.as_str(),
                        "addr" => %reader.addr(), "asked_wait_ms" => wait.as_millis() as u64,
                        "sent_ms_ago" => elapsed_ms(requested_at), "error" => %e);
                    unavailable = true;
                    if tx.send((topic, feed_event::FeedEvent::Unavailable)).await.is_err() {
                        return;
                    }
                }
                timer::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                continue;
            }
        };
        let former = position.clone();
        if position.enter(era) {
            info!(log, "store era changed; starting over with a full read"; "topic" => topic.as_str(),
                "former" => former.era.map(|e| e.0), "era" => era.map(|e| e.0), "version" => page.version,
                "after" => former.version());
            if former.version().is_some() {
                continue;
            }
        }
        retry_delay = INITIAL_RETRY_DELAY;
        if unavailable {
            info!(log, "table is available again"; "topic" => topic.as_str(), "version" => page.version,
                "failed_reads" => failed_reads, "last_failed_sent_ms_ago" => elapsed_ms(last_failed),
                "sent_ms_ago" => elapsed_ms(requested_at));
            unavailable = false;
            failed_reads = 0;
            if tx.send((topic, feed_event::FeedEvent::Recovered)).await.is_err() {
                return;
            }
        }
        let has_changes = !page.rows.is_empty();
        let as_of = page
            .clock
            .map_or(requested_at, |reading| clock.to_local_time(requested_at, reading));
        let event = position.advance(page, as_of);
        if tx.send((topic, event)).await.is_err() {
            return;
        }
        if has_changes {
            timer::sleep(timing.batch_delay).await;
        }
    }
}

/// Returns how long ago `since` was, in milliseconds.
fn elapsed_ms(since: time::Time) -> u64 {
    boot_clock::now().since(since).as_millis() as u64
}
