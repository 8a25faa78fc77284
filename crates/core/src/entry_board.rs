//! Control state of an entry and the functions that update it.
//!
//! The board is owned by a single control thread. Its inputs are heartbeats of agents, digests of other entries and
//! rows read from the platform. Each handler is a plain function of the board, the input and the time. No function
//! blocks, so a single process can drive the boards of any number of entries.
//!
//! # Gossip
//!
//! The entries of a failure domain form a ring, sorted by name. In each round, an entry requests the reports that it
//! lacks from one peer. The distance to that peer in the ring cycles through the powers of two, so information reaches
//! all entries in a number of rounds that grows with the logarithm of the number of entries.
//!
//! Configuration changes are not delayed until the next round. The entry that read a change from the platform pushes it
//! to its peers at all distances, and an entry that received a push over some distance pushes it to its peers at the
//! shorter distances. Each entry thus receives the change once.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agent_config;
use crate::agent_report;
use crate::agent_view;
use crate::announce_reply;
use crate::config::change;
use crate::config::state;
use crate::control_intervals;
use crate::decision_log;
use crate::digest;
use crate::limits;
use crate::membership;
use crate::name;
use crate::packed;
use crate::rendezvous;
use crate::report_store;
use crate::revision;
use crate::time;

/// Number of recent changes kept for peers that are behind.
const RECENT_CHANGES: usize = 512;
/// Number of decisions kept in the log.
const LOG_CAPACITY: usize = 4_096;
/// Time without messages after which a peer entry is considered gone, in addition to the propagation time of reports.
const PEER_GONE_AFTER: Duration = Duration::from_secs(5);
/// Time without direct heartbeats after which an agent is left out of this entry's report, in addition to its heartbeat
/// interval. The agent then reports to another entry or to none.
const REPORTING_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of entries per failure domain that poll the platform's head row at [`READ_INTERVAL`].
pub const READERS: usize = 2;
/// Interval at which readers poll the head row.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which all other entries poll the head row.
pub const BACKUP_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Another entry, as known from its messages.
#[derive(Debug, Clone)]
pub struct PeerEntry {
    /// Instance name of the entry.
    pub instance: name::Name,
    /// Failure domain of the entry.
    pub failure_domain: name::Name,
    /// Control address of the entry.
    pub control: Option<SocketAddr>,
    /// Configuration revision that the entry reported last.
    pub revision: revision::Revision,
    /// Time of the last message from the entry, or creation time of its last report if that is later.
    pub last_heard: time::Time,
}

/// Effects of applying a digest reply that the caller must act on.
#[derive(Debug, Clone, Default)]
pub struct ReportEffects {
    /// Whether the configuration changed.
    pub config_changed: bool,
    /// Endpoints with a newer load report, with the time of the report.
    pub load_updates: Vec<(name::Name, time::Time)>,
    /// Endpoints whose agent has a new incarnation.
    pub new_incarnations: Vec<name::Name>,
    /// Demand of organisations at other entries, with the creation time of the report that contained it.
    pub peer_demands: Vec<(name::Name, Vec<limits::Demand>, time::Time)>,
    /// Whether the liveness of any agent changed.
    pub liveness_changed: bool,
}

/// Control state of one entry.
#[derive(Debug)]
pub struct EntryBoard {
    instance: name::Name,
    failure_domain: name::Name,
    /// Configuration in force. Its revision never decreases.
    config: Arc<state::ConfigState>,
    /// The most recent changes, in order and without gaps, up to the revision in force.
    recent_changes: VecDeque<change::Change>,
    /// Known agents.
    pub members: membership::Membership,
    /// Other entries, sorted by name.
    peers: Vec<PeerEntry>,
    /// Latest reports of this entry and of other entries.
    reports: report_store::ReportStore,
    /// Whether the next report must not be delayed, because an agent started reporting to this entry, changed its
    /// incarnation or started draining since the last report.
    report_urgent: bool,
    /// Number of gossip exchanges started, used to cycle through the distances.
    gossip_rounds: usize,
    /// Peers to which this entry should push configuration changes.
    pending_pushes: Vec<name::Name>,
    /// Log of decisions.
    pub log: decision_log::DecisionLog,
    /// Whether the last request to the platform succeeded.
    pub platform_in_reach: bool,
    /// Whether the entry is draining and refuses new calls.
    pub draining: bool,
    /// Control address of this entry.
    pub control: Option<SocketAddr>,
}

