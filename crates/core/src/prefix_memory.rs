//! Where prompt prefixes were sent lately.
//!
//! Engines publish cache events late and with gaps, so they serve as hints only. An entry's own recent choices are the
//! better memory: it knows at once and without a message where a prefix went.

use xxhash_rust::xxh3;

use crate::name;

/// Bytes of a prompt that make one block.
pub const BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are remembered.
const MAX_BLOCKS: usize = 16;

/// Hashes of a prompt's growing prefixes, shortest first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PrefixHashes(
    /// Each hash covers all blocks before it too.
    Vec<u64>,
);

impl PrefixHashes {
    /// Hashes the whole blocks of `prompt`.
    pub fn of(prompt: &[u8]) -> Self {
        let mut seed = 0;
        let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        let hashes = blocks.map(|block| {
            seed = xxh3::xxh3_64_with_seed(block, seed);
            seed
        });
        Self(hashes.collect())
    }

    /// Number of whole blocks.
    pub fn blocks(&self) -> usize {
        self.0.len()
    }
}

#[derive(Debug, Clone)]
struct PrefixRecord {
    hash: u64,
    endpoint: name::Name,
    last_used: u64,
}

/// Bounded memory of prefixes and endpoints.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    /// Sorted by `(hash, endpoint)`; at most `capacity`.
    records: Vec<PrefixRecord>,
    capacity: usize,
    use_count: u64,
}

impl PrefixMemory {
    /// An empty memory for `capacity` traces.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: Vec::new(),
            capacity: capacity.max(1),
            use_count: 0,
        }
    }

    /// Remembers that `endpoint` has read the prompt.
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

    /// Blocks of the prompt that `endpoint` is likely to hold.
    pub fn matched_blocks(&self, prompt: &PrefixHashes, endpoint: &name::Name) -> usize {
        let matching = prompt.0.iter().take_while(|hash| {
            let key = (**hash, endpoint);
            self.records
                .binary_search_by(|r| (r.hash, &r.endpoint).cmp(&key))
                .is_ok()
        });
        matching.count()
    }

    /// Forgets an endpoint whose cache is gone or whose events had a gap.
    pub fn remove_endpoint(&mut self, endpoint: &name::Name) {
        self.records.retain(|r| r.endpoint != *endpoint);
    }

    fn evict_oldest_half(&mut self) {
        let mut use_times: Vec<u64> = self.records.iter().map(|r| r.last_used).collect();
        use_times.sort_unstable();
        let newest_evicted = use_times[use_times.len() / 2];
        self.records.retain(|r| r.last_used > newest_evicted);
    }
}
