//! Which version of the declarations any instance has accepted, so that an older one that the table holds again isn't taken for the
//! newest.
//!
//! A table that comes back from an older copy holds older declarations until operators write theirs again. An instance that
//! runs keeps the newer ones. One that has just started, or had not read them yet, can only know from others. It asks a few
//! before it relies on what it reads, and for a bounded time, since they may all be out of reach.

use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Number of peers that are asked at a time, and of those that have started as lately and agree, which is enough.
pub const ASKED_PEERS: usize = 3;
/// Longest time for which an instance asks others before it relies on its own reads alone.
const ASK_TIME: Duration = Duration::from_secs(1);

/// What another instance tells of the declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// The version that it has accepted.
    pub version: u64,
    /// Whether it has started lately and can't rely on its own reads yet.
    pub is_starting: bool,
}

/// What an instance knows of the versions that others have accepted.
#[derive(Debug, Clone, Default)]
pub struct AcceptedVersions {
    /// The newest version that another instance has accepted, and when this one was first told of it.
    newest: Option<(u64, time::Time)>,
    /// Whether enough others have answered, or there are none.
    is_settled: bool,
    /// The instances that have answered and have started lately themselves.
    starting: Vec<Arc<str>>,
    /// Number of other instances, as far as they are known.
    others: usize,
    /// When this instance first read the declarations.
    first_read: Option<time::Time>,
}

impl AcceptedVersions {
    /// Records what the instance `peer` tells.
    pub fn record_peer(&mut self, peer: &Arc<str>, told: Told, now: time::Time) {
        if self.newest.is_none_or(|(newest, _)| newest < told.version) {
            self.newest = Some((told.version, now));
        }
        if !told.is_starting {
            self.is_settled = true;
        } else if !self.is_settled && !self.starting.contains(peer) {
            self.starting.push(Arc::clone(peer));
            self.is_settled = self.starting.len() >= self.others.min(ASKED_PEERS);
        }
    }

    /// Records that there are `count` other instances.
    pub fn record_others(&mut self, count: usize) {
        self.others = count;
        self.is_settled |= count == 0;
    }

    /// Returns until when others are to be asked, if they are.
    pub fn asks_until(&self) -> Option<time::Time> {
        self.first_read.filter(|_| !self.is_settled).map(|at| at + ASK_TIME)
    }

    /// Returns whether this instance may rely on what it reads.
    pub fn may_rely(&self, now: time::Time) -> bool {
        self.is_settled || self.asks_until().is_some_and(|until| now >= until)
    }

    /// Records a read of `version` that was current at `as_of`. Returns whether it confirms that the version is the newest.
    pub fn record_read(&mut self, version: u64, as_of: time::Time, now: time::Time) -> bool {
        self.first_read.get_or_insert(now);
        self.may_rely(now) && !self.contradicts(version, as_of)
    }

    /// Returns whether another instance has accepted a newer version than the table held at `as_of`, after that was known here.
    pub fn contradicts(&self, version: u64, as_of: time::Time) -> bool {
        self.newest
            .is_some_and(|(newest, told_at)| newest > version && as_of >= told_at)
    }

    /// Returns the newest version that another instance has accepted.
    pub fn newest(&self) -> Option<u64> {
        self.newest.map(|(version, _)| version)
    }
}
