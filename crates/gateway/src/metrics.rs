//! Metrics of a gateway.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::crash_metrics;
use crate::registered;

/// The largest number of organisations with their own label. All others share [`OTHER_ORGANISATION`].
const MAX_ORGANISATIONS: usize = 50;
/// The label of organisations beyond [`MAX_ORGANISATIONS`].
const OTHER_ORGANISATION: &str = "other";
/// The label of requests without an organisation.
const NO_ORGANISATION: &str = "none";
/// The bucket bounds of the latency histograms, in seconds.
const SECONDS_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8.0];

/// The label of requests that another endpoint has taken over.
const TAKEN_OVER: SilentLabels = SilentLabels { result: "taken_over" };
/// The label of requests whose silent endpoint went on before that.
const WENT_ON: SilentLabels = SilentLabels { result: "went_on" };

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SilentLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    organisation: String,
    kind: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    status: u16,
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
}

/// The metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    first_byte: Family<Labels, Histogram, fn() -> Histogram>,
    whole: Family<Labels, Histogram, fn() -> Histogram>,
    outcomes: Family<OutcomeLabels, Counter>,
    repeated_sends: Counter,
    withheld_repeats: Counter,
    silent_attempts: Family<SilentLabels, Counter>,
    connects: Counter,
    /// Metrics of crashes of endpoints.
    pub(crate) crashes: crash_metrics::CrashMetrics,
    withheld_requests: Family<CauseLabels, Counter>,
    pauses: Counter,
    paused_endpoints: Gauge,
    leaving_endpoints: Gauge,
    table_era: Gauge,
    endpoint_list_age: Gauge,
    held_response_bytes: Gauge,
    open_responses: Counter,
    forgotten_withdrawals: Counter,
    /// The organisations with their own label, sorted.
    organisations: RefCell<Vec<Arc<str>>>,
}

