//! Change feed of one topic of the table.
//!
//! A feed starts with a full read and then long-polls for changes after that read's version. When changes may have been
//! missed, because the table no longer has the history or a response can't be decoded, it starts over with a full read.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::table_clock;
use sycamorestile_core::time;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time as timer;

use crate::adapter;
use crate::boot_clock;
use crate::client;

/// Timeout of a request, in addition to the time for which it asks the table to wait. A slow table takes 250 ms to
/// respond.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after the first failed request. It doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between retries. It is short so that new declarations take effect soon after the table recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Event of a feed.
#[derive(Debug)]
pub enum FeedEvent {
    /// All rows, from a full read.
    Snapshot {
        /// Local time up to which all changes of the table are included.
        as_of: time::Time,
        /// Reading of the table's clock at `as_of` or later.
        clock: Option<Duration>,
        /// The rows.
        rows: Vec<adapter::Row>,
    },
    /// Changes since the previous event, possibly none.
    Changes {
        /// Local time up to which all changes of the table are included.
        as_of: time::Time,
        /// Reading of the table's clock at `as_of` or later.
        clock: Option<Duration>,
        /// The changes, in order.
        rows: Vec<adapter::Row>,
    },
    /// The table became unavailable: a request failed.
    Unavailable,
    /// The table is available again: a request succeeded after failed ones.
    Recovered,
}

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
    adapter: adapter::TableAdapter,
    mut client: client::Client,
    timing: PollTiming,
    control: FeedControlReceiver,
    tx: mpsc::Sender<(adapter::Topic, FeedEvent)>,
    log: Logger,
) {
    let mut version = None;
    let mut retry_delay = INITIAL_RETRY_DELAY;
    let mut unavailable = false;
    let mut clock = table_clock::TableClock::default();
    let mut read_requested = false;
    loop {
        let requested_at = boot_clock::now();
        let result = match version {
            None => read_snapshot(topic, &adapter, &mut client).await,
            Some(after) => {
                let read_now = read_requested || clock.is_stale();
                let wait = if read_now {
                    Duration::ZERO
                } else {
                    *control.wait.borrow()
                };
                read_requested = false;
                let reading = read_changes(topic, &adapter, &mut client, after, wait);
                tokio::select! {
                    result = reading => result,
                    // Cancelling the poll closes its connection, which is wanted: the connection may have stalled.
                    () = control.read_now.notified(), if !wait.is_zero() => {
                        read_requested = true;
                        continue;
                    }
                }
            }
        };
        let page = match result {
            Ok(page) => page,
            Err(e) => {
                if e.is_history_lost(&adapter) {
                    info!(log, "table no longer has the history after this version; starting over with a full read";
                        "topic" => topic.as_str(), "after" => version);
                    version = None;
                    continue;
                }
                if matches!(e, FeedError::Decode(_)) {
                    version = None;
                }
                if !unavailable {
                    warn!(log, "failed to read from the table; retrying"; "topic" => topic.as_str(),
                        "addr" => %client.addr(), "error" => %e);
                    unavailable = true;
                    if tx.send((topic, FeedEvent::Unavailable)).await.is_err() {
                        return;
                    }
                }
                timer::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                continue;
            }
        };
        retry_delay = INITIAL_RETRY_DELAY;
        if unavailable {
            info!(log, "table is available again"; "topic" => topic.as_str(), "version" => page.version);
            unavailable = false;
            if tx.send((topic, FeedEvent::Recovered)).await.is_err() {
                return;
            }
        }
        let has_changes = !page.rows.is_empty();
        let as_of = page
            .clock
            .map_or(requested_at, |reading| clock.to_local_time(requested_at, reading));
        let event = match version {
            None => FeedEvent::Snapshot {
                as_of,
                clock: page.clock,
                rows: page.rows,
            },
            Some(_) => FeedEvent::Changes {
                as_of,
                clock: page.clock,
                rows: page.rows,
            },
        };
        version = Some(page.version.max(version.unwrap_or_default()));
        if tx.send((topic, event)).await.is_err() {
            return;
        }
        if has_changes {
            timer::sleep(timing.batch_delay).await;
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum FeedError {
    #[error(transparent)]
    Call(#[from] client::CallError),
    #[error(transparent)]
    Decode(#[from] adapter::DecodeError),
}

impl FeedError {
    fn is_history_lost(&self, adapter: &adapter::TableAdapter) -> bool {
        let history_lost = adapter.history_lost_status;
        matches!(self, Self::Call(client::CallError::ErrorStatus(status)) if status.as_u16() == history_lost)
    }
}

async fn read_snapshot(
    topic: adapter::Topic,
    adapter: &adapter::TableAdapter,
    client: &mut client::Client,
) -> Result<adapter::RowPage, FeedError> {
    let mut snapshot = adapter::RowPage::default();
    let mut after: Option<String> = None;
    loop {
        let body = client
            .get(&(adapter.read_path)(topic, after.as_deref()), CALL_TIMEOUT)
            .await?;
        let page = (adapter.decode_page)(&body)?;
        // The feed continues from the first page's version, so that changes between two pages are not missed.
        if after.is_none() {
            snapshot.version = page.version;
        }
        after = page.rows.last().map(|row| row.key.as_ref().to_owned());
        let has_more = page.has_more && after.is_some();
        snapshot.rows.extend(page.rows);
        if !has_more {
            return Ok(snapshot);
        }
    }
}

async fn read_changes(
    topic: adapter::Topic,
    adapter: &adapter::TableAdapter,
    client: &mut client::Client,
    after: u64,
    wait: Duration,
) -> Result<adapter::RowPage, FeedError> {
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let body = client
        .get(&(adapter.follow_path)(topic, after, wait_ms), wait + CALL_TIMEOUT)
        .await?;
    Ok((adapter.decode_page)(&body)?)
}
