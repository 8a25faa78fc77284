//! Change feed of one topic of the table.
//!
//! A feed starts with a full read and then long-polls for changes after that read's version. When changes may have been
//! missed, because the table no longer has the history, a response can't be decoded or a new era of the table has begun, it
//! starts over with a full read. A poll whose response may be lost is cancelled and repeated; the feeds of a process tell each
//! other what they see of the table's availability.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::{poll_schedule, poll_timing, table_clock};
use sycamorestile_core::time;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time as timer;

use crate::adapter;
use crate::availability;
use crate::boot_clock;
use crate::era;
use crate::feed_event;
use crate::position;
use crate::reader;

/// Delay of a read after another feed has seen a new era, so that reads don't follow each other without a pause if the table
/// stops naming it.
const ERA_READ_DELAY: Duration = Duration::from_millis(200);
/// Time for which the response with a change that a peer has told of may be on its way. It doubles up to
/// [`MAX_RESPONSE_GRACE`] with each read that lacks the change, since the table may respond with older rows.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// Longest of these times.
const MAX_RESPONSE_GRACE: Duration = Duration::from_millis(1_200);

/// A change that a peer has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownChange {
    /// Era of the table, if it names eras.
    pub era: Option<era::Era>,
    /// Version of the change.
    pub version: u64,
}

/// Handle that adjusts a running feed.
#[derive(Debug)]
pub struct FeedControl {
    wait: watch::Sender<Duration>,
    known_change: watch::Sender<KnownChange>,
    read_now: Arc<Notify>,
}

impl FeedControl {
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

    /// Tells the feed of a change that a peer has read. If the feed lacks it, and its response is not on the way, it polls
    /// again without waiting.
    pub fn expect(&self, change: KnownChange) {
        self.known_change.send_if_modified(|known| {
            let is_newer = (change.era, change.version) > (known.era, known.version);
            if is_newer {
                *known = change;
            }
            is_newer
        });
    }
}

/// How a read ended.
enum ReadEnd {
    /// With a response or a failure.
    Answered(Result<(adapter::RowPage, Option<era::Era>), reader::ReadError>),
    /// It was cancelled, since it may be lost as all that was sent before this time.
    Lost(time::Time),
    /// It was cancelled in favour of one that doesn't wait.
    ReadNow,
}

/// A feed of one topic.
#[derive(Debug)]
pub struct Feed {
    topic: adapter::Topic,
    timing: poll_timing::PollTiming,
    reader: reader::Reader,
    availability: availability::AvailabilityWatch,
    schedule: poll_schedule::PollSchedule,
    wait: watch::Receiver<Duration>,
    known_change: watch::Receiver<KnownChange>,
    read_now: Arc<Notify>,
    position: position::Position,
    clock: table_clock::TableClock,
    response_grace: Duration,
    /// Number of reads that failed in a row.
    failed_reads: u32,
    /// When the last of them was sent.
    last_failed: time::Time,
    log: Logger,
}

impl Feed {
    /// Creates a feed, which begins to read in [`Self::follow`], and its handle.
    pub fn new(
        topic: adapter::Topic,
        timing: poll_timing::PollTiming,
        reader: reader::Reader,
        availability: availability::AvailabilityWatch,
        log: Logger,
    ) -> (FeedControl, Self) {
        let (wait_tx, wait) = watch::channel(timing.max_wait());
        let (known_change_tx, known_change) = watch::channel(KnownChange::default());
        let read_now = Arc::new(Notify::new());
        let control = FeedControl {
            wait: wait_tx,
            known_change: known_change_tx,
            read_now: Arc::clone(&read_now),
        };
        let name = format!("{}/{}", availability.instance(), topic.as_str());
        let feed = Self {
            topic,
            timing,
            reader,
            availability,
            schedule: poll_schedule::PollSchedule::new(Arc::from(name), timing),
            wait,
            known_change,
            read_now,
            position: position::Position::default(),
            clock: table_clock::TableClock::default(),
            response_grace: RESPONSE_GRACE,
            failed_reads: 0,
            last_failed: boot_clock::now(),
            log,
        };
        (control, feed)
    }

    /// Follows the topic and sends its events to `tx` until the receiver is dropped.
    pub async fn follow(mut self, tx: mpsc::Sender<(adapter::Topic, feed_event::FeedEvent)>) {
        loop {
            let longest_wait = *self.wait.borrow();
            let mut wait = self.availability.next_read(&mut self.schedule, longest_wait).await;
            if self.clock.is_stale() {
                wait = Duration::ZERO;
            }
            let sent = boot_clock::now();
            let events = match self.read(wait, sent).await {
                ReadEnd::Answered(Ok((page, era))) => self.record_page(page, era, sent),
                ReadEnd::Answered(Err(e)) => self.record_failure(&e, wait, sent).into_iter().collect(),
                ReadEnd::Lost(lost_before) => {
                    self.schedule.record_cancelled(lost_before);
                    continue;
                }
                ReadEnd::ReadNow => {
                    self.schedule.read_now(boot_clock::now());
                    continue;
                }
            };
            let mut has_changes = false;
            for event in events {
                has_changes |= matches!(&event, feed_event::FeedEvent::Snapshot { rows, .. } | feed_event::FeedEvent::Changes { rows, .. } if !rows.is_empty());
                if tx.send((self.topic, event)).await.is_err() {
                    return;
                }
            }
            if has_changes {
                timer::sleep(self.timing.batch_delay).await;
            }
        }
    }

