//! Metrics of endpoints that crash, and of what is quarantined for it.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::registered;

/// Metrics of crashes of endpoints.
pub(crate) struct CrashMetrics {
    crashes: Counter,
    quarantined_segments: Gauge,
    quarantined_requests: Gauge,
    quarantine_tests: Counter,
    dropped_quarantines: Counter,
    left_out_suspects: Counter,
}

impl CrashMetrics {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        Self {
            crashes: registered::new(
                registry,
                "endpoint_crashes",
                "Reports of endpoints that crashed at the beginning of a response",
            ),
            quarantined_segments: registered::new(
                registry,
                "quarantined_segments",
                "Prompt segments that are quarantined because endpoints crash on them",
            ),
            quarantined_requests: registered::new(
                registry,
                "quarantined_requests",
                "Requests, by their content, that are quarantined because endpoints crash on them",
            ),
            quarantine_tests: registered::new(
                registry,
                "quarantine_tests",
                "Requests that were sent to test whether what is quarantined crashes endpoints",
            ),
            dropped_quarantines: registered::new(
                registry,
                "dropped_quarantines",
                "Quarantines that ended early or were not kept for want of room",
            ),
            left_out_suspects: registered::new(
                registry,
                "crash_suspects_left_out",
                "Suspects of crashes that are not judged for want of room",
            ),
        }
    }

    /// Counts a report of a crash that is news.
    pub(crate) fn record_crash(&self) {
        self.crashes.inc();
    }

    /// Sets the number of quarantined segments.
    pub(crate) fn set_quarantined_segments(&self, count: usize) {
        self.quarantined_segments.set(count as i64);
    }

    /// Sets the number of quarantined requests.
    pub(crate) fn set_quarantined_requests(&self, count: usize) {
        self.quarantined_requests.set(count as i64);
    }

    /// Counts a request that tests a quarantine.
    pub(crate) fn record_test(&self) {
        self.quarantine_tests.inc();
    }

    /// Counts quarantines that ended early or were not kept for want of room.
    pub(crate) fn record_dropped_quarantines(&self, count: u64) {
        self.dropped_quarantines.inc_by(count);
    }

    /// Counts suspects of crashes that are not judged for want of room.
    pub(crate) fn record_left_out_suspects(&self, count: u64) {
        self.left_out_suspects.inc_by(count);
    }
}
