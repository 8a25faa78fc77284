//! Endpoints that have withdrawn from this instance: until a time that they named, or for good because they leave.
//!
//! Load condition addressed: endpoints that shed load, and endpoints that are replaced while the table still lists them as
//! ready or can't be reached. A withdrawal is the word of one process of an endpoint. The next process under the same
//! identifier has said nothing yet.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::endpoint;
use crate::time;

/// Upper bound of a pause. An endpoint that names a longer one is asked again after this time.
pub const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Time for which the withdrawal of an endpoint is kept that the table doesn't list any more. A table that is restored
/// from an older copy may list it again.
pub const UNLISTED_MEMORY: Duration = Duration::from_secs(600);
/// Upper bound of the number of such withdrawals. Those that were listed last are kept.
pub const MAX_UNLISTED: usize = 16_384;

/// What a response says about further requests to its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the endpoint leaves, and takes no further requests.
    pub is_leaving: bool,
    /// How long the endpoint wants no requests from this instance.
    pub pause: Option<Duration>,
}

impl Notice {
    /// Returns whether the endpoint takes no requests now.
    pub fn is_withdrawal(&self) -> bool {
        self.is_leaving || self.pause.is_some_and(|pause| !pause.is_zero())
    }
}

/// Whether an endpoint takes requests from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It has not withdrawn.
    Open,
    /// It takes none for this long.
    Paused(Duration),
    /// It takes none any more.
    Leaving,
}

#[derive(Debug, Clone)]
struct Withdrawal {
    endpoint: Arc<str>,
    /// The start of the process that withdrew.
    started_at_ms: Option<u64>,
    is_leaving: bool,
    /// End of the latest pause. Pauses are only ever extended, since each of them was asked for.
    paused_until: time::Time,
    /// Since when the table lists no endpoint with this identifier.
    unlisted_since: Option<time::Time>,
}

/// The endpoints that have withdrawn from this instance.
///
/// Withdrawals of listed endpoints are never forgotten, so the table bounds their number.
#[derive(Debug, Clone, Default)]
pub struct Withdrawals {
    /// Sorted by endpoint.
    withdrawals: Vec<Withdrawal>,
}

impl Withdrawals {
    /// Records what a response of `endpoint` says. Returns whether that is news: the endpoint was open before, or it leaves.
    pub fn record(&mut self, endpoint: &endpoint::Endpoint, notice: Notice, now: time::Time) -> bool {
        if !notice.is_withdrawal() {
            return false;
        }
        let former = self.availability(endpoint, now);
        let at = match self.position(&endpoint.id) {
            Ok(at) => at,
            Err(at) => {
                self.withdrawals.insert(at, Withdrawal::of(endpoint));
                at
            }
        };
        let withdrawal = &mut self.withdrawals[at];
        if withdrawal.started_at_ms != endpoint.started_at_ms {
            *withdrawal = Withdrawal::of(endpoint);
        }
        withdrawal.is_leaving |= notice.is_leaving;
        let pause = notice.pause.unwrap_or_default().min(MAX_PAUSE);
        withdrawal.paused_until = withdrawal.paused_until.max(now + pause);
        match former {
            Availability::Open => true,
            Availability::Paused(_) => withdrawal.is_leaving,
            Availability::Leaving => false,
        }
    }

    /// Returns whether any endpoint has withdrawn.
    pub fn is_any(&self) -> bool {
        !self.withdrawals.is_empty()
    }

    /// Returns whether `endpoint` takes requests from this instance.
    pub fn availability(&self, endpoint: &endpoint::Endpoint, now: time::Time) -> Availability {
        let withdrawal = self.position(&endpoint.id).ok().map(|at| &self.withdrawals[at]);
        match withdrawal.filter(|w| w.started_at_ms == endpoint.started_at_ms) {
            Some(w) if w.is_leaving => Availability::Leaving,
            Some(w) if now < w.paused_until => Availability::Paused(w.paused_until.since(now)),
            _ => Availability::Open,
        }
    }

    /// Returns the number of paused and of leaving endpoints.
    pub fn counts(&self, now: time::Time) -> (usize, usize) {
        let leaving = self.withdrawals.iter().filter(|w| w.is_leaving).count();
        let paused = self
            .withdrawals
            .iter()
            .filter(|w| !w.is_leaving && now < w.paused_until);
        (paused.count(), leaving)
    }

    /// Forgets pauses that have ended and endpoints that have not been listed for long. Returns how many withdrawals were
    /// forgotten for want of room. Call this regularly.
    pub fn refresh<F>(&mut self, is_listed: F, now: time::Time) -> usize
    where
        F: Fn(&str) -> bool,
    {
        for withdrawal in &mut self.withdrawals {
            let since = withdrawal.unlisted_since.unwrap_or(now);
            withdrawal.unlisted_since = (!is_listed(&withdrawal.endpoint)).then_some(since);
        }
        self.withdrawals.retain(|w| {
            let is_recent = w.unlisted_since.is_none_or(|at| now.since(at) < UNLISTED_MEMORY);
            is_recent && (w.is_leaving || now < w.paused_until)
        });
        let mut unlisted: Vec<time::Time> = self.withdrawals.iter().filter_map(|w| w.unlisted_since).collect();
        let excess = unlisted.len().saturating_sub(MAX_UNLISTED);
        if excess > 0 {
            unlisted.sort_unstable();
            let oldest_kept = unlisted[excess];
            let before = self.withdrawals.len();
            let mut surplus = excess;
            self.withdrawals.retain(|w| {
                let is_surplus = surplus > 0 && w.unlisted_since.is_some_and(|at| at <= oldest_kept);
                surplus -= usize::from(is_surplus);
                !is_surplus
            });
            return before - self.withdrawals.len();
        }
        0
    }

    fn position(&self, endpoint: &str) -> Result<usize, usize> {
        self.withdrawals.binary_search_by(|w| w.endpoint.as_ref().cmp(endpoint))
    }
}

impl Withdrawal {
    fn of(endpoint: &endpoint::Endpoint) -> Self {
        Self {
            endpoint: Arc::clone(&endpoint.id),
            started_at_ms: endpoint.started_at_ms,
            is_leaving: false,
            paused_until: time::Time::ZERO,
            unlisted_since: None,
        }
    }
}
