//! Agents known to one entry, and their liveness.
//!
//! An agent's heartbeats are authoritative, whether this entry receives them directly or through another entry's
//! report. The platform's list of instances lags behind, so it can only mark a member as draining, never as live. A
//! member without heartbeats becomes suspect and later gone; any newer heartbeat reverses this.

use std::time::Duration;

use crate::agent_view;
use crate::incarnation;
use crate::name;
use crate::time;

/// Time without heartbeats after which a member receives attempts only if no live member can serve them.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time without heartbeats after which a member receives no attempts.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// Liveness of a member as seen by one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Sent a heartbeat recently.
    Live,
    /// Has sent no heartbeat for [`SUSPECT_AFTER`] plus its lag.
    Suspect,
    /// Draining, according to itself or to the platform's list of instances.
    Draining,
    /// Has sent no heartbeat for [`GONE_AFTER`] plus its lag.
    Gone,
}

/// An agent known to the entry.
#[derive(Debug, Clone)]
pub struct Member {
    /// The agent's last heartbeat.
    pub view: agent_view::AgentView,
    /// When this entry or another one received the last heartbeat.
    pub last_heard: time::Time,
    /// When this entry itself received the last heartbeat.
    pub last_heard_directly: Option<time::Time>,
    /// Time without heartbeats to tolerate because of the agent's heartbeat interval or the delay of reports, in
    /// addition to that of an agent that sends heartbeats to this entry at the minimum interval.
    pub lag: Duration,
    /// Whether the platform's list of instances shows the agent as draining.
    pub listed_draining: bool,
}

/// The agents known to one entry.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// Sorted by endpoint. Contains each endpoint once.
    members: Vec<Member>,
}

impl Member {
    /// Returns whether `view` comes from an incarnation that this member has already replaced.
    ///
    /// Of two incarnations of one endpoint, the successor is the one that sends heartbeats while the other is silent or
    /// draining.
    fn supersedes(&self, view: &agent_view::AgentView, now: time::Time) -> bool {
        let silence = now.since(self.last_heard).saturating_sub(self.lag);
        view.incarnation != self.view.incarnation && silence < SUSPECT_AFTER && !self.view.leaving && view.leaving
    }

    /// Returns the liveness of the member at `now`.
    pub fn liveness(&self, now: time::Time) -> Liveness {
        let silence = now.since(self.last_heard).saturating_sub(self.lag);
        if silence >= GONE_AFTER {
            Liveness::Gone
        } else if self.view.leaving || self.listed_draining {
            Liveness::Draining
        } else if silence >= SUSPECT_AFTER {
            Liveness::Suspect
        } else {
            Liveness::Live
        }
    }
}

impl Membership {
    /// Records a heartbeat that this entry received from the agent.
    ///
    /// `lag` becomes the member's [`Member::lag`]. Returns `false` and ignores the heartbeat if a later one is known.
    pub fn record_heartbeat(&mut self, view: agent_view::AgentView, lag: Duration, now: time::Time) -> bool {
        let known = self.position(&view.endpoint).ok().map(|at| &self.members[at]);
        let is_outdated = known.is_some_and(|m| m.view.incarnation == view.incarnation && view.seq <= m.view.seq);
        if is_outdated || known.is_some_and(|m| m.supersedes(&view, now)) {
            return false;
        }
        let listed_draining = known.is_some_and(|m| m.listed_draining && m.view.incarnation == view.incarnation);
        self.put(Member {
            view,
            last_heard: now,
            last_heard_directly: Some(now),
            lag,
            listed_draining,
        });
        true
    }

    /// Records a heartbeat that another entry received at `heard` and included in its report.
    ///
    /// `lag` becomes the member's [`Member::lag`]. Returns `false` and ignores the heartbeat if a later one is known.
    pub fn record_reported_heartbeat(
        &mut self,
        view: agent_view::AgentView,
        heard: time::Time,
        lag: Duration,
        now: time::Time,
    ) -> bool {
        let known = self.position(&view.endpoint).ok().map(|at| &self.members[at]);
        if known.is_some_and(|m| heard <= m.last_heard || m.supersedes(&view, now)) {
            return false;
        }
        let same_incarnation = known.filter(|m| m.view.incarnation == view.incarnation);
        let member = Member {
            // Samples of a report carry no sequence number. Keeping the known one ensures that the agent's next
            // heartbeat to this entry still counts as later.
            view: agent_view::AgentView {
                seq: same_incarnation.map_or(view.seq, |m| m.view.seq.max(view.seq)),
                revision: same_incarnation.map_or(view.revision, |m| m.view.revision.max(view.revision)),
                leaving: view.leaving || same_incarnation.is_some_and(|m| m.view.leaving),
                ..view
            },
            last_heard: heard,
            last_heard_directly: same_incarnation.and_then(|m| m.last_heard_directly),
            lag,
            listed_draining: same_incarnation.is_some_and(|m| m.listed_draining),
        };
        self.put(member);
        true
    }

    fn put(&mut self, member: Member) {
        match self.position(&member.view.endpoint) {
            Ok(at) => self.members[at] = member,
            Err(at) => self.members.insert(at, member),
        }
    }

    /// Records that the platform's list of instances shows the agent of `endpoint` as draining.
    pub fn mark_listed_draining(&mut self, endpoint: &name::Name) {
        if let Ok(at) = self.position(endpoint) {
            self.members[at].listed_draining = true;
        }
    }

    /// Records that an incarnation replied that it is draining.
    pub fn mark_draining(&mut self, endpoint: &name::Name, incarnation: incarnation::Incarnation) {
        if let Ok(at) = self.position(endpoint) {
            let view = &mut self.members[at].view;
            if view.incarnation == incarnation {
                view.leaving = true;
            }
        }
    }

    /// Returns the member for `endpoint`.
    pub fn get(&self, endpoint: &name::Name) -> Option<&Member> {
        self.position(endpoint).ok().map(|at| &self.members[at])
    }

    /// Returns all members, sorted by endpoint.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Removes members that have sent no heartbeat for six times [`GONE_AFTER`].
    pub fn evict_gone(&mut self, now: time::Time) {
        self.members.retain(|m| now.since(m.last_heard) < GONE_AFTER * 6);
    }

    fn position(&self, endpoint: &name::Name) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.view.endpoint.cmp(endpoint))
    }
}
