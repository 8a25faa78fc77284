//! What gateways tell each other about endpoints.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorestile_core::direct::{crash_facts, crash_record, merged, rate_limits};
use sycamorestile_table::boot_clock;

use crate::context;
use crate::crash_watch;

/// What gateways tell each other about endpoints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct EndpointFacts {
    /// Whether the facts reply to another datagram. Two gateways that each keep something that the other has no room for
    /// would otherwise reply to each other without end.
    #[serde(default)]
    pub(crate) is_reply: bool,
    /// Crashes with the segments of prompts that may have caused them.
    pub(crate) crashes: crash_facts::CrashFacts,
    /// Crashes with the contents of requests that may have caused them.
    #[serde(default)]
    pub(crate) request_crashes: crash_facts::CrashFacts,
    #[serde(default)]
    pub(crate) limits: Vec<rate_limits::LimitFact>,
}

impl EndpointFacts {
    /// Returns all that fits into a datagram.
    pub(crate) fn collect(cx: &context::GatewayContext) -> Self {
        let now = boot_clock::now();
        let mut crashes = cx.crashes.borrow_mut();
        Self {
            is_reply: false,
            crashes: crashes.facts(crash_record::Suspect::Segment, now),
            request_crashes: crashes.facts(crash_record::Suspect::Request, now),
            limits: cx.restrictions.borrow_mut().rate_limits.facts(now),
        }
    }

    /// Returns all that fits into a row of the table.
    pub(crate) fn collect_for_table(cx: &context::GatewayContext) -> Self {
        let now = boot_clock::now();
        let mut facts = Self::collect(cx);
        let mut crashes = cx.crashes.borrow_mut();
        facts.crashes = crashes.facts_for_table(crash_record::Suspect::Segment, now);
        facts.request_crashes = crashes.facts_for_table(crash_record::Suspect::Request, now);
        facts
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.request_crashes.is_empty() && self.limits.is_empty()
    }

    /// Merges these facts, which were told `elapsed` ago, into what this gateway knows.
    pub(crate) fn merge_into(&self, cx: &context::GatewayContext, elapsed: Duration) -> merged::Merged {
        let now = boot_clock::now();
        let crashes = crash_watch::update(cx, |crashes| {
            // Requests first, so that a content that comes again isn't held against segments.
            let of_requests = crashes.merge(crash_record::Suspect::Request, &self.request_crashes, elapsed, now);
            let of_segments = crashes.merge(crash_record::Suspect::Segment, &self.crashes, elapsed, now);
            of_requests.and(of_segments)
        });
        let limits = cx
            .restrictions
            .borrow_mut()
            .rate_limits
            .merge(&self.limits, elapsed, now);
        crashes.and(limits)
    }
}
