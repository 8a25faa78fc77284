//! Store of the newest agent report from each entry of a failure domain.
//!
//! An entry requests the reports that are newer than its own copies, so it receives each report once. Reports can
//! arrive over any path and in any order. A stored report is replaced only by one with a higher sequence number in the
//! same epoch, or by a more recently created one of another epoch.

use std::net::SocketAddr;
use std::time::Duration;

use crate::agent_report;
use crate::agent_view;
use crate::limits;
use crate::name;
use crate::revision;
use crate::time;

/// Age at which a report is dropped. By then its entry is considered gone and its agents report to other entries.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// A report with its creation time.
#[derive(Debug, Clone)]
struct StoredReport {
    /// The field `agents` is always `Some`.
    report: agent_report::AgentReport,
    /// Creation time on the local clock, estimated from the age of the report when it arrived.
    created: time::Time,
    /// Failure domain of the entry that created the report.
    failure_domain: name::Name,
}

/// Contents for the next report of the local entry.
#[derive(Debug, Clone)]
pub struct ReportInput {
    /// Control address of the entry.
    pub control: Option<SocketAddr>,
    /// Interval between the heartbeats of the entry's agents.
    pub heartbeat: Duration,
    /// Configuration revision in force.
    pub revision: revision::Revision,
    /// Agents that report to the entry, with the time since their last heartbeat, sorted by endpoint.
    pub agents: Vec<(agent_view::AgentView, Duration)>,
    /// Demand of each organisation at the entry, sorted by organisation.
    pub demands: Vec<limits::Demand>,
}

/// The reports that an entry has, including its own.
#[derive(Debug, Clone)]
pub struct ReportStore {
    /// Sorted by entry. Includes the local entry's own report.
    reports: Vec<StoredReport>,
    entry: name::Name,
    failure_domain: name::Name,
    epoch: u32,
}

impl ReportStore {
    /// Creates an empty store for `entry` in `failure_domain`. `epoch` identifies the lifetime of the entry's process.
    pub fn new(entry: name::Name, failure_domain: name::Name, epoch: u32) -> Self {
        Self {
            reports: Vec::new(),
            entry,
            failure_domain,
            epoch,
        }
    }

    /// Returns whether the local entry's report is missing or at least `interval` old.
    pub fn is_due(&self, interval: Duration, now: time::Time) -> bool {
        let own = self.position(&self.entry).ok();
        own.is_none_or(|at| now.since(self.reports[at].created) >= interval)
    }

    /// Replaces the local entry's report with a new one.
    pub fn update_own(&mut self, input: ReportInput, now: time::Time) {
        let previous = self.position(&self.entry).ok().map(|at| &self.reports[at].report);
        let seq = previous.map_or(1, |r| r.seq + 1);
        let identities: Vec<agent_report::AgentIdentity> = input
            .agents
            .iter()
            .map(|(view, _)| agent_report::AgentIdentity::from_view(view))
            .collect();
        let matching = previous.filter(|r| r.agents.iter().flatten().eq(&identities));
        let agents_since = matching.map_or(seq, |r| r.agents_since);
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

    /// Returns the versions of all stored reports.
    pub fn versions(&self) -> Vec<agent_report::ReportVersion> {
        self.reports.iter().map(|r| r.report.version()).collect()
    }

    /// Returns the reports of this failure domain that are newer than `versions`.
    ///
    /// Omits the agents of a report if `versions` includes a report with the same agents.
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

    /// Stores a report that an entry of `failure_domain` created, if it is newer than the stored one.
    ///
    /// If the report was stored, returns it, completed with its agents, and its creation time. Returns `None` as well
    /// if the report is malformed or lacks agents that the store doesn't have.
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
            let matching =
                known.filter(|r| r.report.epoch == report.epoch && r.report.agents_since == report.agents_since)?;
            report.agents.clone_from(&matching.report.agents);
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

    /// Drops reports that have reached the maximum age, except the local entry's own.
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
