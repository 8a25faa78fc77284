//! Chooses the endpoint for each attempt by load.
//!
//! Load condition addressed: ranks of a lock-step group, where an additional stream on one rank slows down all ranks,
//! and several instances that send to the same endpoints without seeing each other's requests. Each instance counts its
//! own requests in flight, receives the same counts from its peers a few times a second, and balances the sum. The load
//! that endpoints report is older than these counts, and is only used where it is higher than the sum.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::direct::endpoint;
use crate::time;

/// Age at which a peer's counts are ignored, since the peer has stopped or can't be reached.
const PEER_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Age at which an endpoint's load report is ignored. Lasts for a few responses.
const REPORT_MAX_AGE: Duration = Duration::from_millis(400);
/// Backoff after the first failed connection or lost response. Doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Weight of the newest result in the moving average of an endpoint's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Load that is added for a failure rate of 1, as a share of the endpoint's slots.
const FAILURE_LOAD_PENALTY: f64 = 2.0;
/// Load that is added for an endpoint in another failure domain, as a share of its slots.
const REMOTE_DOMAIN_PENALTY: f64 = 0.04;
/// Slowness at which running streams leave an endpoint, in percent. A group waits for all its ranks, so a few streams on
/// a slow rank delay those of all others, while moving a stream only costs reading its prompt again.
const MIN_LEAVE_SLOWNESS_PERCENT: u32 = 300;
/// Number of randomly sampled endpoints that each choice compares.
const SAMPLE_SIZE: usize = 3;
/// Number of random seeds that values of `chance` are mapped to.
const SEED_COUNT: f64 = 4_294_967_296.0;

/// The load of an endpoint, as reported in one of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
}

/// What this instance has observed of one endpoint.
#[derive(Debug, Clone)]
struct EndpointStats {
    id: Arc<str>,
    /// Number of requests that this instance has in flight at the endpoint.
    own_in_flight: u32,
    /// The last load report, and when it arrived.
    reported: Option<(ReportedLoad, time::Time)>,
    /// Moving average of results, which are 0 for successes and 1 for refusals and failures.
    failure_rate: f64,
    /// Number of failures and refusals since the last success.
    consecutive_failures: u32,
    /// Until when the endpoint is avoided.
    backoff_until: Option<time::Time>,
}

/// The last counts from another instance.
#[derive(Debug, Clone)]
struct Peer {
    id: Arc<str>,
    last_seen: time::Time,
    /// Requests in flight by endpoint id, sorted by id.
    counts: Vec<(Arc<str>, u32)>,
}

/// The load and failures of endpoints, as known to this instance.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    /// Sorted by endpoint id.
    endpoints: Vec<EndpointStats>,
    /// Sorted by peer id.
    peers: Vec<Peer>,
}

/// Returns whether running streams should leave `endpoint`, which has reported that it is much slower than others. An
/// endpoint that is merely silent has not.
pub fn should_leave(endpoint: &endpoint::Endpoint) -> bool {
    endpoint.slowness_percent >= MIN_LEAVE_SLOWNESS_PERCENT
}

/// The load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Number of requests in flight at usable endpoints.
    pub in_flight: u32,
    /// Total number of slots of usable endpoints.
    pub slots: u32,
    /// Load of the least loaded usable endpoint, as a share of its slots; infinite when no endpoint is usable.
    pub min_load: f64,
}

