//! Metrics of a daemon.
//!
//! Histograms are labelled by organisation and class. With 20,000 organisations, one series for each would exceed the
//! memory of the instance. Up to a limit, the first organisations that send calls therefore get their own label, and
//! all others share the label `other`.

use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use sycamorestile_core::class;
use sycamorestile_core::name;

/// Content type of the metrics page.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of organisations with their own label.
const MAX_OWN_LABELS: usize = 64;
/// Label shared by all other organisations.
const OTHER_LABEL: &str = "other";
/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.25, 0.48, 1.0, 2.5, 10.0, 30.0,
];

/// Labels of a histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallerLabels {
    organisation: String,
    class: &'static str,
}

/// Labels of the outcome counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
    cause: &'static str,
}

type Histograms = Family<CallerLabels, Histogram, fn() -> Histogram>;

/// Metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Organisations with their own label. Sorted; at most [`MAX_OWN_LABELS`].
    own_labels: Mutex<Vec<name::Name>>,
    first_token: Histograms,
    token_gap: Histograms,
    call: Histograms,
    queue_wait: Histograms,
    outcomes: Family<OutcomeLabels, Counter>,
    retries: Counter,
    /// Number of calls or attempts in flight.
    pub in_flight: Gauge,
    /// Revision of the applied configuration.
    pub revision: Gauge,
    /// Number of writes to the platform's table.
    pub table_writes: Counter,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        let family = || Histograms::new_with_constructor(histogram);
        let mut metrics = Self {
            registry: Registry::with_prefix("sycamorestile"),
            own_labels: Mutex::new(Vec::new()),
            first_token: family(),
            token_gap: family(),
            call: family(),
            queue_wait: family(),
            outcomes: Family::default(),
            retries: Counter::default(),
            in_flight: Gauge::default(),
            revision: Gauge::default(),
            table_writes: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "first_token_seconds",
            "Time from receipt of a call to its first token",
            self.first_token.clone(),
        );
        registry.register("token_gap_seconds", "Time between two tokens", self.token_gap.clone());
        registry.register(
            "call_seconds",
            "Time from receipt of a call to the end of its response",
            self.call.clone(),
        );
        registry.register(
            "queue_seconds",
            "Time an attempt waited for a slot",
            self.queue_wait.clone(),
        );
        registry.register("calls", "Ended calls by outcome and cause", self.outcomes.clone());
        registry.register(
            "retries",
            "Attempts beyond the first one of a call",
            self.retries.clone(),
        );
        registry.register("in_flight", "Calls or attempts in flight", self.in_flight.clone());
        registry.register(
            "revision",
            "Revision of the applied configuration",
            self.revision.clone(),
        );
        registry.register(
            "table_writes",
            "Writes to the platform's table",
            self.table_writes.clone(),
        );
    }

    fn labels(&self, organisation: &name::Name, class: class::Class) -> CallerLabels {
        let mut own_labels = self
            .own_labels
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let position = own_labels.binary_search(organisation);
        let has_own_label = match position {
            Ok(_) => true,
            Err(index) if own_labels.len() < MAX_OWN_LABELS => {
                own_labels.insert(index, organisation.clone());
                true
            }
            Err(_) => false,
        };
        CallerLabels {
            organisation: if has_own_label {
                organisation.as_str().to_owned()
            } else {
                OTHER_LABEL.to_owned()
            },
            class: class.as_str(),
        }
    }

    /// Records the time from receipt of a call to its first token.
    pub fn observe_first_token(&self, organisation: &name::Name, class: class::Class, span: Duration) {
        let labels = self.labels(organisation, class);
        self.first_token.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn observe_token_gap(&self, organisation: &name::Name, class: class::Class, span: Duration) {
        let labels = self.labels(organisation, class);
        self.token_gap.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Records the time from receipt of a call to the end of its response.
    pub fn observe_call(&self, organisation: &name::Name, class: class::Class, span: Duration) {
        let labels = self.labels(organisation, class);
        self.call.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Records the time that an attempt waited for a slot.
    pub fn observe_queue_wait(&self, organisation: &name::Name, class: class::Class, span: Duration) {
        let labels = self.labels(organisation, class);
        self.queue_wait.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Records the outcome of a call. `cause` is the problem's slug, or `none`.
    pub fn record_outcome(&self, service: &str, outcome: &'static str, cause: &'static str) {
        let labels = OutcomeLabels {
            service: service.to_owned(),
            outcome,
            cause,
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Adds attempts beyond the first one of a call.
    pub fn add_retries(&self, count: u32) {
        self.retries.inc_by(u64::from(count));
    }

    /// Returns the metrics page.
    pub fn encode(&self) -> String {
        let mut page = String::new();
        // Writing to a `String` cannot fail. If encoding failed, the page would only be incomplete.
        let _written = text::encode(&mut page, &self.registry);
        page
    }
}
