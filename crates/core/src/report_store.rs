//! The newest sheet of every entry of a failure domain, as one entry has them.
//!
//! An entry asks another one for sheets that are newer than its own copies and gets each of them once. A sheet can
//! reach an entry by any way and in any order; only a newer one of the same epoch, or one of an epoch that spoke more
//! recently, replaces a copy.

use std::net::SocketAddr;
use std::time::Duration;

use crate::agent_report;
use crate::agent_view;
use crate::limits;
use crate::name;
use crate::revision;
use crate::time;

/// Age at which a sheet is of no more use: its entry and all agents on it are long gone or on other sheets.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A sheet and when it was made.
#[derive(Debug, Clone)]
struct Kept {
    /// Its agents are always there.
    sheet: agent_report::AgentReport,
    /// When it was made, as far as its age tells.
    made: time::Time,
    /// Failure domain of its entry.
    failure_domain: name::Name,
}

/// What an entry puts on its own sheet.
#[derive(Debug, Clone)]
pub struct ReportInput {
    /// The entry's control address.
    pub control: Option<SocketAddr>,
    /// Interval of its agents' heartbeats.
    pub heartbeat: Duration,
    /// Revision in force.
    pub revision: revision::Revision,
    /// Its agents with the time since their last heartbeat, sorted by endpoint.
    pub agents: Vec<(agent_view::AgentView, Duration)>,
    /// Its demands.
    pub demands: Vec<limits::Demand>,
}

/// The sheets that an entry has.
#[derive(Debug, Clone)]
pub struct ReportStore {
    /// Sorted by entry; the own one is among them.
    kept: Vec<Kept>,
    own: name::Name,
    failure_domain: name::Name,
    epoch: u32,
}

impl ReportStore {
    /// The empty book of entry `own` of `failure_domain` in its process lifetime `epoch`.
    pub fn new(own: name::Name, failure_domain: name::Name, epoch: u32) -> Self {
        Self {
            kept: Vec::new(),
            own,
            failure_domain,
            epoch,
        }
    }

    /// Whether the own sheet is older than `interval` or missing.
    pub fn is_due(&self, interval: Duration, now: time::Time) -> bool {
        let own = self.place(&self.own).ok();
        own.is_none_or(|at| now.since(self.kept[at].made) >= interval)
    }

    /// Makes the next own sheet.
    pub fn make(&mut self, draft: ReportInput, now: time::Time) {
        let before = self.place(&self.own).ok().map(|at| &self.kept[at].sheet);
        let tick = before.map_or(1, |s| s.tick + 1);
        let cards: Vec<agent_report::AgentIdentity> = draft
            .agents
            .iter()
            .map(|(view, _)| agent_report::AgentIdentity::of(view))
            .collect();
        let same = before.filter(|s| s.agents.iter().flatten().eq(&cards));
        let since = same.map_or(tick, |s| s.since);
        let row = |(view, silent): &(agent_view::AgentView, Duration)| {
            agent_report::AgentSample::of(view, *silent, draft.revision)
        };
        let made = agent_report::AgentReport {
            entry: self.own.clone(),
            epoch: self.epoch,
            tick,
            since,
            control: draft.control,
            age_ms: 0,
            heartbeat_ms: millis(draft.heartbeat),
            revision: draft.revision,
            rows: draft.agents.iter().map(row).collect(),
            agents: Some(cards),
            demands: draft.demands,
        };
        self.keep(Kept {
            sheet: made,
            made: now,
            failure_domain: self.failure_domain.clone(),
        });
    }

    /// Marks of all sheets, for the entry that is asked for newer ones.
    pub fn marks(&self) -> Vec<agent_report::ReportVersion> {
        self.kept.iter().map(|k| k.sheet.mark()).collect()
    }

    /// The sheets of this failure domain that somebody with `marks` lacks.
    pub fn lacking(&self, marks: &[agent_report::ReportVersion], now: time::Time) -> Vec<agent_report::AgentReport> {
        let mut marks = marks.to_vec();
        marks.sort_unstable();
        let near = self.kept.iter().filter(|k| k.failure_domain == self.failure_domain);
        let newer = near.filter_map(|k| {
            let mark = k.sheet.mark();
            let known = marks.binary_search_by_key(&mark.key, |m| m.key).ok();
            let known = known.map(|at| marks[at].tick);
            if known.is_some_and(|tick| tick >= mark.tick) {
                return None;
            }
            let has_agents = known.is_some_and(|tick| tick >= k.sheet.since);
            let mut sheet = k.sheet.clone();
            sheet.age_ms = millis(now.since(k.made));
            if has_agents {
                sheet.agents = None;
            }
            Some(sheet)
        });
        newer.collect()
    }

    /// Takes a sheet of an entry of `failure_domain`; gives it back whole, with the time when it was made, when it is news.
    pub fn take(
        &mut self,
        mut sheet: agent_report::AgentReport,
        failure_domain: &name::Name,
        now: time::Time,
    ) -> Option<(agent_report::AgentReport, time::Time)> {
        let age = Duration::from_millis(u64::from(sheet.age_ms));
        if sheet.entry == self.own || age >= FORGET_AFTER {
            return None;
        }
        let made = time::Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        let known = self.place(&sheet.entry).ok().map(|at| &self.kept[at]);
        let is_news = known.is_none_or(|k| {
            if k.sheet.epoch == sheet.epoch {
                sheet.tick > k.sheet.tick
            } else {
                made > k.made
            }
        });
        if !is_news {
            return None;
        }
        if sheet.agents.is_none() {
            let same = known.filter(|k| k.sheet.epoch == sheet.epoch && k.sheet.since == sheet.since)?;
            sheet.agents.clone_from(&same.sheet.agents);
        }
        if sheet.agents.as_ref().map(Vec::len) != Some(sheet.rows.len()) {
            return None;
        }
        self.keep(Kept {
            sheet: sheet.clone(),
            made,
            failure_domain: failure_domain.clone(),
        });
        Some((sheet, made))
    }

    /// Forgets the sheets of entries that have made none for long.
    pub fn forget(&mut self, now: time::Time) {
        let own = self.own.clone();
        self.kept
            .retain(|k| k.sheet.entry == own || now.since(k.made) < FORGET_AFTER);
    }

    fn keep(&mut self, kept: Kept) {
        match self.place(&kept.sheet.entry) {
            Ok(at) => self.kept[at] = kept,
            Err(at) => self.kept.insert(at, kept),
        }
    }

    fn place(&self, entry: &name::Name) -> Result<usize, usize> {
        self.kept.binary_search_by(|k| k.sheet.entry.cmp(entry))
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
