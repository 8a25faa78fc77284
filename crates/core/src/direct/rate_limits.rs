//! Keeps the rate limits that endpoints name, over all instances together.
//!
//! Load condition addressed: an endpoint in need that takes few requests per second from many instances. An equal share
//! for each instance would be a fraction of a request, and all instances at once would exceed the limit. So only some
//! instances, the holders of a limit, may send to its endpoint, each an equal share. All instances determine the same
//! holders from the endpoint and the instances that they hear of, without a coordinator.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::{merged, rate_limit};
use crate::time;

/// Time without an observation after which a limit is forgotten.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Change of a limit, relative to its former value, that other instances are told at once.
const NEWS_CHANGE: f64 = 0.2;
/// Difference of two observations of the same limit up to which they count as one. The age of a fact that is passed on
/// shrinks with each hop.
const SAME_OBSERVATION: Duration = Duration::from_millis(500);
/// Upper bound of the number of limits told at once.
const MAX_FACTS: usize = 64;

/// A limit, as told to other instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitFact {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Requests per second that it takes; `None` if it named no limit any more.
    pub per_second: Option<f64>,
    /// Age of the observation in milliseconds.
    pub age_ms: u64,
}

/// The rate limits of endpoints.
#[derive(Debug, Clone)]
pub struct RateLimits {
    own_instance: Arc<str>,
    /// All instances that this one hears of, including itself.
    instances: Vec<Arc<str>>,
    /// Sorted by endpoint.
    limits: Vec<rate_limit::Limit>,
    /// Number of observations of this instance that were news to it.
    own_reports: u64,
    /// Index of the first limit that is told next.
    next_fact: usize,
}

impl RateLimits {
    /// Creates the limits of `own_instance`, which hears of no other instance yet.
    pub fn new(own_instance: Arc<str>) -> Self {
        Self {
            instances: vec![Arc::clone(&own_instance)],
            own_instance,
            limits: Vec::new(),
            own_reports: 0,
            next_fact: 0,
        }
    }

    /// Records what a response of `endpoint` says about its limit, and returns whether that is news.
    pub fn record(&mut self, endpoint: &Arc<str>, per_second: Option<f64>, now: time::Time) -> bool {
        let is_news = self.observe(endpoint, per_second, now, now);
        self.own_reports += u64::from(is_news);
        is_news
    }

    /// Sets the other instances that this one hears of, and forgets old limits. Call this regularly.
    pub fn refresh(&mut self, peers: Vec<Arc<str>>, now: time::Time) {
        self.instances = peers;
        self.instances.push(Arc::clone(&self.own_instance));
        self.limits.retain(|l| now.since(l.observed_at) < MAX_AGE);
        for limit in &mut self.limits {
            limit.set_share(&self.own_instance, &self.instances, now);
        }
    }

    /// Returns whether any endpoint is limited.
    pub fn is_any(&self) -> bool {
        self.limits.iter().any(|l| l.per_second.is_some())
    }

    /// Returns whether this instance may send a request to `endpoint`.
    pub fn allows(&self, endpoint: &str, now: time::Time) -> bool {
        self.find(endpoint)
            .is_none_or(|limit| limit.per_second.is_none() || limit.allowance(now) >= 1.0)
    }

    /// Records that a request is sent to `endpoint`.
    pub fn spend(&mut self, endpoint: &str, now: time::Time) {
        if let Ok(at) = self.position(endpoint) {
            self.limits[at].spend(now);
        }
    }

    /// Returns the time until this instance may send a request to `endpoint`, or `None` if it is no holder.
    pub fn wait(&self, endpoint: &str, now: time::Time) -> Option<Duration> {
        let limit = self.find(endpoint)?;
        let missing = (1.0 - limit.allowance(now)).max(0.0);
        // A limit that is not named again is forgotten by then.
        let wait = Duration::try_from_secs_f64(missing / limit.share).map_or(MAX_AGE, |wait| wait.min(MAX_AGE));
        (limit.share > 0.0).then_some(wait)
    }

    /// Returns how many observations of this instance itself were news to it.
    pub fn own_reports(&self) -> u64 {
        self.own_reports
    }

    /// Returns limits to tell other instances. If there are too many for one message, the next call continues with the
    /// following ones.
    pub fn facts(&mut self, now: time::Time) -> Vec<LimitFact> {
        let count = self.limits.len().min(MAX_FACTS);
        let begin = self.next_fact;
        self.next_fact = (begin + count) % self.limits.len().max(1);
        let rotated = self.limits.iter().cycle().skip(begin).take(count);
        rotated
            .map(|limit| LimitFact {
                endpoint: Arc::clone(&limit.endpoint),
                per_second: limit.per_second,
                age_ms: now.since(limit.observed_at).as_millis() as u64,
            })
            .collect()
    }

    /// Merges the limits that another instance told `elapsed` ago.
    pub fn merge(&mut self, facts: &[LimitFact], elapsed: Duration, now: time::Time) -> merged::Merged {
        let is_told = |limit: &rate_limit::Limit| facts.iter().any(|f| f.endpoint == limit.endpoint);
        let sender_lacks = facts.len() < MAX_FACTS && self.limits.iter().any(|l| l.per_second.is_some() && !is_told(l));
        let mut learned = false;
        for fact in facts {
            let age = Duration::from_millis(fact.age_ms) + elapsed;
            if age < MAX_AGE {
                let observed_at = time::Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
                learned |= self.observe(&fact.endpoint, fact.per_second, observed_at, now);
            }
        }
        merged::Merged { learned, sender_lacks }
    }

    /// Takes over an observation unless a later one is known. Returns whether it is news.
    fn observe(
        &mut self,
        endpoint: &Arc<str>,
        per_second: Option<f64>,
        observed_at: time::Time,
        now: time::Time,
    ) -> bool {
        let (at, former) = match self.position(endpoint) {
            Ok(at) => (at, self.limits[at].per_second),
            Err(_) if per_second.is_none() => return false,
            Err(at) => {
                self.limits
                    .insert(at, rate_limit::Limit::new(endpoint, observed_at, now));
                (at, None)
            }
        };
        let limit = &mut self.limits[at];
        let is_same = former == per_second;
        let margin = if is_same { SAME_OBSERVATION } else { Duration::ZERO };
        if observed_at < limit.observed_at + margin {
            return false;
        }
        limit.observed_at = observed_at;
        if is_same {
            return false;
        }
        limit.per_second = per_second;
        limit.set_share(&self.own_instance, &self.instances, now);
        match (former, per_second) {
            (Some(former), Some(newer)) => (newer - former).abs() > NEWS_CHANGE * former,
            _ => true,
        }
    }

    fn position(&self, endpoint: &str) -> Result<usize, usize> {
        self.limits.binary_search_by(|l| l.endpoint.as_ref().cmp(endpoint))
    }

    fn find(&self, endpoint: &str) -> Option<&rate_limit::Limit> {
        self.position(endpoint).ok().map(|at| &self.limits[at])
    }
}