impl Placement {
    /// Chooses an endpoint among the `candidates` that are not in `tried`, or returns `None` if there are none.
    ///
    /// Compares a random sample of endpoints and prefers those with a low load, those with a low failure rate and those
    /// in `failure_domain`. `chance`, a random number between 0 and 1, determines the sample.
    pub fn choose<'a>(
        &self,
        candidates: &'a [Arc<endpoint::Endpoint>],
        tried: &[Arc<str>],
        failure_domain: &str,
        chance: f64,
        now: time::Time,
    ) -> Option<&'a Arc<endpoint::Endpoint>> {
        let untried: Vec<&Arc<endpoint::Endpoint>> = candidates.iter().filter(|e| !tried.contains(&e.id)).collect();
        let usable: Vec<&Arc<endpoint::Endpoint>> = untried
            .iter()
            .filter(|e| !self.is_backing_off(&e.id, now))
            .copied()
            .collect();
        // If every endpoint is in backoff, the backoff is ignored.
        let pool = if usable.is_empty() { untried } else { usable };
        // One request at a slow rank slows those at all ranks of its group, which is worse than a wait for a slot.
        let (slow, others): (Vec<_>, Vec<_>) = pool.into_iter().partition(|e| should_leave(e));
        let pool = if others.is_empty() { slow } else { others };
        let cost = |e: &endpoint::Endpoint| {
            let domain_penalty = if e.failure_domain.as_ref() == failure_domain {
                0.0
            } else {
                REMOTE_DOMAIN_PENALTY
            };
            self.load(e, now) + domain_penalty + self.failure_rate(&e.id) * FAILURE_LOAD_PENALTY
        };
        // Instances with the same view would all choose the least loaded endpoint, so each compares a random sample.
        let sample = sample_indices(pool.len(), chance).map(|at| pool[at]);
        sample.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns whether any of the `candidates` that are not in `tried` is usable.
    pub fn has_usable(&self, candidates: &[Arc<endpoint::Endpoint>], tried: &[Arc<str>], now: time::Time) -> bool {
        let is_usable = |e: &Arc<endpoint::Endpoint>| !tried.contains(&e.id) && !self.is_backing_off(&e.id, now);
        candidates.iter().any(is_usable)
    }

    /// Returns the load of a service with the endpoints `candidates`.
    pub fn service_load(&self, candidates: &[Arc<endpoint::Endpoint>], now: time::Time) -> ServiceLoad {
        let usable = candidates.iter().filter(|e| !self.is_backing_off(&e.id, now));
        let none = ServiceLoad {
            in_flight: 0,
            slots: 0,
            min_load: f64::INFINITY,
        };
        usable.fold(none, |sum, e| ServiceLoad {
            in_flight: sum.in_flight.saturating_add(self.in_flight(&e.id, now)),
            slots: sum.slots.saturating_add(e.slots),
            min_load: sum.min_load.min(self.load(e, now)),
        })
    }

    /// Records that an attempt at endpoint `id` has started.
    pub fn attempt_started(&mut self, id: &Arc<str>) {
        self.stats_mut(id).own_in_flight += 1;
    }

    /// Records that an attempt at endpoint `id` has ended, whatever its result.
    pub fn attempt_ended(&mut self, id: &Arc<str>) {
        let stats = self.stats_mut(id);
        stats.own_in_flight = stats.own_in_flight.saturating_sub(1);
    }

    /// Records a response of endpoint `id` and the load that it reports.
    pub fn record_success(&mut self, id: &Arc<str>, load: Option<ReportedLoad>, now: time::Time) {
        let stats = self.stats_mut(id);
        stats.consecutive_failures = 0;
        stats.backoff_until = None;
        stats.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        if let Some(load) = load {
            stats.reported = Some((load, now));
        }
    }

    /// Records that endpoint `id` refused a request. Starts a backoff unless this is the first refusal or failure since
    /// the last success.
    pub fn record_refusal(&mut self, id: &Arc<str>, now: time::Time) {
        self.update_failure_rate(id);
        let stats = self.stats_mut(id);
        stats.consecutive_failures += 1;
        if stats.consecutive_failures > 1 {
            stats.backoff_until = Some(now + INITIAL_BACKOFF);
        }
    }

    /// Records that endpoint `id` could not be reached or did not return a valid response. Starts a backoff.
    pub fn record_failure(&mut self, id: &Arc<str>, now: time::Time) {
        self.update_failure_rate(id);
        let stats = self.stats_mut(id);
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(stats.consecutive_failures.min(4));
        stats.consecutive_failures += 1;
        stats.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records the requests in flight of the peer `id`. `counts` must be sorted by endpoint id.
    pub fn record_peer_counts(&mut self, id: &Arc<str>, counts: Vec<(Arc<str>, u32)>, now: time::Time) {
        let peer = Peer {
            id: Arc::clone(id),
            last_seen: now,
            counts,
        };
        match self.peers.binary_search_by(|p| p.id.cmp(id)) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
    }

    /// Removes peers that have gone silent, and idle endpoints for which `is_known` returns `false`.
    pub fn retain_known<F>(&mut self, is_known: F, now: time::Time)
    where
        F: Fn(&str) -> bool,
    {
        self.peers.retain(|p| now.since(p.last_seen) < PEER_MAX_AGE);
        self.endpoints.retain(|s| s.own_in_flight > 0 || is_known(&s.id));
    }

    /// Returns the number of peers whose counts are recent.
    pub fn live_peers(&self, now: time::Time) -> usize {
        self.peers
            .iter()
            .filter(|p| now.since(p.last_seen) < PEER_MAX_AGE)
            .count()
    }

    /// Returns the peers whose counts are recent, sorted.
    pub fn live_peer_ids(&self, now: time::Time) -> Vec<Arc<str>> {
        let live = self.peers.iter().filter(|p| now.since(p.last_seen) < PEER_MAX_AGE);
        live.map(|p| Arc::clone(&p.id)).collect()
    }

    /// Returns this instance's requests in flight by endpoint id, sorted by id.
    pub fn own_in_flight(&self) -> Vec<(Arc<str>, u32)> {
        let busy = self.endpoints.iter().filter(|s| s.own_in_flight > 0);
        busy.map(|s| (Arc::clone(&s.id), s.own_in_flight)).collect()
    }

    /// Returns the number of requests in flight at endpoint `id` from all instances.
    pub fn in_flight(&self, id: &str, now: time::Time) -> u32 {
        let stats = self.stats(id);
        let own_in_flight = stats.map_or(0, |s| s.own_in_flight);
        let live = self.peers.iter().filter(|p| now.since(p.last_seen) < PEER_MAX_AGE);
        let counts = live.map(|p| p.in_flight(id));
        let fresh_report = stats.and_then(|s| s.reported.filter(|(_, at)| now.since(*at) < REPORT_MAX_AGE));
        // Numbers of endpoints and peers may be anything.
        let reported = fresh_report.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        counts.fold(own_in_flight, u32::saturating_add).max(reported)
    }

    /// Returns the load of `endpoint` as a share of its slots.
    ///
    /// A slow endpoint has the load that another one would have which takes as long for its requests and one more. All
    /// ranks of a group wait for the slowest one, so a request costs more there even if nothing else runs.
    fn load(&self, endpoint: &endpoint::Endpoint, now: time::Time) -> f64 {
        let slowness = f64::from(endpoint.slowness_percent) / 100.0;
        let with_request = (f64::from(self.in_flight(&endpoint.id, now)) + 1.0) * slowness;
        (with_request - 1.0) / f64::from(endpoint.slots.max(1))
    }

    fn failure_rate(&self, id: &str) -> f64 {
        self.stats(id).map_or(0.0, |s| s.failure_rate)
    }

    fn is_backing_off(&self, id: &str, now: time::Time) -> bool {
        let until = self.stats(id).and_then(|s| s.backoff_until);
        until.is_some_and(|until| now < until)
    }

    fn update_failure_rate(&mut self, id: &Arc<str>) {
        let stats = self.stats_mut(id);
        stats.failure_rate = stats.failure_rate * (1.0 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT;
    }

    fn stats(&self, id: &str) -> Option<&EndpointStats> {
        let at = self.endpoints.binary_search_by(|s| s.id.as_ref().cmp(id)).ok()?;
        self.endpoints.get(at)
    }

    /// Returns the stats of endpoint `id`, which are created if missing.
    fn stats_mut(&mut self, id: &Arc<str>) -> &mut EndpointStats {
        let at = match self.endpoints.binary_search_by(|s| s.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                let stats = EndpointStats {
                    id: Arc::clone(id),
                    own_in_flight: 0,
                    reported: None,
                    failure_rate: 0.0,
                    consecutive_failures: 0,
                    backoff_until: None,
                };
                self.endpoints.insert(at, stats);
                at
            }
        };
        &mut self.endpoints[at]
    }
}

/// Returns up to [`SAMPLE_SIZE`] random distinct indices below `len`, in random order.
fn sample_indices(len: usize, chance: f64) -> impl Iterator<Item = usize> {
    let mut rng = ChaCha8Rng::seed_from_u64((chance * SEED_COUNT) as u64);
    let mut order: Vec<usize> = (0..len).collect();
    order.shuffle(&mut rng);
    order.into_iter().take(SAMPLE_SIZE)
}

impl Peer {
    fn in_flight(&self, id: &str) -> u32 {
        let at = self.counts.binary_search_by(|(e, _)| e.as_ref().cmp(id));
        at.ok()
            .and_then(|at| self.counts.get(at))
            .map_or(0, |(_, count)| *count)
    }
}
