//! Record of the endpoints to which prompt prefixes were recently sent.
//!
//! An entry predicts from its own recent routing which endpoints have a prefix in their cache. That record is available
//! immediately and without messages, whereas the cache events of engines are late and have gaps, so they are reliable
//! only as hints.

use xxhash_rust::xxh3;

use crate::name;

/// Length of a prompt block, in bytes.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks per prompt that are hashed.
const MAX_BLOCKS: usize = 16;

/// Hashes of the prefixes of a prompt that end at block boundaries, shortest first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PrefixHashes(
    /// Each hash covers its block and all earlier ones.
    Vec<u64>,
);

impl PrefixHashes {
    /// Computes the hashes of `prompt`. An incomplete last block is ignored.
    pub fn of(prompt: &[u8]) -> Self {
        let mut seed = 0;
        let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        let hashes = blocks.map(|block| {
            seed = xxh3::xxh3_64_with_seed(block, seed);
            seed
        });
        Self(hashes.collect())
    }

    /// Returns the number of hashed blocks.
    pub fn blocks(&self) -> usize {
        self.0.len()
    }
}

/// A prefix that was sent to an endpoint.
#[derive(Debug, Clone)]
struct PrefixRecord {
    hash: u64,
    endpoint: name::Name,
    /// Value of [`PrefixMemory::use_count`] at the last use.
    last_used: u64,
}

/// Bounded collection of prefixes and the endpoints to which they were sent.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    /// Sorted by `(hash, endpoint)`; at most `capacity`.
    records: Vec<PrefixRecord>,
    capacity: usize,
    use_count: u64,
}

impl PrefixMemory {
    /// Creates an empty collection for at most `capacity` pairs of prefix and endpoint, or one pair if `capacity` is 0.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: Vec::new(),
            capacity: capacity.max(1),
            use_count: 0,
        }
    }

    /// Records that the prompt was sent to `endpoint`.
    pub fn record(&mut self, prompt: &PrefixHashes, endpoint: &name::Name) {
        self.use_count += 1;
        for hash in &prompt.0 {
            let key = (*hash, endpoint);
            match self.records.binary_search_by(|r| (r.hash, &r.endpoint).cmp(&key)) {
                Ok(index) => self.records[index].last_used = self.use_count,
                Err(index) => {
                    let record = PrefixRecord {
                        hash: *hash,
                        endpoint: endpoint.clone(),
                        last_used: self.use_count,
                    };
                    self.records.insert(index, record);
                }
            }
        }
        if self.records.len() > self.capacity {
            self.evict_oldest_half();
        }
    }

    /// Returns the number of leading blocks of the prompt that `endpoint` is likely to have cached.
    pub fn matched_blocks(&self, prompt: &PrefixHashes, endpoint: &name::Name) -> usize {
        let matching = prompt.0.iter().take_while(|hash| {
            let key = (**hash, endpoint);
            self.records
                .binary_search_by(|r| (r.hash, &r.endpoint).cmp(&key))
                .is_ok()
        });
        matching.count()
    }

    /// Removes all prefixes of an endpoint whose cache was lost or whose cache events had a gap.
    pub fn remove_endpoint(&mut self, endpoint: &name::Name) {
        self.records.retain(|r| r.endpoint != *endpoint);
    }

    /// Removes at least half of the records, those that were used least recently.
    fn evict_oldest_half(&mut self) {
        let mut use_times: Vec<u64> = self.records.iter().map(|r| r.last_used).collect();
        use_times.sort_unstable();
        let newest_evicted = use_times[use_times.len() / 2];
        self.records.retain(|r| r.last_used > newest_evicted);
    }
}
