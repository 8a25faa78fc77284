//! Frame logs of the attempts at an agent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sycamorestile_core::attempt_id;
use sycamorestile_core::response_retention;
use sycamorestile_core::time;

use crate::agent::frame_log;

#[derive(Debug)]
struct LoggedAttempt {
    attempt: attempt_id::AttemptId,
    log: Arc<frame_log::FrameLog>,
}

/// Frame logs by attempt.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    /// Sorted by attempt.
    logs: Mutex<Vec<LoggedAttempt>>,
}

impl Registry {
    fn logs(&self) -> MutexGuard<'_, Vec<LoggedAttempt>> {
        self.logs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, attempt: attempt_id::AttemptId) -> Option<Arc<frame_log::FrameLog>> {
        let logs = self.logs();
        let index = logs.binary_search_by(|logged| logged.attempt.cmp(&attempt)).ok()?;
        Some(Arc::clone(&logs[index].log))
    }

    /// Creates the log of a new attempt. Returns `None` if the attempt already has a log.
    pub(crate) fn add(&self, attempt: attempt_id::AttemptId, now: time::Time) -> Option<Arc<frame_log::FrameLog>> {
        let mut logs = self.logs();
        discard_complete(&mut logs, now);
        match logs.binary_search_by(|logged| logged.attempt.cmp(&attempt)) {
            Ok(_) => None,
            Err(index) => {
                let log = Arc::new(frame_log::FrameLog::new());
                logs.insert(
                    index,
                    LoggedAttempt {
                        attempt,
                        log: Arc::clone(&log),
                    },
                );
                Some(log)
            }
        }
    }

    /// Returns whether the last frame of every attempt was sent to a reader.
    pub(crate) fn all_fetched(&self) -> bool {
        self.logs().iter().all(|logged| logged.log.is_fetched())
    }
}

/// Discards the complete logs that are too old or that there is no room for.
fn discard_complete(logs: &mut Vec<LoggedAttempt>, now: time::Time) {
    let complete: Vec<_> = logs.iter().map(|logged| logged.log.complete()).collect();
    let responses: Vec<_> = complete.iter().copied().flatten().collect();
    let mut kept = response_retention::kept(&responses, now).into_iter();
    let mut complete = complete.into_iter();
    // Logs that are still written are kept.
    logs.retain(|_| complete.next().flatten().is_none() || kept.next().unwrap_or_default());
}
