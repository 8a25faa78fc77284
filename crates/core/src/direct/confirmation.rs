//! Confirmations of the declarations that instances take over from each other.
//!
//! Every read of the table is paid for, and an instance that honours keys has to know every few seconds that no newer
//! declarations exist. One instance of a failure domain therefore reads often and tells the others which version was the
//! newest at which reading of the table's clock. The others wait for changes in long calls, and read for themselves when
//! they hear nothing, or of a newer version.
//!
//! The load it answers: domains of dozens of instances, whose reads would wear the table out.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time;

/// Longest interval of a reader.
const MAX_READER_INTERVAL: Duration = Duration::from_secs(2);
/// Part of the time within which a revoked key must stop that a reader's interval takes. More than half of it is left for
/// the way of a confirmation and for failed calls.
const READER_INTERVAL_RATIO: f64 = 0.4;
/// Silence beyond its interval after which a reader no longer counts: a call and a round of datagrams.
const READER_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Age of the last confirmation, beyond a reader's interval, at which an instance reads for itself.
const CONFIRMATION_AGE_MARGIN: Duration = Duration::from_millis(900);
/// Time between two such reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(800);
/// Rate by which the table's clock and the instance's may drift apart.
const MAX_CLOCK_DRIFT: f64 = 200e-6;

/// What a reader tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Version of the declarations.
    pub version: u64,
    /// Reading of the table's clock at which no newer ones existed, in milliseconds.
    pub table_ms: u64,
}

#[derive(Debug, Clone)]
struct Reader {
    name: Arc<str>,
    /// When it was heard with a reading that was new.
    last_seen: time::Time,
    table_ms: u64,
}

/// Interval of a reader when a revoked key must stop within `revocation_limit`.
pub fn reader_interval(revocation_limit: Duration) -> Duration {
    revocation_limit.mul_f64(READER_INTERVAL_RATIO).min(MAX_READER_INTERVAL)
}

/// What one instance knows of its own reads and of other readers.
#[derive(Debug, Clone)]
pub struct ConfirmationWatch {
    instance: Arc<str>,
    /// Interval of a reader.
    interval: Duration,
    /// A time on this instance's line and the reading of the table's clock at that time or later.
    sample: Option<(time::Time, Duration)>,
    /// Readers of the failure domain whose names come before the own one.
    readers: Vec<Reader>,
    /// When a read was last asked for.
    last_requested: Option<time::Time>,
}

impl ConfirmationWatch {
    /// The watch of instance `instance` in a domain whose readers read every `interval`.
    pub fn new(instance: Arc<str>, interval: Duration) -> Self {
        Self {
            instance,
            interval,
            sample: None,
            readers: Vec::new(),
            last_requested: None,
        }
    }

    /// Notes an own read: the table's clock showed `reading` no earlier than at `as_of`.
    pub fn record_read(&mut self, as_of: time::Time, reading: Duration) {
        self.sample = Some((as_of, reading));
    }

    /// Notes that a peer of the failure domain told of a read of its own. A reading that is told again says nothing about
    /// whether the peer still reads.
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

    /// Whether this instance reads often, since nobody before it in the order of names does.
    pub fn is_reader(&self, now: time::Time) -> bool {
        let timeout = self.interval + READER_TIMEOUT_MARGIN;
        !self.readers.iter().any(|r| now.since(r.last_seen) < timeout)
    }

    /// A time that is no later than when the table's clock showed `reading`; `None` when that can't be told.
    pub fn to_local_time(&self, reading: Duration, now: time::Time) -> Option<time::Time> {
        let (local, table) = self.sample?;
        // What lies before the own read is of no use, and a clock that runs ahead began anew since.
        let since = reading.checked_sub(table)?;
        let at = local + since.mul_f64(1.0 - MAX_CLOCK_DRIFT);
        (at <= now).then_some(at)
    }

    /// Whether to read now, given the age of the last confirmation and whether a newer version is known to exist.
    pub fn should_read(&mut self, age: Option<Duration>, outdated: bool, now: time::Time) -> bool {
        let due = outdated || age.is_none_or(|age| age >= self.interval + CONFIRMATION_AGE_MARGIN);
        let requested_recently = self.last_requested.is_some_and(|at| now.since(at) < MIN_READ_INTERVAL);
        if due && !requested_recently {
            self.last_requested = Some(now);
        }
        due && !requested_recently
    }
}