fn histogram() -> Histogram {
    Histogram::new(SECONDS_BUCKETS)
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("sycamorestile_gateway");
        let first_byte = Family::new_with_constructor(histogram as fn() -> Histogram);
        let whole = Family::new_with_constructor(histogram as fn() -> Histogram);
        Self {
            first_byte: registered::registered(
                &mut registry,
                "first_byte_seconds",
                "Time to the first byte of a response",
                first_byte,
            ),
            whole: registered::registered(&mut registry, "whole_seconds", "Time to the end of a response", whole),
            outcomes: registered::new(&mut registry, "requests", "Requests by status and reason"),
            repeated_sends: registered::new(
                &mut registry,
                "repeated_sends",
                "Requests sent to another endpoint after a failed attempt",
            ),
            withheld_repeats: registered::new(
                &mut registry,
                "withheld_repeats",
                "Requests not sent to another endpoint because the retry budget was used up",
            ),
            silent_attempts: registered::new(
                &mut registry,
                "silent_attempts",
                "Attempts that went silent, by what became of their requests",
            ),
            connects: registered::new(&mut registry, "connects", "Connections opened to endpoints"),
            crashes: crash_metrics::CrashMetrics::new(&mut registry),
            withheld_requests: registered::new(
                &mut registry,
                "withheld_requests",
                "Requests refused because no endpoint takes requests from this instance, by cause",
            ),
            pauses: registered::new(&mut registry, "endpoint_pauses", "Pauses that endpoints have asked for"),
            held_response_bytes: registered::new(
                &mut registry,
                "held_response_bytes",
                "Bytes of responses that wait for their callers",
            ),
            open_responses: registered::new(
                &mut registry,
                "open_responses",
                "Responses that were forwarded while they were read, for want of room",
            ),
            table_era: registered::new(
                &mut registry,
                "table_era",
                "How often the platform's table has come back from an older copy, as the table counts it",
            ),
            endpoint_list_age: registered::new(
                &mut registry,
                "endpoint_list_age_milliseconds",
                "Time since which changes of endpoints may be unknown, by this gateway's own reads and those of its peers",
            ),
            paused_endpoints: registered::new(
                &mut registry,
                "paused_endpoints",
                "Endpoints that have asked for a pause that still runs",
            ),
            leaving_endpoints: registered::new(
                &mut registry,
                "leaving_endpoints",
                "Endpoints that have said that they leave",
            ),
            forgotten_withdrawals: registered::new(
                &mut registry,
                "forgotten_withdrawals",
                "Withdrawals of unlisted endpoints that were forgotten for want of room",
            ),
            registry,
            organisations: RefCell::default(),
        }
    }

    /// Records the time to the first byte of a response.
    pub(crate) fn observe_first_byte(&self, organisation: Option<&Arc<str>>, kind: &str, took: Duration) {
        let labels = self.labels(organisation, kind);
        self.first_byte.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Records the time to the end of a response.
    pub(crate) fn observe_whole(&self, organisation: Option<&Arc<str>>, kind: &str, took: Duration) {
        let labels = self.labels(organisation, kind);
        self.whole.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts a request by its response status and the reason for that status.
    pub(crate) fn record_outcome(&self, status: u16, reason: &str) {
        let labels = OutcomeLabels {
            status,
            reason: reason.to_owned(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts a request that is sent to another endpoint after a failed attempt.
    pub(crate) fn record_taken_over(&self) {
        self.silent_attempts.get_or_create(&TAKEN_OVER).inc();
    }

    pub(crate) fn record_kept_attempt(&self) {
        self.silent_attempts.get_or_create(&WENT_ON).inc();
    }

    pub(crate) fn record_repeated_send(&self) {
        self.repeated_sends.inc();
    }

    /// Counts a request that is not sent to another endpoint because the retry budget is used up.
    pub(crate) fn record_withheld_repeat(&self) {
        self.withheld_repeats.inc();
    }

    /// Counts a connection that was opened to an endpoint.
    pub(crate) fn record_connect(&self) {
        self.connects.inc();
    }

    /// Sets the number of bytes of responses that wait for their callers.
    pub(crate) fn set_held_response_bytes(&self, count: usize) {
        self.held_response_bytes.set(count as i64);
    }

    /// Counts a response that is forwarded while it is read.
    pub(crate) fn record_open_response(&self) {
        self.open_responses.inc();
    }

    /// Counts a request that is refused because no endpoint takes requests from this instance.
    pub(crate) fn record_withheld_request(&self, cause: &str) {
        let labels = CauseLabels {
            cause: cause.to_owned(),
        };
        self.withheld_requests.get_or_create(&labels).inc();
    }

    /// Counts a pause that an endpoint has asked for.
    pub(crate) fn record_pause(&self) {
        self.pauses.inc();
    }

    /// Sets the number of paused and of leaving endpoints.
    pub(crate) fn set_withdrawn(&self, paused: usize, leaving: usize) {
        self.paused_endpoints.set(paused as i64);
        self.leaving_endpoints.set(leaving as i64);
    }

    /// Sets the table's era.
    pub(crate) fn set_table_era(&self, era: u64) {
        self.table_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the time since which changes of endpoints may be unknown.
    pub(crate) fn set_endpoint_list_age(&self, age: Duration) {
        self.endpoint_list_age
            .set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
    }

    /// Counts withdrawals that were forgotten for want of room.
    pub(crate) fn record_forgotten_withdrawals(&self, count: usize) {
        self.forgotten_withdrawals.inc_by(count as u64);
    }

    /// Returns all metrics in the text exposition format.
    pub(crate) fn text(&self) -> String {
        let mut buf = String::new();
        // Writing to a string can't fail.
        let _written = text::encode(&mut buf, &self.registry);
        buf
    }

    fn labels(&self, organisation: Option<&Arc<str>>, kind: &str) -> Labels {
        let organisation = organisation.map_or(NO_ORGANISATION, |name| self.organisation_label(name));
        Labels {
            organisation: organisation.to_owned(),
            kind: kind.to_owned(),
        }
    }

    /// Returns the label of an organisation, and gives it its own label if there is one left.
    fn organisation_label<'a>(&self, name: &'a Arc<str>) -> &'a str {
        let mut known = self.organisations.borrow_mut();
        match known.binary_search(name) {
            Ok(_) => name,
            Err(at) if known.len() < MAX_ORGANISATIONS => {
                known.insert(at, Arc::clone(name));
                name
            }
            Err(_) => OTHER_ORGANISATION,
        }
    }
}
