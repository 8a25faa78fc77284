//! State of the stand-in platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sycamorestile_core::name;
use sycamorestile_platform::commit;
use sycamorestile_platform::instance;
use sycamorestile_platform::row;

/// Maximum number of rows that a read by prefix returns when the request has no limit.
const DEFAULT_ROW_LIMIT: usize = 10_000;

/// Faults to inject. A field that is `None` leaves its setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Time for which the platform does not respond to requests, in milliseconds. Zero ends an outage.
    pub outage_ms: Option<u64>,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of coming commits that are processed but get no response.
    pub lose_answers: Option<u32>,
    /// Time after which a change of the instance list becomes visible, in milliseconds.
    pub list_lag_ms: Option<u64>,
}

/// Number of requests that the platform received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the table.
    pub reads: u64,
    /// Commits to the table, including those whose conditions failed.
    pub commits: u64,
    /// Reads of the instance list.
    pub lists: u64,
}

#[derive(Debug)]
struct StoredRow {
    version: u64,
    value: serde_json::Value,
}

#[derive(Debug)]
struct ListedInstance {
    instance: Option<instance::Instance>,
    visible_at: Instant,
}

/// State of the platform.
#[derive(Debug)]
pub struct PlatformState {
    rows: BTreeMap<String, StoredRow>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Changes of each instance, in the order in which they were made.
    instances: BTreeMap<name::Name, Vec<ListedInstance>>,
    version: u64,
    /// Number of requests received so far.
    pub counts: Counts,
    outage_until: Option<Instant>,
    /// Delay before each request is processed.
    pub delay: Duration,
    lose_answers: u32,
    list_lag: Duration,
    /// Balance of the token bucket that limits the weight store. It is negative after a request for more bytes than
    /// were available.
    available_weight_bytes: f64,
    weights_refilled_at: Instant,
    /// Rate limit of the weight store.
    pub weight_bytes_per_second: f64,
}

/// Default rate limit of the weight store.
const WEIGHT_BYTES_PER_SECOND: f64 = 64e6;

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            instances: BTreeMap::new(),
            version: 0,
            counts: Counts::default(),
            outage_until: None,
            delay: Duration::ZERO,
            lose_answers: 0,
            list_lag: Duration::ZERO,
            available_weight_bytes: WEIGHT_BYTES_PER_SECOND,
            weights_refilled_at: Instant::now(),
            weight_bytes_per_second: WEIGHT_BYTES_PER_SECOND,
        }
    }
}

impl PlatformState {
    /// Applies `faults`.
    pub fn set_faults(&mut self, faults: &Faults) {
        if let Some(ms) = faults.outage_ms {
            self.outage_until = Some(Instant::now() + Duration::from_millis(ms));
        }
        if let Some(ms) = faults.delay_ms {
            self.delay = Duration::from_millis(ms);
        }
        if let Some(count) = faults.lose_answers {
            self.lose_answers = count;
        }
        if let Some(ms) = faults.list_lag_ms {
            self.list_lag = Duration::from_millis(ms);
        }
    }

    /// Returns whether an injected outage is in progress.
    pub fn is_unavailable(&self) -> bool {
        self.outage_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether the response to the current commit is to be dropped, and counts it against
    /// [`Faults::lose_answers`].
    pub fn consume_lost_response(&mut self) -> bool {
        let is_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_lost
    }

    /// Reads rows by key, by prefix or both. The limit applies to the rows read by prefix only.
    pub fn read(&mut self, req: &row::ReadRequest) -> row::ReadReply {
        self.counts.reads += 1;
        let limit = req.limit.unwrap_or(DEFAULT_ROW_LIMIT);
        let mut rows: Vec<row::Row> = req.keys.iter().filter_map(|key| self.row(key)).collect();
        if let Some(prefix) = &req.prefix {
            let start = req.after.as_ref().unwrap_or(prefix).clone();
            let matching = self
                .rows
                .range(start..)
                .take_while(|(key, _)| key.starts_with(prefix.as_str()));
            let remaining = matching.filter(|(key, _)| req.after.as_ref() != Some(key));
            rows.extend(remaining.take(limit).filter_map(|(key, _)| self.row(key)));
        }
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        row::ReadReply { rows }
    }

    fn row(&self, key: &str) -> Option<row::Row> {
        self.rows.get(key).map(|stored| row::Row {
            key: key.to_owned(),
            version: stored.version,
            value: stored.value.clone(),
        })
    }

    /// Applies all writes of a transaction if all its conditions hold, and none otherwise.
    pub fn commit(&mut self, req: commit::CommitRequest) -> commit::CommitReply {
        self.counts.commits += 1;
        let version_of = |key: &str| self.rows.get(key).map_or(0, |stored| stored.version);
        let failed = req.conditions.iter().filter(|c| version_of(&c.key) != c.version);
        let keys: Vec<String> = failed.map(|c| c.key.clone()).collect();
        if !keys.is_empty() {
            let rows = keys.iter().filter_map(|key| self.row(key)).collect();
            return commit::CommitReply::Conflicts { keys, rows };
        }
        self.version += 1;
        for write in req.writes {
            match write.value {
                Some(value) => {
                    let version = self.version;
                    self.rows.insert(write.key, StoredRow { version, value });
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        commit::CommitReply::Committed(self.version)
    }

    /// Stores an object under `name`.
    pub fn put_object(&mut self, name: String, bytes: Vec<u8>) {
        self.objects.insert(name, bytes);
    }

    /// Returns the object stored under `name`.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    /// Sets the entry of the instance `name`, or removes it when `instance` is `None`.
    ///
    /// The change becomes visible after the configured lag.
    pub fn set_listed_instance(&mut self, name: name::Name, instance: Option<instance::Instance>) {
        let visible_at = Instant::now() + self.list_lag;
        self.instances
            .entry(name)
            .or_default()
            .push(ListedInstance { instance, visible_at });
    }

    /// Returns the instance list with the changes that are visible now.
    pub fn instances(&mut self) -> instance::InstanceList {
        self.counts.lists += 1;
        let now = Instant::now();
        let visible = self.instances.values().filter_map(|history| {
            let current = history.iter().rev().find(|listed| listed.visible_at <= now)?;
            current.instance.clone()
        });
        instance::InstanceList {
            instances: visible.collect(),
        }
    }

    /// Requests `bytes` from the weight store.
    ///
    /// A request is granted in full as long as the token bucket is not empty.
    ///
    /// # Errors
    ///
    /// Returns the time after which to try again when the bucket is empty.
    pub fn acquire_weights(&mut self, bytes: u64) -> Result<(), Duration> {
        let now = Instant::now();
        let refilled = now.duration_since(self.weights_refilled_at).as_secs_f64() * self.weight_bytes_per_second;
        self.available_weight_bytes = (self.available_weight_bytes + refilled).min(self.weight_bytes_per_second);
        self.weights_refilled_at = now;
        if self.available_weight_bytes > 0.0 {
            self.available_weight_bytes -= bytes as f64;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            -self.available_weight_bytes / self.weight_bytes_per_second + 0.001,
        ))
    }
}
