//! What one instance knows of a topic that the instances of a failure domain read for each other.
//!
//! One instance of each failure domain, the reader, polls the topic often and tells its peers the version of the newest
//! change. The others wait for changes in long polls. One that lacks a change of which the reader tells reads at once, so a
//! poll that was lost blinds it no longer than the reader; and so does one that is not told for long.
//!
//! Load condition addressed: hundreds of instances that must each know of changes within seconds, also when their polls are
//! lost.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::confirmation;
use crate::time;

/// A response with all changes of the topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicRead {
    /// Local time up to which all changes are included.
    pub as_of: time::Time,
    /// Reading of the table's clock at that time or later, if the table has one.
    pub clock: Option<Duration>,
    /// Version of the table up to which all changes are included.
    pub version: u64,
    /// Version of the newest change of the topic that is known.
    pub newest_change: u64,
    /// Era of the table, if it names eras.
    pub era: Option<u64>,
}

/// What an instance knows of a topic.
#[derive(Debug, Clone)]
pub struct TopicRelay {
    confirmations: confirmation::ConfirmationWatch,
    /// The last read of this instance.
    last_read: Option<TopicRead>,
    /// Latest local time up to which this instance knows all changes.
    confirmed_at: Option<time::Time>,
}

impl TopicRelay {
    /// Creates the state of `instance` in a failure domain whose reader reads every `interval`.
    pub fn new(instance: Arc<str>, interval: Duration) -> Self {
        Self {
            confirmations: confirmation::ConfirmationWatch::new(instance, interval),
            last_read: None,
            confirmed_at: None,
        }
    }

    /// Records a read of this instance.
    pub fn record_read(&mut self, read: TopicRead) {
        if let Some(clock) = read.clock {
            self.confirmations.record_read(read.as_of, clock);
        }
        self.confirmed_at = self.confirmed_at.max(Some(read.as_of));
        self.last_read = Some(read);
    }

    /// Records what `peer` has read. Returns the version that this instance must read up to, if it lacks a change.
    pub fn record_peer(&mut self, peer: &Arc<str>, told: &confirmation::Confirmation, now: time::Time) -> Option<u64> {
        self.confirmations.record_peer(peer, told.table_ms, now);
        let own = self.last_read.filter(|read| read.era == told.era)?;
        if told.version > own.version {
            return Some(told.version);
        }
        let reading = Duration::from_millis(told.table_ms);
        self.confirmed_at = self.confirmed_at.max(self.confirmations.to_local_time(reading, now));
        None
    }

    /// Returns whether this instance is the reader of its failure domain.
    pub fn is_reader(&self, now: time::Time) -> bool {
        self.confirmations.is_reader(now)
    }

    /// Returns whether to read now, since this instance was not told for long. `returned_at` is when the table answered again
    /// after the last outage: all feeds are then read again, and the reader tells of its reads a little later.
    pub fn should_read(&mut self, returned_at: Option<time::Time>, now: time::Time) -> bool {
        let Some(confirmed_at) = self.confirmed_at else {
            return false;
        };
        let counted_from = returned_at.map_or(confirmed_at, |at| at.max(confirmed_at));
        self.confirmations
            .should_read(Some(now.since(counted_from)), false, now)
    }

    /// Returns the local time up to which this instance knows all changes.
    pub fn confirmed_at(&self) -> Option<time::Time> {
        self.confirmed_at
    }

    /// Returns what this instance tells its peers.
    pub fn own_confirmation(&self) -> Option<confirmation::Confirmation> {
        let read = self.last_read?;
        Some(confirmation::Confirmation {
            version: read.newest_change,
            table_ms: read.clock?.as_millis() as u64,
            era: read.era,
        })
    }
}
