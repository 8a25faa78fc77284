//! How far a feed has read.

use sycamorestile_core::direct::topic_relay;
use sycamorestile_core::time;

use crate::adapter;
use crate::era;
use crate::feed_event;

/// How far a feed has read.
#[derive(Debug, Clone, Default)]
pub struct Position {
    /// The version after which changes are read next, or `None` if all rows are.
    version: Option<u64>,
    /// The version of the newest change that was read, or of the last full read if that is later: it does not show rows that
    /// were removed before.
    newest_change: u64,
    /// The era of that version, or `None` until a response has named one.
    pub(crate) era: Option<era::Era>,
    /// Whether the next full read is the first one of an era.
    is_restored: bool,
}

impl Position {
    /// Moves on to the era of a response. Returns whether it follows another one, whose versions mean nothing any more.
    pub fn enter(&mut self, era: Option<era::Era>) -> bool {
        if era <= self.era {
            return false;
        }
        let is_later = self.era.is_some();
        self.era = era;
        self.is_restored |= is_later;
        if is_later {
            self.version = None;
            self.newest_change = 0;
        }
        is_later
    }

    /// Returns the version after which changes are read next, or `None` if all rows are.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Makes the next read a full one, since changes may have been missed.
    pub fn start_over(&mut self) {
        self.version = None;
    }

    /// Moves on to the version of `page`, whose rows were current at `as_of`, and returns the event for them.
    pub fn advance(&mut self, page: adapter::RowPage, as_of: time::Time) -> feed_event::FeedEvent {
        let version = page.version.max(self.version.unwrap_or_default());
        let former = self.version.replace(version);
        let newest_row = page.rows.iter().map(|row| row.version).max();
        let newest = if former.is_none() { Some(version) } else { newest_row };
        self.newest_change = self.newest_change.max(newest.unwrap_or_default());
        let read = topic_relay::TopicRead {
            as_of,
            clock: page.clock,
            version,
            newest_change: self.newest_change,
            era: self.era.map(|era| era.0),
        };
        let rows = page.rows;
        match former {
            None => feed_event::FeedEvent::Snapshot {
                is_restored: std::mem::take(&mut self.is_restored),
                read,
                rows,
            },
            Some(_) => feed_event::FeedEvent::Changes { read, rows },
        }
    }
}
