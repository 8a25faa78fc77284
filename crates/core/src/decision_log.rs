//! Bounded log of decisions, which operators can query to find out why something happened.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::name;
use crate::time;

/// Kind of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A call was refused.
    Refused,
    /// A new attempt was started for a call.
    Retried,
    /// The connection to an agent was replaced and its attempt continued on the new connection.
    Resumed,
    /// A call ended with an unknown outcome.
    Doubted,
    /// A member started draining.
    Drained,
    /// The liveness of a member changed.
    Judged,
    /// A configuration revision came into force.
    Configured,
}

/// A recorded decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision.
    pub at: time::Time,
    /// Kind of the decision.
    pub action: Action,
    /// The call that the decision concerns, if any.
    pub call: Option<Box<str>>,
    /// The endpoint that the decision concerns, if any.
    pub endpoint: Option<name::Name>,
    /// The group that the decision concerns, if any.
    pub group: Option<name::Name>,
    /// Human-readable reason, with the relevant figures.
    pub cause: Box<str>,
}

/// Filter for decisions. A field that is `None` matches every decision.
#[derive(Debug, Clone, Default)]
pub struct Query {
    /// Matches decisions about this call.
    pub call: Option<Box<str>>,
    /// Matches decisions about this endpoint.
    pub endpoint: Option<name::Name>,
    /// Matches decisions about this group.
    pub group: Option<name::Name>,
    /// Matches decisions made at or after this time.
    pub since: Option<time::Time>,
    /// Maximum number of decisions to return; the newest are kept.
    pub limit: usize,
}

/// The most recent decisions of a process.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    /// Oldest first. Holds at most `capacity` decisions.
    decisions: VecDeque<Decision>,
    capacity: usize,
}

impl DecisionLog {
    /// Creates an empty log that keeps up to `capacity` decisions, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            decisions: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records a decision. Drops the oldest one when the log is full.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() == self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns the decisions that match `query`, oldest first.
    pub fn find(&self, query: &Query) -> Vec<&Decision> {
        let newest_first = self.decisions.iter().rev().filter(|d| query.matches(d));
        let mut found: Vec<&Decision> = newest_first.take(query.limit).collect();
        found.reverse();
        found
    }
}

impl Query {
    fn matches(&self, decision: &Decision) -> bool {
        let call = self.call.is_none() || self.call == decision.call;
        let endpoint = self.endpoint.is_none() || self.endpoint == decision.endpoint;
        let group = self.group.is_none() || self.group == decision.group;
        let since = self.since.is_none_or(|since| decision.at >= since);
        call && endpoint && group && since
    }
}
