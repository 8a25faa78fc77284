//! The eras of the table.
//!
//! An era ends when the table comes back from an older copy. What was written since that copy was made is gone, and
//! versions are given out again, so that a version means something only within its era.

use std::sync::Arc;

use tokio::sync::watch;

/// An era of the table. Later ones are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

/// The newest era that a process has seen in any response of the table. Clones share it.
#[derive(Debug, Clone)]
pub struct EraWatch {
    newest: Arc<watch::Sender<Option<Era>>>,
}

impl Default for EraWatch {
    fn default() -> Self {
        Self {
            newest: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl EraWatch {
    /// Records the era of a response.
    pub fn observe(&self, era: Option<Era>) {
        self.newest.send_if_modified(|newest| {
            let is_newer = era > *newest;
            if is_newer {
                *newest = era;
            }
            is_newer
        });
    }

    /// Returns the newest era, or `None` if no response has named one.
    pub fn newest(&self) -> Option<Era> {
        *self.newest.borrow()
    }

    /// Waits until an era is seen that is newer than `era`.
    pub async fn newer_than(&self, era: Option<Era>) {
        let mut newest = self.newest.subscribe();
        // The sender lives as long as this watch.
        let _seen = newest.wait_for(|newest| *newest > era).await;
    }
}
