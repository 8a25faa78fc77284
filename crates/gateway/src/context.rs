//! State that the tasks of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use sycamorestile_connection::owed_counts;
use sycamorestile_core::direct::{
    broken_responses, crash_record, drain, outage, pacing, placement, restrictions, retry_share,
};
use sycamorestile_core::time;
use sycamorestile_table::boot_clock;
use tokio::sync::{Notify, watch};

use crate::header_adapter;
use crate::metrics;
use crate::pool;
use crate::response_account;
use crate::service_map;
use crate::settings;
use crate::snapshot;

/// State that the tasks of the traffic thread share.
///
/// A `RefCell` is never borrowed across an await, so borrows can't collide.
pub(crate) struct GatewayContext {
    pub(crate) settings: settings::Settings,
    /// When the process started.
    pub(crate) started: time::Time,
    pub(crate) header_adapter: header_adapter::HeaderAdapter,
    pub(crate) snapshots: watch::Receiver<Arc<snapshot::Snapshot>>,
    /// When the write of this gateway's row in the table began that succeeded last.
    pub(crate) own_row_written: watch::Receiver<Option<time::Time>>,
    pub(crate) placement: RefCell<placement::Placement>,
    /// What endpoints ask of this instance.
    pub(crate) restrictions: RefCell<restrictions::Restrictions>,
    /// This instance's share of each service's retry budget.
    pub(crate) retry_shares: service_map::ServiceMap<retry_share::RetryShare>,
    pub(crate) outages: service_map::ServiceMap<outage::OutageDetector>,
    pub(crate) pacings: service_map::ServiceMap<pacing::Pacing>,
    /// Crashes of endpoints, and what is quarantined for them.
    pub(crate) crashes: RefCell<crash_record::CrashRecord>,
    /// Responses that broke off at endpoints which may have crashed.
    pub(crate) broken_responses: RefCell<broken_responses::BrokenResponses>,
    /// Notified when this instance learns a fact about an endpoint that its peers may lack.
    pub(crate) fact_news: Notify,
    pub(crate) pool: pool::Pool,
    pub(crate) rng: RefCell<ChaCha8Rng>,
    pub(crate) metrics: metrics::Metrics,
    /// The responses that wait for their callers.
    pub(crate) response_account: Rc<response_account::ResponseAccount>,
    /// The number of bytes of larger request bodies that are buffered.
    pub(crate) request_body_bytes: Rc<Cell<usize>>,
    /// What the callers of this instance are owed.
    pub(crate) owed: owed_counts::OwedCounts,
    /// The phase of a stop.
    pub(crate) stop_phase: watch::Receiver<drain::StopPhase>,
    /// When the signal to stop came.
    pub(crate) stop_requested: Cell<Option<time::Time>>,
    pub(crate) log: Logger,
}

impl GatewayContext {
    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Returns whether a request that may take up to `timeout` is still accepted.
    pub(crate) fn accepts_request(&self, timeout: Duration) -> bool {
        let since = self.stop_requested.get().map(|at| boot_clock::now().since(at));
        drain::accepts_requests(since, self.settings.stop_grace, timeout)
    }

    /// Returns whether a stop was requested.
    pub(crate) fn is_draining(&self) -> bool {
        *self.stop_phase.borrow() > drain::StopPhase::Running
    }

    /// Waits until the process is about to be killed, so that what is not complete needs its final response.
    pub(crate) async fn ending(&self) {
        self.stop_reaches(drain::StopPhase::Ending).await;
    }

    /// Waits until a stop has reached `phase`.
    pub(crate) async fn stop_reaches(&self, phase: drain::StopPhase) {
        let mut stop_phase = self.stop_phase.clone();
        // The sender lives as long as the process. If it is dropped, the process is exiting, which is treated the same.
        let _reached = stop_phase.wait_for(|current| *current >= phase).await;
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }
}
