//! Decides which single requests test whether a quarantined suspect crashes endpoints.
//!
//! Load condition addressed: sound requests share a suspect with those that crash endpoints, and no answer has proved it
//! sound, since all instances have restarted or the suspect is new. Once it is quarantined, nothing with it is sent, so that
//! no answer can prove it sound any more.
//!
//! A crash tells the suspects apart that its request had from those that it lacked. So a request is let through that lacks
//! some of those which explain the crashes equally well. The turns to do so pass among the instances, which need not
//! agree on more than who is live: where they don't, two of them may test at the same time.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::crash_evidence::shifted;
use crate::rendezvous;
use crate::time;

/// Time from the last crash until a suspect is tested while others may be to blame.
const DELAY: Duration = Duration::from_secs(1);
/// The same for a suspect that alone explains the crashes.
const LATE_DELAY: Duration = Duration::from_secs(60);
/// Age of an instance up to which it has seen too few answers to believe that a suspect alone explains the crashes.
const LEARNING_TIME: Duration = Duration::from_secs(15);
/// Length of a turn. A crash is known to all instances by its end.
const TURN: Duration = Duration::from_secs(2);
/// Number of instances of which one has a turn at the same time.
const INSTANCES_PER_TURN: usize = 16;
/// Time within which a test shows a result.
const RESULT_TIME: Duration = Duration::from_secs(3);

/// Which requests may test a quarantined suspect, and from when on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// On the clock of the evidence.
    last_crash_at: time::Time,
    /// A request must lack one of these, if there are any. Suspects share the list.
    partners: Arc<[Arc<str>]>,
    /// A request must lack all of these.
    rivals: Vec<Arc<str>>,
}

impl Terms {
    /// Returns the terms for a suspect that explains crashes, the last of them at `last_crash_at`, as well as its `partners`
    /// do.
    pub(super) fn with_partners(partners: Arc<[Arc<str>]>, last_crash_at: time::Time) -> Self {
        Self {
            last_crash_at,
            partners,
            rivals: Vec::new(),
        }
    }

    /// Returns the terms for a suspect that explains crashes alone. `rivals` may be to blame for some of them.
    pub(super) fn alone(rivals: Vec<Arc<str>>, last_crash_at: time::Time) -> Self {
        Self {
            last_crash_at,
            partners: Arc::default(),
            rivals,
        }
    }

    /// Returns whether a request with the suspects `identifiers`, which are sorted, tells the suspect apart from the others.
    pub(super) fn allow(&self, identifiers: &[Arc<str>]) -> bool {
        let has = |s: &Arc<str>| identifiers.binary_search(s).is_ok();
        let lacks_partner = self.partners.is_empty() || !self.partners.iter().all(has);
        lacks_partner && !self.rivals.iter().any(has)
    }

    /// Returns whether these are the terms of a partner of `other`, which allow the same requests.
    pub(super) fn are_shared_with(&self, other: &Self) -> bool {
        self.has_partners() && Arc::ptr_eq(&self.partners, &other.partners)
    }

    /// Returns whether the suspect can be tested together with others.
    pub(super) fn has_partners(&self) -> bool {
        !self.partners.is_empty()
    }

    /// Returns the time from which on a request of `instances` may test the suspect, on the clock of the evidence.
    pub(super) fn since(&self, instances: &Instances<'_>) -> time::Time {
        let is_new = self.last_crash_at < shifted(instances.started) + LEARNING_TIME;
        let is_open = self.has_partners() || (!self.rivals.is_empty() && is_new);
        self.last_crash_at + if is_open { DELAY } else { LATE_DELAY }
    }

    /// Returns when a refused caller should come back, if a test may have cleared the suspect by then.
    pub(super) fn wait(&self, now: time::Time) -> Option<Duration> {
        self.has_partners()
            .then(|| (self.last_crash_at + DELAY).since(now) + RESULT_TIME)
    }
}

/// The instances that test suspects in turn.
#[derive(Debug, Clone, Copy)]
pub struct Instances<'a> {
    /// Name of this instance.
    pub own: &'a str,
    /// Names of the other live instances.
    pub peers: &'a [Arc<str>],
    /// When this instance started.
    pub started: time::Time,
}

impl Instances<'_> {
    /// Returns whether this instance may test `suspect` at the time `now`, if tests began at `since`.
    pub(super) fn has_turn(&self, suspect: &str, since: time::Time, now: time::Time) -> bool {
        let turn = now.since(since).as_micros() / TURN.as_micros();
        let key = format!("{suspect}/{turn}");
        let own = rendezvous::weight(key.as_bytes(), &self.own);
        let is_before = |peer: &&Arc<str>| rendezvous::weight(key.as_bytes(), *peer) > own;
        let testers = self.peers.len() / INSTANCES_PER_TURN + 1;
        self.peers.iter().filter(is_before).count() < testers
    }
}
