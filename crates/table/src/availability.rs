//! The availability of the table, shared by the feeds of a process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sycamorestile_core::direct::{poll_schedule, table_availability};
use sycamorestile_core::time;
use tokio::sync::Notify;
use tokio::time as timer;

use crate::boot_clock;

/// The availability of the table. Clones share it.
#[derive(Debug, Clone)]
pub struct AvailabilityWatch {
    /// Name of the instance.
    instance: Arc<str>,
    state: Arc<Mutex<table_availability::TableAvailability>>,
    /// Wakes those that wait when an outage begins or ends, or when reads may be lost.
    changed: Arc<Notify>,
}

impl AvailabilityWatch {
    /// Creates the state of a process of `instance` that has not read yet.
    pub fn new(instance: Arc<str>) -> Self {
        Self {
            instance,
            state: Arc::default(),
            changed: Arc::default(),
        }
    }

    /// Sets the number of instances that read the table.
    pub fn set_sharers(&self, count: usize) {
        self.lock().set_sharers(count);
    }

    /// Returns whether the table is away.
    pub fn is_away(&self) -> bool {
        self.lock().is_away()
    }

    /// Returns when the last outage ended, as far as this process has noticed.
    pub fn returned_at(&self) -> Option<time::Time> {
        self.lock().returned_at()
    }

    pub(crate) fn instance(&self) -> &str {
        &self.instance
    }

    /// Waits until `schedule` lets a feed read, and returns for how long the table is to be asked to wait.
    pub(crate) async fn next_read(&self, schedule: &mut poll_schedule::PollSchedule, wait: Duration) -> Duration {
        loop {
            // Created before the decision, so that no change is missed.
            let changed = self.changed.notified();
            let next = schedule.next(&mut self.lock(), wait, boot_clock::now());
            match next {
                poll_schedule::NextRead::Read { wait } => return wait,
                poll_schedule::NextRead::Pause(duration) => {
                    // The schedule decides anew either way.
                    let _changed = timer::timeout(duration, changed).await;
                }
            }
        }
    }

    /// Lets a feed's schedule record the outcome of a read, and returns its result.
    pub(crate) fn record<F>(&self, outcome: F) -> bool
    where
        F: FnOnce(&mut table_availability::TableAvailability) -> bool,
    {
        let mut state = self.lock();
        let lost_before = state.lost_before();
        let has_switched = outcome(&mut state);
        if has_switched || state.lost_before() != lost_before {
            self.changed.notify_waiters();
        }
        has_switched
    }

    /// Waits until a read that was sent at `sent` may be lost, and returns the time before which lost reads were sent.
    pub(crate) async fn lost(&self, sent: time::Time) -> time::Time {
        loop {
            let changed = self.changed.notified();
            let lost_before = self.lock().lost_before();
            if lost_before > sent {
                return lost_before;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, table_availability::TableAvailability> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
