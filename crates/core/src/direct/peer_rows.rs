//! Which instances' rows in the table count.
//!
//! An instance that was removed for good leaves its row behind. If such rows counted for ever, the others' shares of what
//! they divide would shrink with each of them, and datagrams would go to addresses that others may use by now. So
//! instances renew their rows, and a row that isn't renewed for long counts no more. An instance that can't renew its own
//! must stop using what it shares with the others before that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Time after which an instance writes its row again. With 800 instances, each read of a renewal by all others makes 30
/// reads a second.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Time without renewal, while the table could be read, after which a row counts no more.
const LEASE: Duration = Duration::from_secs(24 * 3_600);
/// Time without renewal after which an instance no longer relies on its own row.
const OWN_LEASE: Duration = Duration::from_secs(23 * 3_600);

/// The row of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRow {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address for datagrams.
    pub addr: SocketAddr,
    /// Version of the row. It changes with each renewal.
    pub version: u64,
    /// For how long the table could be read since this version was seen first.
    age: Duration,
}

/// The rows that count.
#[derive(Debug, Clone, Default)]
pub struct PeerRows {
    /// Sorted by instance.
    rows: Vec<PeerRow>,
}

impl PeerRows {
    /// Returns the rows, sorted by instance.
    pub fn all(&self) -> &[PeerRow] {
        &self.rows
    }

    /// Adds a row that was read, or renews it if its version is another one.
    pub fn put(&mut self, instance: &Arc<str>, addr: SocketAddr, version: u64) {
        let row = PeerRow {
            instance: Arc::clone(instance),
            addr,
            version,
            age: Duration::ZERO,
        };
        match self.position(instance) {
            Ok(at) if self.rows[at].version == version => self.rows[at].addr = addr,
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Removes the row of `instance`.
    pub fn remove(&mut self, instance: &str) {
        if let Ok(at) = self.position(instance) {
            self.rows.remove(at);
        }
    }

    /// Keeps only the rows of instances for which `is_listed` returns `true`.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.rows.retain(|row| is_listed(&row.instance));
    }

    /// Records that the table could be read for `elapsed` more, and takes the rows that count no more.
    pub fn take_expired(&mut self, elapsed: Duration) -> Vec<PeerRow> {
        for row in &mut self.rows {
            row.age += elapsed;
        }
        self.rows.extract_if(.., |row| row.age >= LEASE).collect()
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.instance.as_ref().cmp(instance))
    }
}

/// Returns whether an instance whose own row was last written at `written` still counts for all others.
pub fn counts_for_others(written: Option<time::Time>, now: time::Time) -> bool {
    written.is_some_and(|at| now.since(at) < OWN_LEASE)
}
