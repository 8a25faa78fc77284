//! What a feed tells its reader.

use sycamorestile_core::direct::topic_relay;

use crate::adapter;

/// Event of a feed.
#[derive(Debug)]
pub enum FeedEvent {
    /// All rows, from a full read.
    Snapshot {
        /// Whether this is the first read of an era, in which rows may be missing that are about to be written again.
        is_restored: bool,
        /// Up to when the rows are complete.
        read: topic_relay::TopicRead,
        /// The rows.
        rows: Vec<adapter::Row>,
    },
    /// Changes since the previous event, possibly none.
    Changes {
        /// Up to when the changes are complete.
        read: topic_relay::TopicRead,
        /// The changes, in order.
        rows: Vec<adapter::Row>,
    },
    /// The table became unavailable: a request failed.
    Unavailable,
    /// The table is available again: a request succeeded after failed ones.
    Recovered,
}
