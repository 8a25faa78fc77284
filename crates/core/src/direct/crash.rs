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

    /// Adds a suspect that the crash doesn't have.
    pub(super) fn add_suspect(&mut self, suspect: &Arc<str>, owner: owner::Owner) {
        let at = self.suspects.partition_point(|s| s < suspect);
        self.suspects.insert(at, Arc::clone(suspect));
        self.owners.insert(at, owner);
    }

    /// Removes the first suspect for which `may_go` returns `true`. Returns whether there is one.
    pub(super) fn remove_suspect<F>(&mut self, may_go: F) -> bool
    where
        F: Fn(&Arc<str>) -> bool,
    {
        let Some(at) = self.suspects.iter().position(may_go) else {
            return false;
        };
        self.suspects.remove(at);
        self.owners.remove(at);
        true
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
