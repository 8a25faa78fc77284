//! One rank of the stand-in model engine.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// A completion that is waiting or being generated.
#[derive(Debug)]
pub struct Sequence {
    /// Index of the next token to generate.
    pub next_index: u32,
    /// Index past the last token to generate.
    pub end_index: u32,
    /// Receives the index of each generated token. The channel is closed when the client disconnects.
    pub token_tx: mpsc::UnboundedSender<u32>,
}

/// State of one rank.
#[derive(Debug, Default)]
pub struct Rank {
    /// Sequences in the running batch.
    pub running: Vec<Sequence>,
    /// Sequences that wait for a slot in the batch, in order of arrival.
    pub waiting: VecDeque<Sequence>,
    /// Version of the expert map that the rank holds.
    pub map_version: u64,
    /// Number of coming steps in which the rank generates no tokens. The other ranks are not affected.
    pub remaining_stall_steps: u64,
}

/// Faults to inject into a rank. A field that is `None` leaves its setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Number of steps for which the rank generates no tokens.
    pub stall_steps: Option<u64>,
    /// Version of the expert map that the rank holds from the next step on, independent of the other ranks.
    pub map: Option<u64>,
}

impl Rank {
    /// Applies `faults` to the rank.
    pub fn set_faults(&mut self, faults: &Faults) {
        if let Some(steps) = faults.stall_steps {
            self.remaining_stall_steps = steps;
        }
        if let Some(version) = faults.map {
            self.map_version = version;
        }
    }

    /// Moves waiting sequences into the batch until it holds `slots` sequences.
    pub fn admit_waiting(&mut self, slots: usize) {
        while self.running.len() < slots {
            let Some(sequence) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(sequence);
        }
    }

    /// Generates one token for each sequence in the batch.
    ///
    /// A sequence leaves the batch when it is complete or when its client has disconnected.
    pub fn step(&mut self) {
        if self.remaining_stall_steps > 0 {
            self.remaining_stall_steps -= 1;
            return;
        }
        self.running.retain_mut(|sequence| {
            let is_read = sequence.token_tx.send(sequence.next_index).is_ok();
            sequence.next_index += 1;
            is_read && sequence.next_index < sequence.end_index
        });
    }
}
