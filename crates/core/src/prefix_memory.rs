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
struct Trace {
    hash: u64,
    endpoint: name::Name,
    used: u64,
}

/// Bounded memory of prefixes and endpoints.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    /// Sorted by `(hash, endpoint)`; at most `capacity`.
    traces: Vec<Trace>,
    capacity: usize,
    uses: u64,
}

impl PrefixMemory {
    /// An empty memory for `capacity` traces.
    pub fn new(capacity: usize) -> Self {
        Self {
            traces: Vec::new(),
            capacity: capacity.max(1),
            uses: 0,
        }
    }

    /// Remembers that `endpoint` has read the prompt.
    pub fn record(&mut self, prompt: &PrefixHashes, endpoint: &name::Name) {
        self.uses += 1;
        for hash in &prompt.0 {
            let wanted = (*hash, endpoint);
            match self.traces.binary_search_by(|t| (t.hash, &t.endpoint).cmp(&wanted)) {
                Ok(at) => self.traces[at].used = self.uses,
                Err(at) => {
                    let trace = Trace {
                        hash: *hash,
                        endpoint: endpoint.clone(),
                        used: self.uses,
                    };
                    self.traces.insert(at, trace);
                }
            }
        }
        if self.traces.len() > self.capacity {
            self.shed();
        }
    }

    /// Blocks of the prompt that `endpoint` is likely to hold.
    pub fn matched_blocks(&self, prompt: &PrefixHashes, endpoint: &name::Name) -> usize {
        let held = prompt.0.iter().take_while(|hash| {
            let wanted = (**hash, endpoint);
            self.traces
                .binary_search_by(|t| (t.hash, &t.endpoint).cmp(&wanted))
                .is_ok()
        });
        held.count()
    }

    /// Forgets an endpoint whose cache is gone or whose events had a gap.
    pub fn remove_endpoint(&mut self, endpoint: &name::Name) {
        self.traces.retain(|t| t.endpoint != *endpoint);
    }

    fn shed(&mut self) {
        let mut ages: Vec<u64> = self.traces.iter().map(|t| t.used).collect();
        ages.sort_unstable();
        let oldest_kept = ages[ages.len() / 2];
        self.traces.retain(|t| t.used > oldest_kept);
    }
}
