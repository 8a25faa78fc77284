//! What the stand-in platform holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sycamorestile_core::name;
use sycamorestile_platform::commit;
use sycamorestile_platform::instance;
use sycamorestile_platform::row;

/// Rows of one read when the request names no limit.
const DEFAULT_ROW_LIMIT: usize = 10_000;

/// Faults on command. Absent fields change nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// No call is answered for so long, in milliseconds; zero ends an outage.
    pub outage_ms: Option<u64>,
    /// Each call takes so much longer, in milliseconds.
    pub delay_ms: Option<u64>,
    /// So many of the next commits take effect and are not answered.
    pub lose_answers: Option<u32>,
    /// Changes of the instance list show after so long, in milliseconds.
    pub list_lag_ms: Option<u64>,
}

/// Calls that the platform took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the table.
    pub reads: u64,
    /// Commits, whether or not their conditions held.
    pub commits: u64,
    /// Looks at the instance list.
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
    /// Changes of each instance in order of time.
    instances: BTreeMap<name::Name, Vec<ListedInstance>>,
    version: u64,
    /// Calls taken so far.
    pub counts: Counts,
    outage_until: Option<Instant>,
    /// Added to each call.
    pub delay: Duration,
    lose_answers: u32,
    list_lag: Duration,
    /// Bytes that the weight store may still give.
    available_weight_bytes: f64,
    weights_refilled_at: Instant,
    /// Bytes a second that the weight store gives.
    pub weight_bytes_per_second: f64,
}

/// Bytes a second of the weight store.
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
    /// Sets faults.
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

    /// Whether an outage is on.
    pub fn is_unavailable(&self) -> bool {
        self.outage_until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether the answer to the commit just made is to be lost.
    pub fn consume_lost_response(&mut self) -> bool {
        let is_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_lost
    }

    /// Reads rows.
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

    /// Runs a transaction.
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

    /// Puts an object.
    pub fn put_object(&mut self, name: String, bytes: Vec<u8>) {
        self.objects.insert(name, bytes);
    }

    /// Gets an object.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    /// Changes the list of instances; the change shows after the lag.
    pub fn set_listed_instance(&mut self, name: name::Name, instance: Option<instance::Instance>) {
        let visible_at = Instant::now() + self.list_lag;
        self.instances
            .entry(name)
            .or_default()
            .push(ListedInstance { instance, visible_at });
    }

    /// The list as it shows now.
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

    /// Takes bytes from the weight store, or says how long to wait.
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
