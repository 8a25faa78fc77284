//! Agents and entries as one entry sees them.
//!
//! An agent's own heartbeat is the truth about it, whether it came here or to the entry whose sheet tells of it; the
//! platform's lagging list is a hint that can only make the entry more careful. Silence makes a member suspect, then
//! gone; any newer heartbeat brings it back.

use std::time::Duration;

use crate::agent_view;
use crate::incarnation;
use crate::name;
use crate::time;

/// Silence after which a member gets work only when nobody else is left.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a member gets no work.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// Liveness of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Heard of lately.
    Live,
    /// Silent for a while.
    Suspect,
    /// Said that it is leaving, or the platform's list says so.
    Draining,
    /// Silent for long.
    Gone,
}

/// One agent.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its last heartbeat.
    pub view: agent_view::AgentView,
    /// When the last heartbeat came, here or to another entry.
    pub last_heard: time::Time,
    /// When the last heartbeat came here.
    pub last_heard_directly: Option<time::Time>,
    /// Silence that its way of being heard explains, beyond that of an agent that speaks here at the shortest interval.
    pub lag: Duration,
    /// The platform's list shows the instance as leaving.
    pub listed_draining: bool,
}

/// Agents known to one entry.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// Sorted by endpoint, each endpoint once.
    members: Vec<Member>,
}

impl Member {
    /// Whether `view` is of another incarnation that this one has already replaced: of two incarnations of one endpoint,
    /// the one that is heard while the other is silent or leaving is the successor.
    fn supersedes(&self, view: &agent_view::AgentView, now: time::Time) -> bool {
        let silence = now.since(self.last_heard).saturating_sub(self.lag);
        view.incarnation != self.view.incarnation && silence < SUSPECT_AFTER && !self.view.leaving && view.leaving
    }

    /// Liveness of the member at `now`.
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
    /// Takes an agent's heartbeat that came here, with the time for which its next one may not come; `false` when a later
    /// one is known.
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

    /// Takes what another entry's sheet tells of an agent that spoke there at `heard`; `false` when a later heartbeat is
    /// known.
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
            // A row has no number of its own; the agent's next heartbeat here is later than any that came before.
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

    /// Notes that the platform's list shows the endpoint's instance as leaving.
    pub fn mark_listed_draining(&mut self, endpoint: &name::Name) {
        if let Ok(at) = self.position(endpoint) {
            self.members[at].listed_draining = true;
        }
    }

    /// Notes that an incarnation answered that it is leaving.
    pub fn mark_draining(&mut self, endpoint: &name::Name, incarnation: incarnation::Incarnation) {
        if let Ok(at) = self.position(endpoint) {
            let view = &mut self.members[at].view;
            if view.incarnation == incarnation {
                view.leaving = true;
            }
        }
    }

    /// Looks up a member.
    pub fn get(&self, endpoint: &name::Name) -> Option<&Member> {
        self.position(endpoint).ok().map(|at| &self.members[at])
    }

    /// Every member, sorted by endpoint.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Forgets members that have been gone for long.
    pub fn evict_gone(&mut self, now: time::Time) {
        self.members.retain(|m| now.since(m.last_heard) < GONE_AFTER * 6);
    }

    fn position(&self, endpoint: &name::Name) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.view.endpoint.cmp(endpoint))
    }
}
