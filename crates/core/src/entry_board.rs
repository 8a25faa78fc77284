//! The blackboard of an entry and the controllers that read and write it.
//!
//! One control thread owns the board. Facts arrive as agents' heartbeats, peers' digests and rows read from the platform;
//! each controller is a plain function of the board, the fact and the time. Nothing here waits, so the board of any
//! number of entries can be driven in one process.
//!
//! The entries of a failure domain stand in a ring, sorted by name. Each asks one other in turn for what it lacks, at
//! distances that double, so news reaches all after about as many exchanges as the domain's size has binary digits.
//! Changes of the declarations don't wait for their turn: the entry that read them sends them over every distance, and
//! who got them over one distance sends them on over the shorter ones, so each entry gets them once.

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

/// Changes kept for peers that lag.
const RECENT_CHANGES: usize = 512;
/// Decisions kept.
const LOG_CAPACITY: usize = 4_096;
/// Silence after which a peer entry is no longer counted, beyond what a sheet takes to get here.
const PEER_GONE_AFTER: Duration = Duration::from_secs(5);
/// Silence after which an agent no longer stands on this entry's sheet, beyond its interval: it speaks to another entry, or
/// to none.
const REPORTING_TIMEOUT: Duration = Duration::from_secs(3);
/// Entries of a failure domain that read the platform's head row often.
pub const READERS: usize = 2;
/// Interval of a reader's look at the head row.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the other entries' look at the head row.
pub const BACKUP_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Another entry.
#[derive(Debug, Clone)]
pub struct PeerEntry {
    /// Its name.
    pub instance: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Its control address.
    pub control: Option<SocketAddr>,
    /// Revision that it said to have in force.
    pub revision: revision::Revision,
    /// When it was last heard, here or by an entry that handed its sheet on.
    pub last_heard: time::Time,
}

/// What a sheet from another entry told.
#[derive(Debug, Clone, Default)]
pub struct ReportEffects {
    /// Whether the configuration moved.
    pub config_changed: bool,
    /// Endpoints whose load is known anew, and from when.
    pub load_updates: Vec<(name::Name, time::Time)>,
    /// Endpoints whose agent runs in another incarnation now.
    pub new_incarnations: Vec<name::Name>,
    /// Entries and what organisations ask of them, with the time from which that is.
    pub peer_demands: Vec<(name::Name, Vec<limits::Demand>, time::Time)>,
    /// Some agent's standing changed.
    pub liveness_changed: bool,
}

/// Blackboard of one entry.
#[derive(Debug)]
pub struct EntryBoard {
    instance: name::Name,
    failure_domain: name::Name,
    /// Declarations in force; the revision never decreases.
    config: Arc<state::ConfigState>,
    /// The newest changes in order, without gaps, ending at the revision in force.
    recent_changes: VecDeque<change::Change>,
    /// Agents.
    pub members: membership::Membership,
    /// Other entries, sorted by name.
    peers: Vec<PeerEntry>,
    /// What this entry and the others of its failure domain last told of their agents.
    reports: report_store::ReportStore,
    /// An agent of this entry came, left or moved since the last sheet.
    report_urgent: bool,
    /// Exchanges begun, for taking the distances in turn.
    gossip_rounds: usize,
    /// Peers that lack changes which this entry should send on at once.
    pending_pushes: Vec<name::Name>,
    /// Decisions.
    pub log: decision_log::DecisionLog,
    /// Whether the last call to the platform was answered.
    pub platform_in_reach: bool,
    /// Nothing new is accepted from callers.
    pub draining: bool,
    /// Control address of this entry.
    pub control: Option<SocketAddr>,
}

impl EntryBoard {
    /// The board of a new entry.
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

    /// Tells the process lifetime by which other entries tell this entry's sheets from those of an earlier process.
    #[must_use]
    pub fn with_epoch(mut self, epoch: u32) -> Self {
        self.reports = report_store::ReportStore::new(self.instance.clone(), self.failure_domain.clone(), epoch);
        self
    }

    /// Name of the entry.
    pub fn instance(&self) -> &name::Name {
        &self.instance
    }

    /// Failure domain of the entry.
    pub fn failure_domain(&self) -> &name::Name {
        &self.failure_domain
    }

    /// Declarations in force.
    pub fn config(&self) -> &Arc<state::ConfigState> {
        &self.config
    }

    /// Other entries, sorted by name.
    pub fn peers(&self) -> &[PeerEntry] {
        &self.peers
    }

