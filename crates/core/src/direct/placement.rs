//! Which endpoint gets a request, and whether any should.
//!
//! The load it answers: ranks of a lock-step group, where one more stream on one rank slows all ranks, and several
//! instances that place on the same endpoints without seeing each other's arrivals. Each instance counts what it has
//! under way, hears the same from its peers a few times a second, and levels the sum. Endpoints' own reports are older
//! and only count where they tell of more than that.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::direct::endpoint;
use crate::time;

/// Age at which a peer's counts no longer count: the peer is gone or out of touch.
const PEER_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Age at which an endpoint's report no longer counts; a few answers' time.
const REPORT_MAX_AGE: Duration = Duration::from_millis(400);
/// First pause after a failed connection or a lost answer. Doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Weight of the newest result in an endpoint's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Load, as a share of the endpoint's slots, that a failure rate of 1 stands for.
const FAILURE_LOAD_PENALTY: f64 = 2.0;
/// Load, as a share of the endpoint's slots, that a call into another failure domain stands for.
const REMOTE_DOMAIN_PENALTY: f64 = 0.04;

/// Endpoints among which each choice is made.
const SAMPLE_SIZE: usize = 3;
/// Number of seeds that a chance is spread over.
const SEED_COUNT: f64 = 4_294_967_296.0;

/// What an answer said about its endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

#[derive(Debug, Clone)]
struct EndpointStats {
    id: Arc<str>,
    /// Requests that this instance has under way there.
    own_in_flight: u32,
    reported: Option<(ReportedLoad, time::Time)>,
    /// Moving average of results, 0 for answers and 1 for failures.
    failure_rate: f64,
    /// Failures since the last answer.
    consecutive_failures: u32,
    backoff_until: Option<time::Time>,
}

#[derive(Debug, Clone)]
struct Peer {
    id: Arc<str>,
    last_seen: time::Time,
    /// Sorted by endpoint id.
    counts: Vec<(Arc<str>, u32)>,
}

/// What this instance knows about the load of endpoints.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    /// Sorted by endpoint id.
    endpoints: Vec<EndpointStats>,
    /// Sorted by peer id.
    peers: Vec<Peer>,
}

/// How loaded a service is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests under way at usable endpoints.
    pub in_flight: u32,
    /// Slots of usable endpoints.
    pub slots: u32,
    /// Load of the least loaded usable endpoint, as a share of its slots.
    pub min_load: f64,
}

impl Placement {
    /// The best endpoint among `candidates` that is not in `tried`. `chance`, between 0 and 1, breaks ties.
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
        // With every endpoint paused, the pause tells nothing apart.
        let pool = if usable.is_empty() { untried } else { usable };
        let cost = |e: &endpoint::Endpoint| {
            let domain_penalty = if e.failure_domain.as_ref() == failure_domain {
                0.0
            } else {
                REMOTE_DOMAIN_PENALTY
            };
            self.load(e, now) + domain_penalty + self.failure_rate(&e.id) * FAILURE_LOAD_PENALTY
        };
        // Peers that know the same least loaded endpoint would all choose it, so each looks at a random few.
        let sample = sample_indices(pool.len(), chance).map(|at| pool[at]);
        sample.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Load of a service's endpoints.
    pub fn service_load(&self, candidates: &[Arc<endpoint::Endpoint>], now: time::Time) -> ServiceLoad {
        let usable = candidates.iter().filter(|e| !self.is_backing_off(&e.id, now));
        let none = ServiceLoad {
            in_flight: 0,
            slots: 0,
            min_load: f64::INFINITY,
        };
        usable.fold(none, |sum, e| ServiceLoad {
            in_flight: sum.in_flight + self.in_flight(&e.id, now),
            slots: sum.slots + e.slots,
            min_load: sum.min_load.min(self.load(e, now)),
        })
    }

    /// A request goes to `id`.
    pub fn attempt_started(&mut self, id: &Arc<str>) {
        self.stats_mut(id).own_in_flight += 1;
    }

    /// A request to `id` has ended.
    pub fn attempt_ended(&mut self, id: &Arc<str>) {
        let stats = self.stats_mut(id);
        stats.own_in_flight = stats.own_in_flight.saturating_sub(1);
    }

    /// `id` answered.
    pub fn record_success(&mut self, id: &Arc<str>, load: Option<ReportedLoad>, now: time::Time) {
        let stats = self.stats_mut(id);
        stats.consecutive_failures = 0;
        stats.backoff_until = None;
        stats.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        if let Some(load) = load {
            stats.reported = Some((load, now));
        }
    }

    /// `id` answered that it could not serve the request.
    pub fn record_refusal(&mut self, id: &Arc<str>, now: time::Time) {
        self.update_failure_rate(id);
        let stats = self.stats_mut(id);
        stats.consecutive_failures += 1;
        if stats.consecutive_failures > 1 {
            stats.backoff_until = Some(now + INITIAL_BACKOFF);
        }
    }

    /// `id` could not be reached or did not answer.
    pub fn record_failure(&mut self, id: &Arc<str>, now: time::Time) {
        self.update_failure_rate(id);
        let stats = self.stats_mut(id);
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(stats.consecutive_failures.min(4));
        stats.consecutive_failures += 1;
        stats.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Takes a peer's counts, sorted by endpoint id.
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

    /// Forgets peers that have gone silent and endpoints that `is_known` does not hold.
    pub fn retain_known<F>(&mut self, is_known: F, now: time::Time)
    where
        F: Fn(&str) -> bool,
    {
        self.peers.retain(|p| now.since(p.last_seen) < PEER_MAX_AGE);
        self.endpoints.retain(|s| s.own_in_flight > 0 || is_known(&s.id));
    }

    /// Peers heard of lately.
    pub fn live_peers(&self, now: time::Time) -> usize {
        self.peers
            .iter()
            .filter(|p| now.since(p.last_seen) < PEER_MAX_AGE)
            .count()
    }

    /// What this instance has under way, sorted by endpoint id.
    pub fn own_in_flight(&self) -> Vec<(Arc<str>, u32)> {
        let busy = self.endpoints.iter().filter(|s| s.own_in_flight > 0);
        busy.map(|s| (Arc::clone(&s.id), s.own_in_flight)).collect()
    }

    /// Requests under way at `id` from all instances.
    pub fn in_flight(&self, id: &str, now: time::Time) -> u32 {
        let stats = self.stats(id);
        let own_in_flight = stats.map_or(0, |s| s.own_in_flight);
        let live = self.peers.iter().filter(|p| now.since(p.last_seen) < PEER_MAX_AGE);
        let peers: u32 = live.map(|p| p.in_flight(id)).sum();
        let fresh_report = stats.and_then(|s| s.reported.filter(|(_, at)| now.since(*at) < REPORT_MAX_AGE));
        let reported = fresh_report.map_or(0, |(load, _)| load.running + load.waiting);
        (own_in_flight + peers).max(reported)
    }

    fn load(&self, endpoint: &endpoint::Endpoint, now: time::Time) -> f64 {
        f64::from(self.in_flight(&endpoint.id, now)) / f64::from(endpoint.slots.max(1))
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

/// Indices of a random few of `len` things, in random order.
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
