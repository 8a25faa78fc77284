//! A crash of an endpoint, and the segments of prompts that may have caused it.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::{crash_facts, owner};
use crate::time;

/// Period within which reports of one endpoint concern the same crash. An instance that was suspended reports late.
const SAME_CRASH: Duration = Duration::from_secs(10);

/// A crash of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    pub(super) endpoint: Arc<str>,
    /// The earliest time reported.
    pub(super) at: time::Time,
    /// Segments of the requests that the endpoint had just begun, sorted.
    pub(super) suspects: Vec<Arc<str>>,
    /// The organisation whose request had each suspect, in the same order.
    pub(super) owners: Vec<owner::Owner>,
}

impl Crash {
    /// Returns whether `suspect` may have caused the crash.
    pub(super) fn has_suspect(&self, suspect: &Arc<str>) -> bool {
        self.suspects.binary_search(suspect).is_ok()
    }

    /// Returns the organisation whose request had `suspect`.
    pub(super) fn owner_of(&self, suspect: &Arc<str>) -> Option<owner::Owner> {
        let at = self.suspects.binary_search(suspect).ok()?;
        self.owners.get(at).copied()
    }

    /// Returns whether a report of `endpoint` at the time `at` concerns this crash.
    pub(super) fn is_same(&self, endpoint: &Arc<str>, at: time::Time) -> bool {
        self.endpoint == *endpoint && at.since(self.at).max(self.at.since(at)) < SAME_CRASH
    }

    /// Returns whether `facts`, told `elapsed` ago, contain this crash with all its suspects.
    pub(super) fn is_covered_by(&self, facts: &crash_facts::CrashFacts, now: time::Time, elapsed: Duration) -> bool {
        facts.crashes.iter().any(|fact| {
            let age = Duration::from_millis(fact.age_ms) + elapsed;
            let difference = age.abs_diff(now.since(self.at));
            fact.endpoint == self.endpoint
                && difference < SAME_CRASH
                && self.suspects.iter().all(|s| fact.suspects.contains(s))
        })
    }
}
