//! Bounded record of decisions, for operators who ask why.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::name;
use crate::time;

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A call was refused.
    Refused,
    /// A call was tried again.
    Retried,
    /// A connection was given up and the attempt followed on a new one.
    Resumed,
    /// A call ended with unknown outcome.
    Doubted,
    /// A member began to leave.
    Drained,
    /// A member's standing changed.
    Judged,
    /// A configuration came into force.
    Configured,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was taken.
    pub at: time::Time,
    /// What was decided.
    pub action: Action,
    /// The call, if it is about one.
    pub call: Option<Box<str>>,
    /// The endpoint, if it is about one.
    pub endpoint: Option<name::Name>,
    /// The group, if it is about one.
    pub group: Option<name::Name>,
    /// Cause and figures.
    pub cause: Box<str>,
}

/// Which decisions are wanted.
#[derive(Debug, Clone, Default)]
pub struct Query {
    /// Only about this call.
    pub call: Option<Box<str>>,
    /// Only about this endpoint.
    pub endpoint: Option<name::Name>,
    /// Only about this group.
    pub group: Option<name::Name>,
    /// Only from this time on.
    pub since: Option<time::Time>,
    /// At most this many, the newest.
    pub limit: usize,
}

/// The last decisions of one process.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    /// Oldest first; at most `capacity`.
    decisions: VecDeque<Decision>,
    capacity: usize,
}

impl DecisionLog {
    /// An empty log for `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self {
            decisions: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Adds a decision; the oldest gives way.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() == self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// The decisions that `query` wants, oldest first.
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