    /// Reads once, and cancels a poll that is not worth waiting for. Cancelling closes its connection, which may have stalled.
    async fn read(&mut self, wait: Duration, sent: time::Time) -> ReadEnd {
        let eras = self.reader.eras().clone();
        let position_era = self.position.era;
        let missing = missing_change(&mut self.known_change, &self.position, self.response_grace);
        let availability = self.availability.clone();
        let Some(after) = self.position.version() else {
            return tokio::select! {
                result = self.reader.read_all(self.topic) => ReadEnd::Answered(result),
                lost_before = availability.lost(sent) => ReadEnd::Lost(lost_before),
            };
        };
        tokio::select! {
            result = self.reader.read_changes(self.topic, after, wait) => ReadEnd::Answered(result),
            lost_before = availability.lost(sent) => ReadEnd::Lost(lost_before),
            () = self.read_now.notified(), if !wait.is_zero() => ReadEnd::ReadNow,
            () = missing, if !wait.is_zero() => ReadEnd::ReadNow,
            () = eras.newer_than(position_era), if position_era.is_some() && !wait.is_zero() => {
                timer::sleep(ERA_READ_DELAY).await;
                ReadEnd::ReadNow
            }
        }
    }

    /// Records the response to a read that was sent at `sent`, and returns the events to pass on.
    fn record_page(
        &mut self,
        page: adapter::RowPage,
        era: Option<era::Era>,
        sent: time::Time,
    ) -> Vec<feed_event::FeedEvent> {
        let now = boot_clock::now();
        let has_returned = self
            .availability
            .record(|table| self.schedule.record_answer(table, sent, now));
        if has_returned {
            info!(self.log, "table answers again; repeating what may be lost"; "topic" => self.topic.as_str());
        }
        let former = self.position.clone();
        if self.position.enter(era) {
            info!(self.log, "store era changed; starting over with a full read"; "topic" => self.topic.as_str(),
                "former" => former.era.map(|e| e.0), "era" => era.map(|e| e.0), "version" => page.version,
                "after" => former.version());
            if former.version().is_some() {
                return Vec::new();
            }
        }
        let mut events = Vec::new();
        if self.failed_reads > 0 {
            info!(self.log, "table is available again"; "topic" => self.topic.as_str(), "version" => page.version,
                "failed_reads" => self.failed_reads, "last_failed_sent_ms_ago" => elapsed_ms(self.last_failed),
                "sent_ms_ago" => elapsed_ms(sent));
            self.failed_reads = 0;
            events.push(feed_event::FeedEvent::Recovered);
        }
        let as_of = page
            .clock
            .map_or(sent, |reading| self.clock.to_local_time(sent, reading));
        events.push(self.position.advance(page, as_of));
        self.response_grace = if lacks(&self.known_change.borrow(), &self.position) {
            (self.response_grace * 2).min(MAX_RESPONSE_GRACE)
        } else {
            RESPONSE_GRACE
        };
        events
    }

    /// Records the failure of a read that was sent at `sent` and asked the table for `wait`, and returns the event for it if it
    /// is the first one.
    fn record_failure(
        &mut self,
        error: &reader::ReadError,
        wait: Duration,
        sent: time::Time,
    ) -> Option<feed_event::FeedEvent> {
        let now = boot_clock::now();
        if matches!(error, reader::ReadError::HistoryLost) {
            self.availability
                .record(|table| self.schedule.record_answer(table, sent, now));
            info!(self.log, "table no longer has the history after this version; starting over with a full read";
                "topic" => self.topic.as_str(), "after" => self.position.version());
            self.position.start_over();
            return None;
        }
        if matches!(error, reader::ReadError::Decode(_)) {
            self.position.start_over();
        }
        let failure = error.kind(wait);
        let has_gone = self
            .availability
            .record(|table| self.schedule.record_failure(table, failure, sent, now));
        self.failed_reads += 1;
        self.last_failed = sent;
        if self.failed_reads > 1 {
            return None;
        }
        warn!(self.log, "failed to read from the table; retrying"; "topic" => self.topic.as_str(),
            "addr" => %self.reader.addr(), "asked_wait_ms" => wait.as_millis() as u64,
            "sent_ms_ago" => elapsed_ms(sent), "begins_outage" => has_gone, "error" => %error);
        Some(feed_event::FeedEvent::Unavailable)
    }
}

/// Returns whether `change` was not read yet.
fn lacks(change: &KnownChange, position: &position::Position) -> bool {
    change.era == position.era && position.version().is_some_and(|version| version < change.version)
}

/// Waits until a change is known that was not read yet, and for the time in which its response may arrive.
async fn missing_change(
    known_change: &mut watch::Receiver<KnownChange>,
    position: &position::Position,
    response_grace: Duration,
) {
    if known_change.wait_for(|change| lacks(change, position)).await.is_err() {
        // Nobody tells of changes any more.
        std::future::pending::<()>().await;
    }
    timer::sleep(response_grace).await;
}

fn elapsed_ms(since: time::Time) -> u64 {
    boot_clock::now().since(since).as_millis() as u64
}
