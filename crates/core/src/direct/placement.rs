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
const PEER_LIFE: Duration = Duration::from_millis(1_500);
/// Age at which an endpoint's report no longer counts; a few answers' time.
const REPORT_LIFE: Duration = Duration::from_millis(400);
/// First pause after a failed connection or a lost answer. Doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest result in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Load, as a share of the endpoint's slots, that a failure rate of 1 stands for.
const FAILURE_LOAD: f64 = 2.0;
/// Load, as a share of the endpoint's slots, that a call into another failure domain stands for.
const FAR_LOAD: f64 = 0.04;

/// Endpoints among which each choice is made.
const DRAWN: usize = 3;
/// Number of seeds that a chance is spread over.
const SEEDS: f64 = 4_294_967_296.0;

/// What an answer said about its endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

#[derive(Debug, Clone)]
struct Standing {
    id: Arc<str>,
    /// Requests that this instance has under way there.
    own: u32,
    reported: Option<(ReportedLoad, time::Time)>,
    /// Moving average of results, 0 for answers and 1 for failures.
    failure_rate: f64,
    /// Failures since the last answer.
    failures: u32,
    paused_until: Option<time::Time>,
}

#[derive(Debug, Clone)]
struct Peer {
    id: Arc<str>,
    heard: time::Time,
    /// Sorted by endpoint id.
    counts: Vec<(Arc<str>, u32)>,
}

/// What this instance knows about the load of endpoints.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    /// Sorted by endpoint id.
    standings: Vec<Standing>,
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
        let fresh: Vec<&Arc<endpoint::Endpoint>> = candidates.iter().filter(|e| !tried.contains(&e.id)).collect();
        let usable: Vec<&Arc<endpoint::Endpoint>> =
            fresh.iter().filter(|e| !self.is_paused(&e.id, now)).copied().collect();
        // With every endpoint paused, the pause tells nothing apart.
        let pool = if usable.is_empty() { fresh } else { usable };
        let cost = |e: &endpoint::Endpoint| {
            let far = if e.failure_domain.as_ref() == failure_domain {
                0.0
            } else {
                FAR_LOAD
            };
            self.load(e, now) + far + self.failure_rate(&e.id) * FAILURE_LOAD
        };
        // Peers that know the same least loaded endpoint would all choose it, so each looks at a random few.
        let drawn = draw(pool.len(), chance).map(|at| pool[at]);
        drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Load of a service's endpoints.
    pub fn service_load(&self, candidates: &[Arc<endpoint::Endpoint>], now: time::Time) -> ServiceLoad {
        let usable = candidates.iter().filter(|e| !self.is_paused(&e.id, now));
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
        self.standing(id).own += 1;
    }

    /// A request to `id` has ended.
    pub fn attempt_ended(&mut self, id: &Arc<str>) {
        let standing = self.standing(id);
        standing.own = standing.own.saturating_sub(1);
    }

    /// `id` answered.
    pub fn record_success(&mut self, id: &Arc<str>, load: Option<ReportedLoad>, now: time::Time) {
        let standing = self.standing(id);
        standing.failures = 0;
        standing.paused_until = None;
        standing.failure_rate *= 1.0 - FAILURE_WEIGHT;
        if let Some(load) = load {
            standing.reported = Some((load, now));
        }
    }

    /// `id` answered that it could not serve the request.
    pub fn record_refusal(&mut self, id: &Arc<str>, now: time::Time) {
        self.note_failure(id);
        let standing = self.standing(id);
        standing.failures += 1;
        if standing.failures > 1 {
            standing.paused_until = Some(now + FIRST_PAUSE);
        }
    }

    /// `id` could not be reached or did not answer.
    pub fn record_failure(&mut self, id: &Arc<str>, now: time::Time) {
        self.note_failure(id);
        let standing = self.standing(id);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(standing.failures.min(4));
        standing.failures += 1;
        standing.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Takes a peer's counts, sorted by endpoint id.
    pub fn record_peer_counts(&mut self, id: &Arc<str>, counts: Vec<(Arc<str>, u32)>, now: time::Time) {
        let peer = Peer {
            id: Arc::clone(id),
            heard: now,
            counts,
        };
        match self.peers.binary_search_by(|p| p.id.cmp(id)) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
    }

    /// Forgets peers that have gone silent and endpoints that `known` does not hold.
    pub fn retain_known<F>(&mut self, known: F, now: time::Time)
    where
        F: Fn(&str) -> bool,
    {
        self.peers.retain(|p| now.since(p.heard) < PEER_LIFE);
        self.standings.retain(|s| s.own > 0 || known(&s.id));
    }

    /// Peers heard of lately.
    pub fn live_peers(&self, now: time::Time) -> usize {
        self.peers.iter().filter(|p| now.since(p.heard) < PEER_LIFE).count()
    }

    /// What this instance has under way, sorted by endpoint id.
    pub fn own_in_flight(&self) -> Vec<(Arc<str>, u32)> {
        let busy = self.standings.iter().filter(|s| s.own > 0);
        busy.map(|s| (Arc::clone(&s.id), s.own)).collect()
    }

    /// Requests under way at `id` from all instances.
    pub fn in_flight(&self, id: &str, now: time::Time) -> u32 {
        let standing = self.find(id);
        let own = standing.map_or(0, |s| s.own);
        let heard = self.peers.iter().filter(|p| now.since(p.heard) < PEER_LIFE);
        let peers: u32 = heard.map(|p| p.count(id)).sum();
        let fresh = standing.and_then(|s| s.reported.filter(|(_, at)| now.since(*at) < REPORT_LIFE));
        let reported = fresh.map_or(0, |(load, _)| load.running + load.waiting);
        (own + peers).max(reported)
    }

    fn load(&self, endpoint: &endpoint::Endpoint, now: time::Time) -> f64 {
        f64::from(self.in_flight(&endpoint.id, now)) / f64::from(endpoint.slots.max(1))
    }

    fn failure_rate(&self, id: &str) -> f64 {
        self.find(id).map_or(0.0, |s| s.failure_rate)
    }

    fn is_paused(&self, id: &str, now: time::Time) -> bool {
        let until = self.find(id).and_then(|s| s.paused_until);
        until.is_some_and(|until| now < until)
    }

    fn note_failure(&mut self, id: &Arc<str>) {
        let standing = self.standing(id);
        standing.failure_rate = standing.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    }

    fn find(&self, id: &str) -> Option<&Standing> {
        let at = self.standings.binary_search_by(|s| s.id.as_ref().cmp(id)).ok()?;
        self.standings.get(at)
    }

    fn standing(&mut self, id: &Arc<str>) -> &mut Standing {
        let at = match self.standings.binary_search_by(|s| s.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                let standing = Standing {
                    id: Arc::clone(id),
                    own: 0,
                    reported: None,
                    failure_rate: 0.0,
                    failures: 0,
                    paused_until: None,
                };
                self.standings.insert(at, standing);
                at
            }
        };
        &mut self.standings[at]
    }
}

/// Indices of a random few of `len` things, in random order.
fn draw(len: usize, chance: f64) -> impl Iterator<Item = usize> {
    let mut rng = ChaCha8Rng::seed_from_u64((chance * SEEDS) as u64);
    let mut order: Vec<usize> = (0..len).collect();
    order.shuffle(&mut rng);
    order.into_iter().take(DRAWN)
}

impl Peer {
    fn count(&self, id: &str) -> u32 {
        let at = self.counts.binary_search_by(|(e, _)| e.as_ref().cmp(id));
        at.ok()
            .and_then(|at| self.counts.get(at))
            .map_or(0, |(_, count)| *count)
    }
}
