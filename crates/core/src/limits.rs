//! Rate limits of organisations, enforced across the entries of a failure domain without a coordinator.
//!
//! Each entry admits a share of an organisation's rate. Entries that receive each other's reports divide their part of
//! the rate by the demand that they report. The equal share of an entry without recent reports stays reserved for it.
//! The failure domain as a whole therefore stays near the limit, whether or not its entries can reach each other.
//!
//! Only organisations that send calls use memory.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name;
use crate::time;

/// Time without calls after which the bucket of an organisation is dropped.
const BUCKET_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time constant of the exponential average that estimates demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Age at which the demand reported by a peer is ignored, in addition to its propagation delay.
const PEER_STALE_AFTER: Duration = Duration::from_secs(5);
/// Fraction of the rate that is always divided equally, so that an entry can serve new demand before its peers know of
/// it.
const EQUAL_SHARE_FRACTION: f64 = 0.1;

/// Declared rate limit of an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Calls per second over all entries of the failure domain.
    pub calls_per_second: f64,
    /// Maximum burst of calls.
    pub burst: f64,
}

/// Demand of one organisation at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The organisation.
    pub organisation: name::Name,
    /// Calls per second that the organisation sends to the entry, whether admitted or not.
    pub calls_per_second: f32,
}

/// Token bucket of one organisation.
#[derive(Debug, Clone)]
struct Bucket {
    organisation: name::Name,
    tokens: f64,
    /// Time of the last refill.
    refilled: time::Time,
    /// Estimated demand at this entry at the time of the last call, in calls per second.
    demand: f64,
    /// Sum of the demand at peers, in calls per second.
    peer_demand: f64,
    /// Time of the last call.
    last_call: time::Time,
}

/// Demand reported by another entry.
#[derive(Debug, Clone)]
struct Peer {
    name: name::Name,
    last_heard: time::Time,
    /// Sorted by organisation.
    demands: Vec<Demand>,
}

/// Rate limiter of one entry.
#[derive(Debug, Clone)]
pub struct Limiter {
    /// Sorted by organisation.
    buckets: Vec<Bucket>,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Number of known entries in the failure domain, including this one. At least 1.
    entries: u32,
    /// Age at which the demand reported by a peer is ignored.
    stale_after: Duration,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            buckets: Vec::new(),
            peers: Vec::new(),
            entries: 1,
            stale_after: PEER_STALE_AFTER,
        }
    }
}

impl Limiter {
    /// Sets the number of entries that share the limits of the failure domain.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Sets the time that demand reported by peers takes to reach this entry.
    pub fn set_propagation_delay(&mut self, delay: Duration) {
        self.stale_after = PEER_STALE_AFTER + delay;
    }

    /// Admits or rejects a call of `organisation`.
    ///
    /// # Errors
    ///
    /// If the limit is exceeded, returns the time after which a call of the organisation is expected to be admitted.
    pub fn try_acquire(&mut self, organisation: &name::Name, limit: Limit, now: time::Time) -> Result<(), Duration> {
        let entries = f64::from(self.entries);
        let live_entries = self
            .peers
            .iter()
            .filter(|p| now.since(p.last_heard) < self.stale_after)
            .count() as f64
            + 1.0;
        let at = self.bucket_index(organisation, limit.burst / entries, now);
        let bucket = &mut self.buckets[at];
        bucket.record_call(now);
        let share = bucket.share(entries.max(live_entries), live_entries);
        let rate = limit.calls_per_second * share;
        let capacity = (limit.burst * share).max(1.0);
        let refill = now.since(bucket.refilled).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - bucket.tokens) / rate.max(1e-3);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }

    /// Returns the demand of each organisation at this entry, sorted by organisation, for reporting to peers.
    pub fn demands(&self, now: time::Time) -> Vec<Demand> {
        let buckets = self.buckets.iter();
        let demands = buckets.map(|b| Demand {
            organisation: b.organisation.clone(),
            calls_per_second: b.demand_at(now) as f32,
        });
        demands.filter(|d| d.calls_per_second >= 0.01).collect()
    }

    /// Records the demand that a peer reported at `now`. `demands` must be sorted by organisation.
    pub fn record_peer_demand(&mut self, peer: &name::Name, demands: Vec<Demand>, now: time::Time) {
        match self.peers.binary_search_by(|p| p.name.cmp(peer)) {
            Ok(at) => {
                self.peers[at].demands = demands;
                self.peers[at].last_heard = now;
            }
            Err(at) => {
                let name = peer.clone();
                let last_heard = now;
                self.peers.insert(
                    at,
                    Peer {
                        name,
                        last_heard,
                        demands,
                    },
                );
            }
        }
        self.update_peer_demand(now);
    }

    /// Drops stale peers and idle buckets. Should be called about once per second.
    pub fn tick(&mut self, now: time::Time) {
        let stale_after = self.stale_after;
        self.peers.retain(|p| now.since(p.last_heard) < stale_after);
        self.buckets.retain(|b| now.since(b.last_call) < BUCKET_IDLE_TIMEOUT);
        self.update_peer_demand(now);
    }

    fn update_peer_demand(&mut self, now: time::Time) {
        let stale_after = self.stale_after;
        for bucket in &mut self.buckets {
            let fresh = self.peers.iter().filter(|p| now.since(p.last_heard) < stale_after);
            let demands = fresh.filter_map(|p| p.demand_of(&bucket.organisation));
            bucket.peer_demand = demands.sum();
        }
    }

    fn bucket_index(&mut self, organisation: &name::Name, tokens: f64, now: time::Time) -> usize {
        match self.buckets.binary_search_by(|b| b.organisation.cmp(organisation)) {
            Ok(at) => at,
            Err(at) => {
                let fresh = self.peers.iter().filter(|p| now.since(p.last_heard) < self.stale_after);
                let peer_demand = fresh.filter_map(|p| p.demand_of(organisation)).sum();
                let bucket = Bucket {
                    organisation: organisation.clone(),
                    tokens: tokens.max(1.0),
                    refilled: now,
                    demand: 0.0,
                    peer_demand,
                    last_call: now,
                };
                self.buckets.insert(at, bucket);
                at
            }
        }
    }
}

impl Peer {
    fn demand_of(&self, organisation: &name::Name) -> Option<f64> {
        let at = self
            .demands
            .binary_search_by(|d| d.organisation.cmp(organisation))
            .ok()?;
        Some(f64::from(self.demands[at].calls_per_second))
    }
}

impl Bucket {
    fn demand_at(&self, now: time::Time) -> f64 {
        let age = now.since(self.last_call).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand * (-age).exp()
    }

    fn record_call(&mut self, now: time::Time) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.last_call = now;
    }

    /// Returns the fraction of the limit that this entry may use.
    ///
    /// `live_entries` is the number of entries with recent reports and `known_entries` the number of all entries that
    /// share the limit; both include this entry.
    fn share(&self, known_entries: f64, live_entries: f64) -> f64 {
        let connected_part = live_entries / known_entries;
        let by_demand = self.demand / (self.demand + self.peer_demand);
        connected_part * (EQUAL_SHARE_FRACTION / live_entries + (1.0 - EQUAL_SHARE_FRACTION) * by_demand)
    }
}