    /// Whether declarations are in force and callers may come.
    pub fn is_ready(&self) -> bool {
        self.config.revision() > revision::Revision::default() && !self.draining
    }

    /// Brings `changes`, which this entry read or accepted itself, into force as far as they follow without a gap; tells
    /// whether any did.
    pub fn apply_local_changes(&mut self, changes: &[change::Change], now: time::Time) -> bool {
        let applied = self.apply(changes, now);
        if applied {
            let distances = control_intervals::ring_distances(self.domain_entries(now).len());
            self.schedule_pushes(distances, now);
        }
        applied
    }

    /// Has changes sent to the peers at the first `distances` distances.
    fn schedule_pushes(&mut self, distances: usize, now: time::Time) {
        let ring = self.ring(now);
        let pushes = (0..distances).filter_map(|at| peer_at_distance(&ring, at)).collect();
        self.pending_pushes = pushes;
    }

    fn apply(&mut self, changes: &[change::Change], now: time::Time) -> bool {
        let before = self.config.revision();
        for change in changes {
            if Arc::make_mut(&mut self.config).apply(change) == state::ApplyResult::Applied {
                self.retain_change(change.clone());
            }
        }
        self.record_config_change(before, now)
    }

    /// Brings a whole snapshot into force if it is newer; tells whether it was.
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
            &format!("revision {before} to {after}"),
        );
        true
    }

    /// Records a decision.
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

    /// Takes an agent's heartbeat and says what the agent should know.
    pub fn on_heartbeat(&mut self, view: agent_view::AgentView, now: time::Time) -> announce_reply::AnnounceReply {
        let endpoint = view.endpoint.clone();
        let (known_revision, known_entries) = (view.revision, view.entries);
        let before = self.members.get(&endpoint);
        let was_reporting = before
            .and_then(|m| m.last_heard_directly)
            .is_some_and(|at| now.since(at) < REPORTING_TIMEOUT);
        let moved = before.is_none_or(|m| m.view.incarnation != view.incarnation || m.view.leaving != view.leaving);
        self.report_urgent |= !was_reporting || moved;
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
        let cause = format!("{} by {source}", liveness_text(liveness));
        self.record_decision(now, decision_log::Action::Judged, Some(endpoint.clone()), None, &cause);
    }

    /// The intervals that suit the failure domain's size.
    pub fn intervals(&self, now: time::Time) -> control_intervals::ControlIntervals {
        let not_gone = |m: &&membership::Member| m.liveness(now) != membership::Liveness::Gone;
        let agents = self.members.members().iter().filter(not_gone).count();
        control_intervals::ControlIntervals::for_domain(
            self.domain_entries(now).len(),
            agents,
            self.reporting_agents(now).count(),
        )
    }

    /// Agents that speak to this entry.
    fn reporting_agents(&self, now: time::Time) -> impl Iterator<Item = &membership::Member> {
        let here = move |m: &&membership::Member| {
            let silence = m.last_heard_directly.map(|at| now.since(at));
            silence.is_some_and(|silence| silence < REPORTING_TIMEOUT + m.lag)
        };
        self.members.members().iter().filter(here)
    }

    /// Makes the next sheet of this entry when it is due. `demands` are what organisations ask of this entry.
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

    /// Takes other entries' sheets.
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
                    &format!("the sheet of {}", report.entry),
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
        // Limits are per failure domain.
        if *domain == self.failure_domain {
            effects.peer_demands.push((report.entry, report.demands, created));
        }
    }

    /// Control addresses of this failure domain's entries, unless the agent was told of the same.
    fn entries_if_changed(&self, known: u64, now: time::Time) -> Option<Vec<SocketAddr>> {
        let alive = self.live_domain_peers(now);
        let mut entries: Vec<SocketAddr> = alive.filter_map(|p| p.control).chain(self.control).collect();
        entries.sort_unstable();
        (announce_reply::fingerprint(&entries) != known).then_some(entries)
    }

    fn heartbeat_reply(&self, endpoint: &name::Name, known: revision::Revision) -> announce_reply::AnnounceReply {
        let revision = self.config.revision();
        let config = self.agent_config(endpoint).filter(|part| {
            revision > known && (known == revision::Revision::default() || self.agent_config_changed(part, known))
        });
        announce_reply::AnnounceReply {
            revision,
            config,
            heartbeat_ms: 0,
            entries: None,
        }
    }

    fn agent_config_changed(&self, part: &agent_config::AgentConfig, known: revision::Revision) -> bool {
        let names = [&part.endpoint.name, &part.endpoint.service];
        let group = part.group.as_ref().map(|g| &g.name);
        let concerned = |name: &name::Name| names.contains(&name) || group == Some(name);
        let entries = self.config.objects().iter();
        entries.filter(|e| e.version > known).any(|e| concerned(&e.key.name))
    }

    /// The declarations cut down to one agent.
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

    /// Takes another entry's digest and answers it.
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

    /// Takes the answer to a digest.
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

    /// Entries of this failure domain with a known address, this one first, in the order of the ring.
    fn ring(&self, now: time::Time) -> Vec<name::Name> {
        let mut ring: Vec<name::Name> = self.domain_entries(now).into_iter().cloned().collect();
        ring.sort_unstable();
        let own = ring.partition_point(|name| *name < self.instance);
        ring.rotate_left(own);
        ring
    }

    /// Number of the distance over which `peer` sends to this entry; zero when it is none.
    fn push_distance_from(&self, peer: &name::Name, now: time::Time) -> usize {
        let ring = self.ring(now);
        let Some(position) = ring.iter().position(|name| name == peer) else {
            return 0;
        };
        // A push arrives over a power of two; other exchanges are not pushes and are not sent on.
        let distance = ring.len() - position;
        if distance.is_power_of_two() {
            distance.trailing_zeros() as usize
        } else {
            0
        }
    }

    /// Address of the entry with which to exchange next: one of `listed`, the failure domain's entries on the platform's
    /// list, that is not known yet, or one of another failure domain that asked this one, otherwise the peer over the next
    /// distance. Call every [`control_intervals::GOSSIP_INTERVAL`].
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
        // Entries that start together would otherwise all ask the same one.
        let own = usize::try_from(rendezvous::weight(b"stranger", &self.instance) >> 32).unwrap_or(0);
        // Entries that never answer must not keep the others from being asked.
        if !contacts.is_empty() && (distances == 0 || self.gossip_rounds.is_multiple_of(2)) {
            return Some(contacts[(own + self.gossip_rounds) % contacts.len()]);
        }
        let peer = peer_at_distance(&ring, self.gossip_rounds.checked_rem(distances)?)?;
        self.address_of(&peer)
    }

    /// Whether some peer lacks changes that should go to it at once.
    pub fn has_pushes(&self) -> bool {
        !self.pending_pushes.is_empty()
    }

    /// Addresses of the peers to which changes go at once.
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

    /// Changes after `known`, or a snapshot when they are no longer remembered.
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

    /// This entry's digest for the peer called `peer`, or for one not yet heard.
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

    /// Other entries of this failure domain heard of lately.
    fn live_domain_peers(&self, now: time::Time) -> impl Iterator<Item = &PeerEntry> {
        let in_domain: Vec<&PeerEntry> = self
            .peers
            .iter()
            .filter(|p| p.failure_domain == self.failure_domain)
            .collect();
        // Sheets take longer in a large domain, so silence counts later.
        let intervals =
            control_intervals::ControlIntervals::for_domain(in_domain.len() + 1, self.members.members().len(), 0);
        let timeout = PEER_GONE_AFTER + intervals.report + intervals.propagation;
        in_domain.into_iter().filter(move |p| now.since(p.last_heard) < timeout)
    }

    /// Entries of this failure domain heard of lately, this one included.
    pub fn domain_entries(&self, now: time::Time) -> Vec<&name::Name> {
        let alive = self.live_domain_peers(now);
        alive.map(|p| &p.instance).chain([&self.instance]).collect()
    }

    /// Entries of this failure domain that limits are divided by: also those that fell silent lately, since a cut-off
    /// entry goes on admitting its share.
    pub fn limit_sharing_entries(&self) -> usize {
        let in_domain = self.peers.iter().filter(|p| p.failure_domain == self.failure_domain);
        in_domain.count() + 1
    }

    /// How long to wait between two looks at the platform's head row.
    pub fn read_interval(&self, now: time::Time) -> Duration {
        let readers = rendezvous::choose(b"reader", self.domain_entries(now), READERS);
        if readers.contains(&&self.instance) {
            READ_INTERVAL
        } else {
            BACKUP_READ_INTERVAL
        }
    }

    /// Looks for members that fell silent; call about every 100 ms.
    pub fn tick(&mut self, now: time::Time) {
        self.members.evict_gone(now);
        self.reports.evict_stale(now);
        self.peers.retain(|p| now.since(p.last_heard) < PEER_GONE_AFTER * 12);
    }
}

/// The peer over the distance with number `at` in a ring that begins with this entry.
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
