//! Confirmations of the declarations, shared between the instances of a failure domain.
//!
//! Every read of the table has a cost, and an instance that honours keys must confirm every few seconds that no newer
//! declarations exist. Therefore one instance of each failure domain, the reader, reads often and sends its peers the
//! newest version together with the reading of the table's clock at which it was the newest. The other instances wait
//! for changes in long-polling calls, and read the table themselves when confirmations stop or name a newer version.
//!
//! Load condition addressed: failure domains of dozens of instances, whose combined reads would overload the table.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::spread;
use crate::time;

/// Upper bound of the interval between two reads of a reader.
const MAX_READER_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of a reader as a share of the revocation limit. More than half of the limit remains for delivering
/// confirmations and for failed calls.
const READER_INTERVAL_RATIO: f64 = 0.4;
/// Time beyond its interval after which a silent reader counts as failed: one call and one round of datagrams.
const READER_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Age of the last confirmation, beyond a reader's interval, at which an instance reads the table itself.
const CONFIRMATION_AGE_MARGIN: Duration = Duration::from_millis(750);
/// Period over which instances spread such reads, since confirmations stop for all of them at the same moment.
const READ_SPREAD: Duration = Duration::from_millis(150);
/// Minimum time between two such reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum relative drift between the table's clock and the instance's clock.
const MAX_CLOCK_DRIFT: f64 = 200e-6;

/// A confirmation that a reader sends to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Version of the declarations that was the newest.
    pub version: u64,
    /// Reading of the table's clock at which no newer version existed, in milliseconds.
    pub table_ms: u64,
    /// Era of the table in that reading, if it names eras.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
}

#[derive(Debug, Clone)]
struct Reader {
    name: Arc<str>,
    /// When a confirmation with a new reading last arrived from it.
    last_seen: time::Time,
    table_ms: u64,
}

/// Returns the interval between a reader's reads when a revoked key must stop being honoured within `revocation_limit`.
pub fn reader_interval(revocation_limit: Duration) -> Duration {
    revocation_limit.mul_f64(READER_INTERVAL_RATIO).min(MAX_READER_INTERVAL)
}

/// Tracks one instance's own reads of the declarations and the confirmations of its peers.
#[derive(Debug, Clone)]
pub struct ConfirmationWatch {
    instance: Arc<str>,
    /// Interval between two reads of a reader.
    interval: Duration,
    /// A local time, and a reading of the table's clock taken at that time or later.
    sample: Option<(time::Time, Duration)>,
    /// Readers of the failure domain whose names sort before this instance's name.
    readers: Vec<Reader>,
    /// When this instance last requested a read of its own.
    last_requested: Option<time::Time>,
}

impl ConfirmationWatch {
    /// Creates the state of `instance` in a failure domain whose reader reads every `interval`.
    pub fn new(instance: Arc<str>, interval: Duration) -> Self {
        Self {
            instance,
            interval,
            sample: None,
            readers: Vec::new(),
            last_requested: None,
        }
    }

    /// Records a read of this instance's own. The table's clock showed `reading` at `as_of` or later.
    pub fn record_read(&mut self, as_of: time::Time, reading: Duration) {
        self.sample = Some((as_of, reading));
    }

    /// Records a confirmation from a peer of the failure domain. A reading that was received before does not show that
    /// the peer still reads, so it doesn't keep the peer alive as a reader.
    pub fn record_peer(&mut self, peer: &Arc<str>, table_ms: u64, now: time::Time) {
        if *peer >= self.instance {
            return;
        }
        if let Some(reader) = self.readers.iter_mut().find(|r| r.name == *peer) {
            if reader.table_ms != table_ms {
                reader.last_seen = now;
                reader.table_ms = table_ms;
            }
        } else {
            self.readers.push(Reader {
                name: Arc::clone(peer),
                last_seen: now,
                table_ms,
            });
        }
    }

    /// Returns whether this instance is the reader of its failure domain, since no live reader has a name that sorts
    /// before its own.
    pub fn is_reader(&self, now: time::Time) -> bool {
        let timeout = self.interval + READER_TIMEOUT_MARGIN;
        !self.readers.iter().any(|r| now.since(r.last_seen) < timeout)
    }

    /// Converts a reading of the table's clock to a local time that is no later than the reading.
    ///
    /// Returns `None` when the reading can't be related to this instance's own last read.
    pub fn to_local_time(&self, reading: Duration, now: time::Time) -> Option<time::Time> {
        let (local, table) = self.sample?;
        // A reading from before the own read confirms nothing new. A result later than `now` means that the table's
        // clock was restarted since the own read.
        let since = reading.checked_sub(table)?;
        let at = local + since.mul_f64(1.0 - MAX_CLOCK_DRIFT);
        (at <= now).then_some(at)
    }

    /// Returns whether to read the table now, given the `age` of the last confirmation and whether the declarations are
    /// known to be `outdated`.
    pub fn should_read(&mut self, age: Option<Duration>, outdated: bool, now: time::Time) -> bool {
        let max_age = self.interval + CONFIRMATION_AGE_MARGIN + spread::delay(&self.instance, READ_SPREAD);
        let due = outdated || age.is_none_or(|age| age >= max_age);
        let requested_recently = self.last_requested.is_some_and(|at| now.since(at) < MIN_READ_INTERVAL);
        if due && !requested_recently {
            self.last_requested = Some(now);
        }
        due && !requested_recently
    }
}