impl EntryBoard {
    /// Creates the board of an entry that has just started.
    pub fn new(instance: name::Name, failure_domain: name::Name) -> Self {
        Self {
            reports: report_store::ReportStore::new(instance.clone(), failure_domain.clone(), 0),
            report_urgent: true,
            gossip_rounds: 0,
            pending_pushes: Vec::new(),
            instance,
            failure_domain,
            config: Arc::new(state::ConfigState::default()),
            recent_changes: VecDeque::new(),
            members: membership::Membership::default(),
            peers: Vec::new(),
            log: decision_log::DecisionLog::new(LOG_CAPACITY),
            platform_in_reach: false,
            draining: false,
            control: None,
        }
    }

    /// Sets the epoch, which distinguishes the reports of this process from those of earlier processes of the entry.
    #[must_use]
    pub fn with_epoch(mut self, epoch: u32) -> Self {
        self.reports = report_store::ReportStore::new(self.instance.clone(), self.failure_domain.clone(), epoch);
        self
    }

    /// Returns the instance name of the entry.
    pub fn instance(&self) -> &name::Name {
        &self.instance
    }

    /// Returns the failure domain of the entry.
    pub fn failure_domain(&self) -> &name::Name {
        &self.failure_domain
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<state::ConfigState> {
        &self.config
    }

    /// Returns the other known entries, sorted by name.
    pub fn peers(&self) -> &[PeerEntry] {
        &self.peers
    }

    /// Returns whether the entry accepts calls: a configuration is in force and the entry is not draining.
    pub fn is_ready(&self) -> bool {
        self.config.revision() > revision::Revision::default() && !self.draining
    }

    /// Applies changes that this entry accepted itself or read from the platform, and schedules pushing them to peers.
    ///
    /// Changes after a gap are ignored. Returns whether any change was applied.
    pub fn apply_local_changes(&mut self, changes: &[change::Change], now: time::Time) -> bool {
        let applied = self.apply(changes, now);
        if applied {
            let distances = control_intervals::ring_distances(self.domain_entries(now).len());
            self.schedule_pushes(distances, now);
        }
        applied
    }

    /// Schedules pushing changes to the peers at the shortest `distances` distances.
    fn schedule_pushes(&mut self, distances: usize, now: time::Time) {
        let ring = self.ring(now);
        let pushes = (0..distances).filter_map(|at| peer_at_distance(&ring, at)).collect();
        self.pending_pushes = pushes;
    }

    /// Applies `changes` as far as they follow without a gap. Returns whether any change was applied.
    fn apply(&mut self, changes: &[change::Change], now: time::Time) -> bool {
        let before = self.config.revision();
        for change in changes {
            if Arc::make_mut(&mut self.config).apply(change) == state::ApplyResult::Applied {
                self.retain_change(change.clone());
            }
        }
        self.record_config_change(before, now)
    }

    /// Replaces the configuration by `snapshot` if the snapshot is newer. Returns whether it was.
    pub fn adopt_snapshot(&mut self, snapshot: &state::ConfigState, now: time::Time) -> bool {
        let before = self.config.revision();
        if Arc::make_mut(&mut self.config).adopt_snapshot(snapshot) == state::ApplyResult::Applied {
            self.recent_changes.clear();
        }
        self.record_config_change(before, now)
    }

    fn retain_change(&mut self, change: change::Change) {
        if self.recent_changes.len() == RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(change);
    }

    fn record_config_change(&mut self, before: revision::Revision, now: time::Time) -> bool {
        let after = self.config.revision();
        if after == before {
            return false;
        }
        self.record_decision(
            now,
            decision_log::Action::Configured,
            None,
            None,
            &format!("configuration revision changed from {before} to {after}"),
        );
        true
    }

    /// Adds a decision to the log.
    pub fn record_decision(
        &mut self,
        at: time::Time,
        action: decision_log::Action,
        endpoint: Option<name::Name>,
        call: Option<Box<str>>,
        cause: &str,
    ) {
        self.log.record(decision_log::Decision {
            at,
            action,
            call,
            endpoint,
            group: None,
            cause: cause.into(),
        });
    }

    /// Records an agent's heartbeat and returns the reply to it.
    pub fn on_heartbeat(&mut self, view: agent_view::AgentView, now: time::Time) -> announce_reply::AnnounceReply {
        let endpoint = view.endpoint.clone();
        let (known_revision, known_entries) = (view.revision, view.entries);
        let before = self.members.get(&endpoint);
        let was_reporting = before
            .and_then(|m| m.last_heard_directly)
            .is_some_and(|at| now.since(at) < REPORTING_TIMEOUT);
        let agent_changed =
            before.is_none_or(|m| m.view.incarnation != view.incarnation || m.view.leaving != view.leaving);
        self.report_urgent |= !was_reporting || agent_changed;
        let before = before.map(|m| m.liveness(now));
        let intervals = self.intervals(now);
        self.members.record_heartbeat(view, intervals.heartbeat_slack(), now);
        let after = self.members.get(&endpoint).map(|m| m.liveness(now));
        if before != after {
            self.record_liveness_change(&endpoint, after, "its own heartbeat", now);
        }
        let mut reply = self.heartbeat_reply(&endpoint, known_revision);
        reply.heartbeat_ms = millis(intervals.heartbeat);
        reply.entries = self.entries_if_changed(known_entries, now);
        reply
    }

    fn record_liveness_change(
        &mut self,
        endpoint: &name::Name,
        liveness: Option<membership::Liveness>,
        source: &str,
        now: time::Time,
    ) {
        let cause = format!("{} according to {source}", liveness_text(liveness));
        self.record_decision(now, decision_log::Action::Judged, Some(endpoint.clone()), None, &cause);
    }

    /// Returns the intervals of control messages for the current size of the failure domain.
    pub fn intervals(&self, now: time::Time) -> control_intervals::ControlIntervals {
        let not_gone = |m: &&membership::Member| m.liveness(now) != membership::Liveness::Gone;
        let agents = self.members.members().iter().filter(not_gone).count();
        control_intervals::ControlIntervals::for_domain(
            self.domain_entries(now).len(),
            agents,
            self.reporting_agents(now).count(),
        )
    }

    /// Returns the agents that currently report to this entry.
    fn reporting_agents(&self, now: time::Time) -> impl Iterator<Item = &membership::Member> {
        let is_reporting = move |m: &&membership::Member| {
            let silence = m.last_heard_directly.map(|at| now.since(at));
            silence.is_some_and(|silence| silence < REPORTING_TIMEOUT + m.lag)
        };
        self.members.members().iter().filter(is_reporting)
    }

    /// Creates the next report of this entry if it is due. `demands` is the demand of organisations at this entry.
    pub fn update_report(&mut self, demands: Vec<limits::Demand>, now: time::Time) {
        let intervals = self.intervals(now);
        if !self.report_urgent && !self.reports.is_due(intervals.report, now) {
            return;
        }
        let silence = |m: &membership::Member| m.last_heard_directly.map_or(Duration::MAX, |at| now.since(at));
        let input = report_store::ReportInput {
            control: self.control,
            heartbeat: intervals.heartbeat,
            revision: self.config.revision(),
            agents: self
                .reporting_agents(now)
                .map(|m| (m.view.clone(), silence(m)))
                .collect(),
            demands,
        };
        self.reports.update_own(input, now);
        self.report_urgent = false;
    }

    /// Applies the reports that are newer than the known ones. `domain` is the failure domain of their entries.
    fn apply_reports(
        &mut self,
        reports: &[agent_report::AgentReport],
        domain: &name::Name,
        effects: &mut ReportEffects,
        now: time::Time,
    ) {
        for report in reports {
            if let Some((report, created)) = self.reports.insert_if_newer(report.clone(), domain, now) {
                self.apply_report(report, domain, created, effects, now);
            }
        }
    }

    fn apply_report(
        &mut self,
        report: agent_report::AgentReport,
        domain: &name::Name,
        created: time::Time,
        effects: &mut ReportEffects,
        now: time::Time,
    ) {
        let intervals = self.intervals(now);
        let lag = intervals
            .report_lag()
            .max(Duration::from_millis(u64::from(report.heartbeat_ms)) + intervals.report + intervals.propagation);
        for (agent, sample) in report.agents.iter().flatten().zip(&report.samples) {
            let view = sample.to_view(agent, report.revision);
            let heard =
                time::Time::from_micros(created.as_micros().saturating_sub(sample.silence().as_micros() as u64));
            let endpoint = view.endpoint.clone();
            let known = self.members.get(&endpoint);
            let before = known.map(|m| (m.liveness(now), m.view.incarnation));
            if !self.members.record_reported_heartbeat(view, heard, lag, now) {
                continue;
            }
            let after = self
                .members
                .get(&endpoint)
                .map(|m| (m.liveness(now), m.view.incarnation));
            if before.map(|b| b.0) != after.map(|a| a.0) {
                self.record_liveness_change(
                    &endpoint,
                    after.map(|a| a.0),
                    &format!("the report of {}", report.entry),
                    now,
                );
                effects.liveness_changed = true;
            }
            if before.is_some_and(|b| after.is_some_and(|a| a.1 != b.1)) {
                effects.new_incarnations.push(endpoint.clone());
            }
            effects.load_updates.push((endpoint, heard));
        }
        let known = self.peer(&report.entry).map(|p| p.last_heard);
        if known.is_none_or(|heard| heard < created) {
            self.record_peer(PeerEntry {
                instance: report.entry.clone(),
                failure_domain: domain.clone(),
                control: report.control,
                revision: report.revision,
                last_heard: created,
            });
        }
        // Limits apply per failure domain.
        if *domain == self.failure_domain {
            effects.peer_demands.push((report.entry, report.demands, created));
        }
    }

    /// Returns the control addresses of the entries of this failure domain, unless their fingerprint is `known`.
    fn entries_if_changed(&self, known: u64, now: time::Time) -> Option<Vec<SocketAddr>> {
        let peers = self.live_domain_peers(now);
        let mut entries: Vec<SocketAddr> = peers.filter_map(|p| p.control).chain(self.control).collect();
        entries.sort_unstable();
        (announce_reply::fingerprint(&entries) != known).then_some(entries)
    }

    fn heartbeat_reply(&self, endpoint: &name::Name, known: revision::Revision) -> announce_reply::AnnounceReply {
        let revision = self.config.revision();
        let config = self.agent_config(endpoint).filter(|config| {
            revision > known && (known == revision::Revision::default() || self.agent_config_changed(config, known))
        });
        announce_reply::AnnounceReply {
            revision,
            config,
            heartbeat_ms: 0,
            entries: None,
        }
    }

    fn agent_config_changed(&self, config: &agent_config::AgentConfig, known: revision::Revision) -> bool {
        let names = [&config.endpoint.name, &config.endpoint.service];
        let group = config.group.as_ref().map(|g| &g.name);
        let concerns_agent = |name: &name::Name| names.contains(&name) || group == Some(name);
        let objects = self.config.objects().iter();
        objects
            .filter(|o| o.version > known)
            .any(|o| concerns_agent(&o.key.name))
    }

    /// Returns the part of the configuration that concerns the agent of `endpoint`, if the endpoint is declared.
    pub fn agent_config(&self, endpoint: &name::Name) -> Option<agent_config::AgentConfig> {
        let endpoint = self.config.endpoint(endpoint)?.clone();
        let kind = self.config.service(&endpoint.service)?.kind;
        let group = endpoint
            .rank_of
            .as_ref()
            .and_then(|p| self.config.group(&p.group))
            .cloned();
        Some(agent_config::AgentConfig {
            revision: self.config.revision(),
            endpoint,
            kind,
            group,
        })
    }

    /// Applies the changes of another entry's digest and returns the reply to it.
    pub fn reply_to_digest(&mut self, digest: &digest::Digest, now: time::Time) -> digest::DigestReply {
        self.record_peer(PeerEntry {
            instance: digest.instance.clone(),
            failure_domain: digest.failure_domain.clone(),
            control: digest.control,
            revision: digest.revision,
            last_heard: now,
        });
        if self.apply(&digest.changes, now) {
            let distance = self.push_distance_from(&digest.instance, now);
            self.schedule_pushes(distance, now);
        }
        let (changes, snapshot) = self.changes_since(digest.revision);
        let reports = self.reports.newer_than(&digest.report_versions.0, now);
        digest::DigestReply {
            instance: self.instance.clone(),
            failure_domain: self.failure_domain.clone(),
            control: self.control,
            revision: self.config.revision(),
            changes,
            snapshot,
            reports: packed::Packed(reports),
        }
    }

    /// Applies the reply to a digest of this entry.
    pub fn apply_digest_reply(&mut self, reply: &digest::DigestReply, now: time::Time) -> ReportEffects {
        self.record_peer(PeerEntry {
            instance: reply.instance.clone(),
            failure_domain: reply.failure_domain.clone(),
            control: reply.control,
            revision: reply.revision,
            last_heard: now,
        });
        let adopted = reply.snapshot.as_ref().is_some_and(|s| self.adopt_snapshot(s, now));
        let mut effects = ReportEffects {
            config_changed: self.apply(&reply.changes, now) || adopted,
            ..ReportEffects::default()
        };
        self.apply_reports(&reply.reports.0, &reply.failure_domain, &mut effects, now);
        effects
    }

    /// Returns the live entries of this failure domain in ring order, starting with this entry.
    fn ring(&self, now: time::Time) -> Vec<name::Name> {
        let mut ring: Vec<name::Name> = self.domain_entries(now).into_iter().cloned().collect();
        ring.sort_unstable();
        let own_position = ring.partition_point(|name| *name < self.instance);
        ring.rotate_left(own_position);
        ring
    }

    /// Returns the index of the distance over which `peer` pushes to this entry, or zero if it doesn't push to this
    /// entry.
    fn push_distance_from(&self, peer: &name::Name, now: time::Time) -> usize {
        let ring = self.ring(now);
        let Some(position) = ring.iter().position(|name| name == peer) else {
            return 0;
        };
        // Pushes use distances that are powers of two. Exchanges over other distances are no pushes and are not
        // forwarded.
        let distance = ring.len() - position;
        if distance.is_power_of_two() {
            distance.trailing_zeros() as usize
        } else {
            0
        }
    }

    /// Returns the address of the entry with which to start the next gossip exchange.
    ///
    /// This is the peer at the next distance in the ring. Every other round, and in every round while the ring contains
    /// no peer, it is an entry outside the ring, if there is any: one of `listed` that is not known yet, or a live entry
    /// of another failure domain. `listed` are the entries of this failure domain on the platform's list of instances.
    /// Should be called every [`control_intervals::GOSSIP_INTERVAL`].
    pub fn next_gossip_peer(&mut self, listed: &[SocketAddr], now: time::Time) -> Option<SocketAddr> {
        self.gossip_rounds += 1;
        let ring = self.ring(now);
        let distances = control_intervals::ring_distances(ring.len());
        let known =
            |addr: &SocketAddr| Some(*addr) == self.control || self.peers.iter().any(|p| p.control == Some(*addr));
        let mut contacts: Vec<SocketAddr> = listed.iter().filter(|addr| !known(addr)).copied().collect();
        let other_domains = self.peers.iter().filter(|p| p.failure_domain != self.failure_domain);
        let other_domains = other_domains.filter(|p| now.since(p.last_heard) < PEER_GONE_AFTER);
        contacts.extend(other_domains.filter_map(|p| p.control));
        // The offset prevents entries that start at the same time from all contacting the same entry.
        let offset = usize::try_from(rendezvous::weight(b"stranger", &self.instance) >> 32).unwrap_or(0);
        // Unreachable contacts must not prevent exchanges with the other peers, so they get only every other round.
        if !contacts.is_empty() && (distances == 0 || self.gossip_rounds.is_multiple_of(2)) {
            return Some(contacts[(offset + self.gossip_rounds) % contacts.len()]);
        }
        let peer = peer_at_distance(&ring, self.gossip_rounds.checked_rem(distances)?)?;
        self.address_of(&peer)
    }

    /// Returns whether there are peers to push changes to.
    pub fn has_pushes(&self) -> bool {
        !self.pending_pushes.is_empty()
    }

    /// Returns the addresses of the peers to push changes to, and clears the list.
    pub fn take_pushes(&mut self) -> Vec<SocketAddr> {
        let pushes = std::mem::take(&mut self.pending_pushes);
        pushes.iter().filter_map(|peer| self.address_of(peer)).collect()
    }

    fn address_of(&self, peer: &name::Name) -> Option<SocketAddr> {
        self.peer(peer)?.control
    }

    fn record_peer(&mut self, peer: PeerEntry) {
        match self.peers.binary_search_by(|p| p.instance.cmp(&peer.instance)) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
    }

    /// Returns the changes after revision `known`, or a snapshot if not all of these changes are kept any more.
    fn changes_since(&self, known: revision::Revision) -> (Vec<change::Change>, Option<state::ConfigState>) {
        if known >= self.config.revision() {
            return (Vec::new(), None);
        }
        let first = self.recent_changes.front().map(|c| c.revision);
        if first.is_some_and(|first| first <= known.next()) {
            let missing = self.recent_changes.iter().filter(|c| c.revision > known);
            return (missing.cloned().collect(), None);
        }
        (Vec::new(), Some(state::ConfigState::clone(&self.config)))
    }

    /// Returns the digest to send to `peer`, or to an entry whose name is not known yet if `peer` is `None`.
    pub fn digest(&self, peer: Option<&name::Name>) -> digest::Digest {
        let known = peer.and_then(|name| self.peer(name)).map(|p| p.revision);
        let changes = known.map_or_else(Vec::new, |known| self.changes_since(known).0);
        digest::Digest {
            instance: self.instance.clone(),
            failure_domain: self.failure_domain.clone(),
            control: self.control,
            revision: self.config.revision(),
            changes,
            report_versions: packed::Packed(self.reports.versions()),
        }
    }

    fn peer(&self, name: &name::Name) -> Option<&PeerEntry> {
        let at = self.peers.binary_search_by(|p| p.instance.cmp(name)).ok()?;
        Some(&self.peers[at])
    }

    /// Returns the other live entries of this failure domain.
    fn live_domain_peers(&self, now: time::Time) -> impl Iterator<Item = &PeerEntry> {
        let in_domain: Vec<&PeerEntry> = self
            .peers
            .iter()
            .filter(|p| p.failure_domain == self.failure_domain)
            .collect();
        // Reports propagate more slowly in a large failure domain, so the timeout grows with it.
        let intervals =
            control_intervals::ControlIntervals::for_domain(in_domain.len() + 1, self.members.members().len(), 0);
        let timeout = PEER_GONE_AFTER + intervals.report + intervals.propagation;
        in_domain.into_iter().filter(move |p| now.since(p.last_heard) < timeout)
    }

    /// Returns the names of the live entries of this failure domain, including this entry.
    pub fn domain_entries(&self, now: time::Time) -> Vec<&name::Name> {
        let peers = self.live_domain_peers(now);
        peers.map(|p| &p.instance).chain([&self.instance]).collect()
    }

    /// Returns the number of entries of this failure domain that share its limits.
    ///
    /// Includes entries without recent messages, because an entry that is cut off continues to admit its share.
    pub fn limit_sharing_entries(&self) -> usize {
        let in_domain = self.peers.iter().filter(|p| p.failure_domain == self.failure_domain);
        in_domain.count() + 1
    }

    /// Returns the interval at which this entry should poll the platform's head row.
    pub fn read_interval(&self, now: time::Time) -> Duration {
        let readers = rendezvous::choose(b"reader", self.domain_entries(now), READERS);
        if readers.contains(&&self.instance) {
            READ_INTERVAL
        } else {
            BACKUP_READ_INTERVAL
        }
    }

    /// Removes stale agents, reports and peers. Should be called about every 100 ms.
    pub fn tick(&mut self, now: time::Time) {
        self.members.evict_gone(now);
        self.reports.evict_stale(now);
        self.peers.retain(|p| now.since(p.last_heard) < PEER_GONE_AFTER * 12);
    }
}

/// Returns the peer at the distance with index `at`, in a ring that starts with this entry.
fn peer_at_distance(ring: &[name::Name], at: usize) -> Option<name::Name> {
    let distance = 1_usize.checked_shl(at as u32)? % ring.len();
    (distance > 0).then(|| ring[distance].clone())
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn liveness_text(liveness: Option<membership::Liveness>) -> &'static str {
    match liveness {
        None => "unknown",
        Some(membership::Liveness::Live) => "live",
        Some(membership::Liveness::Suspect) => "suspect",
        Some(membership::Liveness::Draining) => "leaving",
        Some(membership::Liveness::Gone) => "gone",
    }
}
