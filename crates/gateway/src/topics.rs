//! How soon a gateway must know the changes of each topic of the table, and the timing of the feeds that follows from it.

use std::time::Duration;

use sycamorestile_core::direct::{confirmation, poll_timing};
use sycamorestile_table::adapter;

use crate::settings;

/// The longest wait of a poll for declarations or endpoints while a gateway relies on the reads that another one reports.
pub(crate) const RELAYED_WAIT: Duration = Duration::from_secs(25);
/// The delay after a response with changed declarations, in which further changes are collected.
const DECLARATIONS_BATCH_DELAY: Duration = Duration::from_millis(100);
/// The longest delay after a response with changed endpoints. A draining endpoint must get no new requests after two
/// seconds, so changes are collected for less than half of that.
const MAX_ENDPOINTS_BATCH_DELAY: Duration = Duration::from_millis(800);
/// The delay after a response with changed endpoints, as a part of the time within which they must be known.
const ENDPOINTS_BATCH_RATIO: f64 = 0.4;
/// The time within which changes must be known of which the gateways also learn from each other, or which no promise is
/// bound to.
const RARE_CHANGE_LIMIT: Duration = Duration::from_secs(34);

/// The other topics, with the timing of their feeds.
pub(crate) const RARE_CHANGES: [(adapter::Topic, poll_timing::PollTiming); 3] = [
    rare_changes(adapter::Topic::Gateways, Duration::from_millis(1_500)),
    // All requests of a group are late while a slow rank gets a full share of them.
    rare_changes(adapter::Topic::MapAgents, Duration::from_millis(400)),
    rare_changes(adapter::Topic::Facts, Duration::from_millis(200)),
];

const fn rare_changes(topic: adapter::Topic, batch_delay: Duration) -> (adapter::Topic, poll_timing::PollTiming) {
    let timing = poll_timing::PollTiming {
        known_within: RARE_CHANGE_LIMIT,
        batch_delay,
        need: poll_timing::Need::Background,
    };
    (topic, timing)
}

/// Returns the timing of the feed of declarations.
pub(crate) fn declarations_timing(settings: &settings::Settings) -> poll_timing::PollTiming {
    poll_timing::PollTiming {
        known_within: settings.change_limit,
        batch_delay: DECLARATIONS_BATCH_DELAY,
        need: poll_timing::Need::Confirmation,
    }
}

/// Returns the interval at which a reader reads the declarations, which confirms keys as well. See
/// [`confirmation::ConfirmationWatch::is_reader`].
pub(crate) fn declarations_interval(settings: &settings::Settings) -> Duration {
    declarations_timing(settings)
        .max_wait()
        .min(confirmation::reader_interval(settings.revocation_limit))
}

/// Returns the timing of the feed of endpoints.
pub(crate) fn endpoints_timing(settings: &settings::Settings) -> poll_timing::PollTiming {
    poll_timing::PollTiming {
        known_within: settings.drain_limit,
        batch_delay: settings
            .drain_limit
            .mul_f64(ENDPOINTS_BATCH_RATIO)
            .min(MAX_ENDPOINTS_BATCH_DELAY),
        need: poll_timing::Need::Changes,
    }
}
