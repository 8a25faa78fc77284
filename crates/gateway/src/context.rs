//! State that the tasks of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use sycamorestile_core::direct::{drain, outage, placement, retry_share};
use sycamorestile_core::time;
use sycamorestile_table::boot_clock;
use tokio::sync::watch;

use crate::header_adapter;
use crate::metrics;
use crate::pool;
use crate::settings;
use crate::snapshot;

/// State that the tasks of the traffic thread share.
///
/// A `RefCell` is never borrowed across an await, so borrows can't collide.
pub(crate) struct GatewayContext {
    pub(crate) settings: settings::Settings,
    pub(crate) header_adapter: header_adapter::HeaderAdapter,
    pub(crate) snapshots: watch::Receiver<Arc<snapshot::Snapshot>>,
    pub(crate) placement: RefCell<placement::Placement>,
    /// This instance's share of each service's retry budget, sorted by service.
    pub(crate) retry_shares: RefCell<Vec<(Arc<str>, retry_share::RetryShare)>>,
    /// The outage detector of each service, sorted by service.
    pub(crate) outages: RefCell<Vec<(Arc<str>, outage::OutageDetector)>>,
    pub(crate) pool: pool::Pool,
    pub(crate) rng: RefCell<ChaCha8Rng>,
    pub(crate) metrics: metrics::Metrics,
    /// The number of requests whose responses are not yet fully written.
    pub(crate) in_flight: Cell<usize>,
    /// Whether the process is draining.
    pub(crate) draining: watch::Receiver<bool>,
    /// When draining started.
    pub(crate) drain_started: Cell<Option<time::Time>>,
    pub(crate) log: Logger,
}

impl GatewayContext {
    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Returns whether a request that may take up to `timeout` is still accepted.
    pub(crate) fn accepts_request(&self, timeout: Duration) -> bool {
        let since = self.drain_started.get().map(|at| boot_clock::now().since(at));
        drain::accepts_requests(since, self.settings.stop_grace, timeout)
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Calls `f` with the outage detector of `service`.
    pub(crate) fn with_outage_detector<F, R>(&self, service: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut outage::OutageDetector) -> R,
    {
        let mut outages = self.outages.borrow_mut();
        let at = match outages.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                outages.insert(at, (Arc::clone(service), outage::OutageDetector::default()));
                at
            }
        };
        f(&mut outages[at].1)
    }

    /// Calls `f` with this instance's share of the retry budget of `service`.
    pub(crate) fn with_retry_share<F, R>(&self, service: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut retry_share::RetryShare) -> R,
    {
        let mut shares = self.retry_shares.borrow_mut();
        let at = match shares.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let share = retry_share::RetryShare::new(self.settings.retry_limit);
                shares.insert(at, (Arc::clone(service), share));
                at
            }
        };
        f(&mut shares[at].1)
    }
}

/// A guard that counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    cx: Rc<GatewayContext>,
}

impl InFlightGuard {
    pub(crate) fn new(cx: &Rc<GatewayContext>) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);
        Self { cx: Rc::clone(cx) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
    }
}
