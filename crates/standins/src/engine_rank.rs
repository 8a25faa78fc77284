//! One rank of the stand-in group.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// One answer being generated.
#[derive(Debug)]
pub struct Sequence {
    /// Index of the next token.
    pub next_index: u32,
    /// Index after the last token.
    pub end_index: u32,
    /// Where indices of tokens go; closed when the reader is gone.
    pub token_tx: mpsc::UnboundedSender<u32>,
}

/// State of one rank.
#[derive(Debug, Default)]
pub struct Rank {
    /// Answers in the running batch.
    pub running: Vec<Sequence>,
    /// Answers that wait for a place in the batch.
    pub waiting: VecDeque<Sequence>,
    /// Version of the expert map in force.
    pub map_version: u64,
    /// Steps for which the rank generates nothing; the group steps on.
    pub remaining_stall_steps: u64,
}

/// Faults on command. Absent fields change nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// The rank generates nothing for so many steps.
    pub stall_steps: Option<u64>,
    /// The rank holds this version of the expert map from the next step on, whatever the others hold.
    pub map: Option<u64>,
}

impl Rank {
    /// Sets faults.
    pub fn set_faults(&mut self, faults: &Faults) {
        if let Some(steps) = faults.stall_steps {
            self.remaining_stall_steps = steps;
        }
        if let Some(version) = faults.map {
            self.map_version = version;
        }
    }

    /// Takes waiting answers into the batch.
    pub fn admit_waiting(&mut self, slots: usize) {
        while self.running.len() < slots {
            let Some(sequence) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(sequence);
        }
    }

    /// Generates one token of each answer in the batch; ended and unread answers leave it.
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
