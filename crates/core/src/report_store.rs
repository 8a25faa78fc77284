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
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// A sheet and when it was made.
#[derive(Debug, Clone)]
struct StoredReport {
    /// Its agents are always there.
    report: agent_report::AgentReport,
    /// When it was made, as far as its age tells.
    created: time::Time,
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
    reports: Vec<StoredReport>,
    entry: name::Name,
    failure_domain: name::Name,
    epoch: u32,
}

impl ReportStore {
    /// The empty book of entry `own` of `failure_domain` in its process lifetime `epoch`.
    pub fn new(entry: name::Name, failure_domain: name::Name, epoch: u32) -> Self {
        Self {
            reports: Vec::new(),
            entry,
            failure_domain,
            epoch,
        }
    }

    /// Whether the own sheet is older than `interval` or missing.
    pub fn is_due(&self, interval: Duration, now: time::Time) -> bool {
        let own = self.position(&self.entry).ok();
        own.is_none_or(|at| now.since(self.reports[at].created) >= interval)
    }

    /// Makes the next own sheet.
    pub fn update_own(&mut self, input: ReportInput, now: time::Time) {
        let before = self.position(&self.entry).ok().map(|at| &self.reports[at].report);
        let seq = before.map_or(1, |s| s.seq + 1);
        let identities: Vec<agent_report::AgentIdentity> = input
            .agents
            .iter()
            .map(|(view, _)| agent_report::AgentIdentity::from_view(view))
            .collect();
        let same = before.filter(|s| s.agents.iter().flatten().eq(&identities));
        let agents_since = same.map_or(seq, |s| s.agents_since);
        let sample = |(view, silence): &(agent_view::AgentView, Duration)| {
            agent_report::AgentSample::from_view(view, *silence, input.revision)
        };
        let report = agent_report::AgentReport {
            entry: self.entry.clone(),
            epoch: self.epoch,
            seq,
            agents_since,
            control: input.control,
            age_ms: 0,
            heartbeat_ms: millis(input.heartbeat),
            revision: input.revision,
            samples: input.agents.iter().map(sample).collect(),
            agents: Some(identities),
            demands: input.demands,
        };
        self.put(StoredReport {
            report,
            created: now,
            failure_domain: self.failure_domain.clone(),
        });
    }

    /// Marks of all sheets, for the entry that is asked for newer ones.
    pub fn versions(&self) -> Vec<agent_report::ReportVersion> {
        self.reports.iter().map(|r| r.report.version()).collect()
    }

    /// The sheets of this failure domain that somebody with `versions` lacks.
    pub fn newer_than(
        &self,
        versions: &[agent_report::ReportVersion],
        now: time::Time,
    ) -> Vec<agent_report::AgentReport> {
        let mut versions = versions.to_vec();
        versions.sort_unstable();
        let in_domain = self.reports.iter().filter(|r| r.failure_domain == self.failure_domain);
        let newer = in_domain.filter_map(|r| {
            let version = r.report.version();
            let known = versions.binary_search_by_key(&version.key, |v| v.key).ok();
            let known = known.map(|at| versions[at].seq);
            if known.is_some_and(|seq| seq >= version.seq) {
                return None;
            }
            let has_agents = known.is_some_and(|seq| seq >= r.report.agents_since);
            let mut report = r.report.clone();
            report.age_ms = millis(now.since(r.created));
            if has_agents {
                report.agents = None;
            }
            Some(report)
        });
        newer.collect()
    }

    /// Takes a sheet of an entry of `failure_domain`; gives it back whole, with the time when it was made, when it is news.
    pub fn insert_if_newer(
        &mut self,
        mut report: agent_report::AgentReport,
        failure_domain: &name::Name,
        now: time::Time,
    ) -> Option<(agent_report::AgentReport, time::Time)> {
        let age = Duration::from_millis(u64::from(report.age_ms));
        if report.entry == self.entry || age >= MAX_REPORT_AGE {
            return None;
        }
        let created = time::Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        let known = self.position(&report.entry).ok().map(|at| &self.reports[at]);
        let is_newer = known.is_none_or(|r| {
            if r.report.epoch == report.epoch {
                report.seq > r.report.seq
            } else {
                created > r.created
            }
        });
        if !is_newer {
            return None;
        }
        if report.agents.is_none() {
            let same =
                known.filter(|r| r.report.epoch == report.epoch && r.report.agents_since == report.agents_since)?;
            report.agents.clone_from(&same.report.agents);
        }
        if report.agents.as_ref().map(Vec::len) != Some(report.samples.len()) {
            return None;
        }
        self.put(StoredReport {
            report: report.clone(),
            created,
            failure_domain: failure_domain.clone(),
        });
        Some((report, created))
    }

    /// Forgets the sheets of entries that have made none for long.
    pub fn evict_stale(&mut self, now: time::Time) {
        let own = self.entry.clone();
        self.reports
            .retain(|r| r.report.entry == own || now.since(r.created) < MAX_REPORT_AGE);
    }

    fn put(&mut self, stored: StoredReport) {
        match self.position(&stored.report.entry) {
            Ok(at) => self.reports[at] = stored,
            Err(at) => self.reports.insert(at, stored),
        }
    }

    fn position(&self, entry: &name::Name) -> Result<usize, usize> {
        self.reports.binary_search_by(|r| r.report.entry.cmp(entry))
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
