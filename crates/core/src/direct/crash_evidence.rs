//! Finds the segment of a prompt that crashes endpoints, so that requests with it are refused.
//!
//! Load condition addressed: one segment crashes every endpoint that begins to answer a request with it. Such requests
//! arrive at any instance, mixed with sound requests that share all their other segments, and each crash stops a whole
//! lock-step group for seconds.
//!
//! A crash is evidence against the shared segments of all requests that the endpoint had just begun. An answer that was
//! written for a while, or to its end, proves that all its segments are sound. The segment that explains crashes at the
//! most moments is quarantined, and what it explains no longer counts against others. Instances exchange
//! [`crash_facts::CrashFacts`], and reach the same verdict from the same facts. A quarantine whose crashes have to make room
//! for others is kept without them.
//!
//! The same evidence finds a request that crashes every endpoint which runs it, and that comes again with the same
//! content at any instance. Its suspects are the contents of requests instead of segments, see
//! [`CrashEvidence::of_requests`].

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::{
    crash, crash_facts, crash_tally, folded_set, merged, owner, proof_record, quarantine, ties, trials, verdicts,
};
use crate::time;

/// Time for which an answer must have been written to prove that its segments are sound. An endpoint crashes within a
/// few passes of the group.
const SOUND_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Longest time until a connection that had broken before a request was sent shows that.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(30);
/// Number of moments with crashes that quarantine a segment that no answer has proved sound.
const MIN_MOMENTS: usize = 2;
/// The same for a segment that was proved sound before the crashes, or that most endpoints which crashed at the same
/// moments did not have.
const MIN_WEAK_MOMENTS: usize = 4;
/// Number of crashes that tell a suspect apart from its partners, at which it is tested no more.
const MAX_TELLING_CRASHES: usize = 2;
/// Number of moments from which a suspect with partners is tested no more, so that at most three crashes follow the fifth.
const MAX_TESTED_MOMENTS: usize = 7;
/// Age at which crashes and proofs are forgotten. A quarantine ends by this.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Upper bound of the number of crashes kept.
const MAX_CRASHES: usize = 32;
/// Number of crashes by requests of one organisation from which each further one is decisive.
const MAX_CRASH_WEIGHT: usize = 16;
/// Number of crashes of one moment that count for this.
const MAX_WEIGHT_OF_MOMENT: usize = 6;
/// Upper bound of the number of suspects kept for all crashes together. A head of 16 KB names up to some 5,000.
const MAX_SUSPECTS: usize = 32 << 10;
/// Length up to which identifiers of segments are kept as they are, in bytes.
const MAX_SEGMENT_BYTES: usize = 64;
/// Length of the beginning that is kept of longer ones, in bytes. A digest follows.
const SEGMENT_PREFIX_BYTES: usize = 44;
/// Upper bound of the encoded length of the facts told at once, so that those about segments and those about requests
/// fit into one datagram.
const MAX_FACTS_BYTES: usize = 12 << 10;
/// The part of it for quarantines without crashes.
const MAX_VERDICT_BYTES: usize = 3 << 10;
/// Upper bound of the encoded length of quarantines without crashes in a row of the table.
const MAX_ROW_VERDICT_BYTES: usize = 19 << 10;
/// Upper bound of the number of quarantines of others for which a refutation is told.
const MAX_REFUTED: usize = 8;
/// Number of events of an answer that show that its endpoint went on after it had begun to write.
const MIN_SURVIVED_EVENTS: usize = 3;
/// Upper bound of the number of endpoints kept for each quarantine.
const MAX_ENDPOINTS: usize = 2;

/// All evidence of crashes that an instance has, and the verdict that follows from it.
#[derive(Debug, Clone)]
pub struct CrashEvidence {
    /// Whether each crash of a moment counts, if most of them had the suspect. A request is at one endpoint at a time, so
    /// that it was sent again after the first crash.
    counts_each_crash: bool,
    /// At most [`MAX_CRASHES`], with [`MAX_SUSPECTS`] in all.
    crashes: Vec<crash::Crash>,
    /// Number of reports of this instance that were news to it, and of its proofs that ended a quarantine.
    own_reports: u64,
    /// Number of suspects of crashes that there was no room for.
    left_out: u64,
    /// Number of times at which facts were told.
    rounds: usize,
    /// Number of times at which the verdict was determined.
    verdict_count: u64,
    /// Answers that proved suspects sound.
    proofs: proof_record::ProofRecord,
    /// Endpoints whose crashes something else explains, sorted.
    explained: Vec<Arc<str>>,
    /// Quarantines whose crashes are gone, or some of them.
    verdicts: verdicts::Verdicts,
    /// Suspects that other instances hold a quarantine on although an answer here has shown since that they are sound. The
    /// last one is the newest; at most [`MAX_REFUTED`].
    refuted: Vec<Arc<str>>,
    /// All that is quarantined, sorted by suspect.
    quarantined: Vec<quarantine::Quarantine>,
    /// Number of moments at which each segment may have caused a crash that no quarantined one explains, sorted by
    /// segment.
    suspicions: Vec<(Arc<str>, usize)>,
}

/// Returns the segments of a request by which crashes are judged, sorted and each once. Callers choose the identifiers; long ones are
/// replaced by shorter ones that tell them apart as well.
pub fn bounded_segments(mut segments: Vec<Arc<str>>) -> Vec<Arc<str>> {
    for segment in segments.iter_mut().filter(|s| s.len() > MAX_SEGMENT_BYTES) {
        let prefix_len = (0..=SEGMENT_PREFIX_BYTES).rfind(|&len| segment.is_char_boundary(len));
        let prefix = &segment[..prefix_len.unwrap_or_default()];
        *segment = Arc::from(format!("{prefix}~{:016x}", folded_set::digest(segment)));
    }
    segments.sort_unstable();
    segments.dedup();
    segments
}

/// Returns whether an answer proves that its segments are sound.
pub fn is_proof(written_for: Duration, is_complete: bool) -> bool {
    is_complete || written_for >= SOUND_ANSWER_TIME
}

/// Returns whether an answer of `events` events that broke off at an endpoint which lives proves that its segments are
/// sound. `held_for` is the time from the first event until its connection was closed, during which the group of the endpoint
/// may have stood still.
pub fn has_survived(events: usize, held_for: Duration) -> bool {
    events >= MIN_SURVIVED_EVENTS && held_for >= SOUND_ANSWER_TIME
}

/// Returns whether a response that broke off is evidence of a crash under its request. An idle connection may have broken
/// before the request was sent, which shows within a round trip.
pub fn is_decisive(is_fresh_connection: bool, waited: Duration) -> bool {
    is_fresh_connection || waited >= MAX_ROUND_TRIP
}

impl Default for CrashEvidence {
    /// Creates evidence against segments of prompts.
    fn default() -> Self {
        Self::empty(false)
    }
}

impl CrashEvidence {
    /// Creates evidence against the contents of requests.
    pub fn of_requests() -> Self {
        Self::empty(true)
    }

    fn empty(counts_each_crash: bool) -> Self {
        Self {
            counts_each_crash,
            crashes: Vec::new(),
            own_reports: 0,
            left_out: 0,
            rounds: 0,
            verdict_count: 0,
            proofs: proof_record::ProofRecord::default(),
            explained: Vec::new(),
            verdicts: verdicts::Verdicts::default(),
            refuted: Vec::new(),
            quarantined: Vec::new(),
            suspicions: Vec::new(),
        }
    }

    /// Records that an answer proved `segments` sound.
    pub fn record_proof(&mut self, segments: &[Arc<str>], now: time::Time) {
        let now = shifted(now);
        let is_held_against = segments.iter().any(|s| self.is_held_against(s));
        self.proofs.record_own(segments, now);
        if is_held_against {
            let before = self.quarantined.len();
            self.judge(now);
            self.own_reports += u64::from(self.quarantined.len() < before);
        }
    }

    /// Records that `endpoint` crashed when it had just begun a request of `owner` with `segments`. Returns whether this
    /// is news.
    pub fn record_crash(
        &mut self,
        endpoint: &Arc<str>,
        segments: &[Arc<str>],
        owner: owner::Owner,
        now: time::Time,
    ) -> bool {
        let now = shifted(now);
        let suspects: Vec<_> = segments.iter().map(|s| (Arc::clone(s), owner)).collect();
        self.unfold_all(&suspects, now);
        let is_news = self.add_crash(endpoint, suspects, &[], now, now);
        self.own_reports += u64::from(is_news);
        self.judge(now);
        is_news
    }

    /// Returns the first quarantined segment among `segments`.
    pub fn quarantined(&self, segments: &[Arc<str>]) -> Option<&quarantine::Quarantine> {
        self.quarantined_among(segments).next()
    }

    /// Returns all quarantined segments among `segments`.
    pub(super) fn quarantined_among(&self, segments: &[Arc<str>]) -> impl Iterator<Item = &quarantine::Quarantine> {
        let found = |s: &Arc<str>| self.quarantined.binary_search_by(|q| q.suspect.cmp(s)).ok();
        segments.iter().filter_map(found).map(|at| &self.quarantined[at])
    }

    /// Returns how long `quarantine` lasts.
    pub fn remaining(quarantine: &quarantine::Quarantine, now: time::Time) -> Duration {
        (quarantine.decided_at + MEMORY).since(shifted(now))
    }

    /// Returns whether no answer has proved all `segments` sound.
    pub fn has_unproved(&self, segments: &[Arc<str>]) -> bool {
        segments.iter().any(|s| self.last_proof(s).is_none())
    }

    /// Returns how long ago an answer last proved `suspect` sound, as far as this instance knows.
    pub fn proof_age(&self, suspect: &Arc<str>, now: time::Time) -> Option<Duration> {
        self.last_proof(suspect).map(|at| shifted(now).since(at))
    }

    /// Returns all quarantined segments, sorted.
    pub fn quarantines(&self) -> &[quarantine::Quarantine] {
        &self.quarantined
    }

    /// Returns the endpoints whose crashes the quarantined segments explain, sorted.
    pub fn explained_endpoints(&self) -> Vec<Arc<str>> {
        let crashes = self.crashes.iter().filter(|c| self.is_explained(c));
        let mut endpoints: Vec<Arc<str>> = crashes.map(|c| Arc::clone(&c.endpoint)).collect();
        endpoints.sort_unstable();
        endpoints
    }

    /// Returns the endpoints that crashed under a suspect which has crashed another one before and was never proved sound,
    /// sorted.
    pub fn endpoints_crashed_again(&self) -> Vec<Arc<str>> {
        let is_before =
            |one: &crash::Crash, other: &crash::Crash| (one.at, &one.endpoint) < (other.at, &other.endpoint);
        let is_again = |crash: &&crash::Crash| {
            let mut unproved = crash.suspects.iter().filter(|s| self.last_proof(s).is_none());
            unproved.any(|s| {
                let mut others = self.crashes.iter().filter(|c| is_before(c, crash));
                others.any(|c| c.has_suspect(s))
            })
        };
        let mut endpoints: Vec<Arc<str>> = self
            .crashes
            .iter()
            .filter(is_again)
            .map(|c| Arc::clone(&c.endpoint))
            .collect();
        endpoints.sort_unstable();
        endpoints
    }

    /// Sets the endpoints whose crashes something else explains, sorted, and judges again.
    pub fn set_explained(&mut self, endpoints: Vec<Arc<str>>, now: time::Time) {
        if self.explained != endpoints {
            self.explained = endpoints;
            self.judge(shifted(now));
        }
    }

    /// Returns whether a request whose answer broke off may be sent to another endpoint, although one of its `segments`
    /// may have crashed the former one.
    pub fn allows_repeat(&self, segments: &[Arc<str>]) -> bool {
        segments.iter().all(|segment| {
            // One moment less than a quarantine takes.
            !self.is_quarantined(segment) && self.suspected_moments(segment) + 1 < self.min_moments(segment)
        })
    }

    /// Returns whether requests of `owner` crash so many endpoints that one whose endpoint crashed is not to be sent to another
    /// one, which would only crash that as well: each crash that no other request may have caused is decisive then.
    pub fn is_suspicious(&self, owner: owner::Owner) -> bool {
        self.verdicts.is_share_used_up(owner) || self.crash_weight(owner) >= MAX_CRASH_WEIGHT
    }

    /// Returns how many crashes only requests of `owner` may have caused that no answer has shown to be sound since. At most
    /// [`MAX_WEIGHT_OF_MOMENT`] of a moment count, since they may have one other cause.
    fn crash_weight(&self, owner: owner::Owner) -> usize {
        let is_alone = |c: &&crash::Crash| !c.owners.is_empty() && c.owners.iter().all(|o| *o == owner);
        let has_suspect = |c: &&crash::Crash| c.suspects.iter().any(|s| self.is_suspect_of(s, c));
        let counts = |c: &&crash::Crash| is_alone(c) && has_suspect(c);
        let mut times: Vec<time::Time> = self.crashes.iter().filter(counts).map(|c| c.at).collect();
        times.sort_unstable();
        let mut rest = times.as_slice();
        let mut weight = 0;
        while let Some(first) = rest.first() {
            let (moment, later) = rest.split_at(rest.partition_point(|at| at.since(*first) <= crash_tally::MOMENT));
            weight += moment.len().min(MAX_WEIGHT_OF_MOMENT);
            rest = later;
        }
        weight
    }

    /// Returns how many times the verdict was determined. As long as this is the same, nothing has changed that it depends on.
    pub fn verdict_count(&self) -> u64 {
        self.verdict_count
    }

    /// Returns how many quarantines have ended, or were not kept, for want of room.
    pub fn dropped_quarantines(&self) -> u64 {
        self.verdicts.dropped()
    }

    /// Returns how many suspects of crashes there was no room for.
    pub fn left_out_suspects(&self) -> u64 {
        self.left_out
    }

    /// Forgets what is too old and judges again. Call this regularly.
    pub fn refresh(&mut self, now: time::Time) {
        let (oldest, now) = (now, shifted(now));
        self.proofs.discard_before(oldest);
        if self.crashes.is_empty() && self.verdicts.all().is_empty() {
            return;
        }
        self.crashes.retain(|c| now.since(c.at) < MEMORY);
        self.judge(now);
    }

    /// Returns what to tell other instances in a datagram, up to [`MAX_FACTS_BYTES`]. Crashes that support a quarantine
    /// come first, then the newest.
    pub fn facts(&mut self, now: time::Time) -> crash_facts::CrashFacts {
        let mut facts = self.facts_within(now, MAX_VERDICT_BYTES);
        facts.proved = self.folded_proofs(shifted(now));
        facts
    }

    /// Returns what to write to the table.
    pub fn facts_for_table(&mut self, now: time::Time) -> crash_facts::CrashFacts {
        let proved = self.folded_proofs(shifted(now));
        // They share the room of a row.
        let proved_bytes = if proved.is_empty() {
            0
        } else {
            proof_record::MAX_PROVED_BYTES
        };
        let mut facts = self.facts_within(now, MAX_ROW_VERDICT_BYTES - proved_bytes);
        facts.proved = proved;
        facts
    }

    fn facts_within(&mut self, now: time::Time, max_verdict_bytes: usize) -> crash_facts::CrashFacts {
        let now = shifted(now);
        let verdicts = self.verdicts.facts(now, max_verdict_bytes);
        let mut by_weight: Vec<&crash::Crash> = self.crashes.iter().collect();
        by_weight.sort_by_key(|c| std::cmp::Reverse((self.is_explained(c), c.at)));
        let mut facts = crash_facts::CrashFacts {
            proofs: self.proofs.facts(&self.refuted, now),
            verdicts,
            verdict_count: self.verdicts.all().len(),
            ..crash_facts::CrashFacts::default()
        };
        let max_bytes = MAX_FACTS_BYTES - MAX_VERDICT_BYTES;
        let mut bytes = 0;
        for crash in by_weight {
            let mut fact = self.fact_of(crash, now);
            // One that is too large is told in parts, which take turns.
            let parts = fact.folded.len().max(1);
            fact.folded.rotate_left(self.rounds % parts);
            let proofs = self.proofs.facts(&fact.suspects, now);
            let proofs_len = proofs.iter().map(crash_facts::ProofFact::encoded_len).sum::<usize>();
            while fact.encoded_len() + proofs_len > max_bytes && fact.folded.pop().is_some() {}
            let len = fact.encoded_len() + proofs_len;
            if bytes + len > max_bytes {
                break;
            }
            bytes += len;
            facts.crashes.push(fact);
            facts.proofs.extend(proofs);
        }
        self.rounds = self.rounds.wrapping_add(1);
        facts.proofs.sort_by(|a, b| a.segment.cmp(&b.segment));
        facts.proofs.dedup();
        facts
    }

    /// Returns what to tell others of `crash`.
    fn fact_of(&self, crash: &crash::Crash, now: time::Time) -> crash_facts::CrashFact {
        let is_quarantined = |s: &Arc<str>| self.is_quarantined(s);
        let explained =
            (crash.is_crowded() && self.is_explained(crash)).then(|| crash.to_explained_fact(is_quarantined, now));
        // The likeliest causes are named.
        let weight = |s: &Arc<str>| {
            (
                self.is_quarantined(s),
                self.last_proof(s).is_none(),
                self.suspected_moments(s),
            )
        };
        explained.flatten().unwrap_or_else(|| crash.to_fact(weight, now))
    }

    /// Returns this instance's own proofs of the suspects of crowded crashes.
    fn folded_proofs(&self, now: time::Time) -> Vec<crash_facts::ProvedSet> {
        let crowded = self.crashes.iter().filter(|c| c.is_crowded());
        let mut suspects: Vec<&Arc<str>> = crowded.flat_map(|c| &c.suspects).collect();
        suspects.sort_unstable();
        suspects.dedup();
        let newest_crash = self.crashes.iter().map(|c| c.at).max().unwrap_or_default();
        self.proofs
            .folded_facts(suspects.into_iter(), newest_crash, self.rounds, now)
    }

    /// Takes over folded proofs that another instance has seen at the time `at`. Returns whether they change what is held against
    /// suspects that are known by name.
    fn add_folded_proofs(&mut self, set: &folded_set::FoldedSet, at: time::Time) -> bool {
        if !self.proofs.record_told_set(set, at) {
            return false;
        }
        // One that alone explains crashes here may be found in the set by mistake.
        let is_proved = |s: &&Arc<str>| {
            let is_older = self.last_proof(s).is_none_or(|proved_at| proved_at < at);
            set.may_contain(folded_set::digest(s)) && is_older && !self.is_quarantined_alone(s)
        };
        let named = self.crashes.iter().flat_map(|c| &c.suspects);
        let mut proved: Vec<Arc<str>> = named.filter(is_proved).cloned().collect();
        proved.sort_unstable();
        proved.dedup();
        let has_changed = proved.iter().any(|s| self.is_held_against(s));
        self.proofs.record_told(&proved, at);
        has_changed
    }

    /// Returns how many reports of this instance itself were news to it, or ended a quarantine.
    pub fn own_reports(&self) -> u64 {
        self.own_reports
    }

    /// Merges the facts that another instance told `elapsed` ago.
    pub fn merge(&mut self, facts: &crash_facts::CrashFacts, elapsed: Duration, now: time::Time) -> merged::Merged {
        let now = shifted(now);
        let time_of = |age_ms: u64| {
            let age = Duration::from_millis(age_ms) + elapsed;
            (age < MEMORY).then(|| time::Time::from_micros(now.as_micros() - age.as_micros() as u64))
        };
        let is_quarantined = |s: &Arc<str>| self.is_quarantined(s);
        let is_covered = |c: &crash::Crash| c.is_covered_by(facts, is_quarantined, now, elapsed);
        let sender_lacks = !self.crashes.iter().all(is_covered) || facts.verdict_count < self.verdicts.all().len();
        let (mut learned, mut refutes) = (false, false);
        for crash in &facts.crashes {
            if let Some(at) = time_of(crash.age_ms) {
                let owners = crash
                    .owners
                    .iter()
                    .copied()
                    .chain(std::iter::repeat(owner::Owner::default()));
                let suspects = crash.suspects.iter().cloned().zip(owners).collect();
                learned |= self.add_crash(&crash.endpoint, suspects, &crash.folded, at, now);
            }
        }
        if learned {
            self.unfold_all(&self.named_suspects(), now);
        }
        for verdict in &facts.verdicts {
            match time_of(verdict.age_ms) {
                Some(decided_at) if self.is_refuted(&verdict.suspect, decided_at) => refutes = true,
                Some(decided_at) => learned |= self.adopt(verdict, decided_at, now),
                None => {}
            }
        }
        let mut has_changed = learned || !facts.verdicts.is_empty();
        for proof in &facts.proofs {
            let is_held_against = is_suspected(&self.crashes, &proof.segment) || self.verdicts.contains(&proof.segment);
            if let Some(at) = time_of(proof.age_ms).filter(|_| is_held_against) {
                has_changed |= self.is_held_against(&proof.segment);
                self.proofs.record_told([&proof.segment], at);
            }
        }
        for set in &facts.proved {
            if let Some(at) = time_of(set.age_ms) {
                has_changed |= self.add_folded_proofs(&set.segments, at);
            }
        }
        if has_changed {
            self.judge(now);
        }
        merged::Merged {
            learned,
            sender_lacks: sender_lacks || refutes,
        }
    }

    /// Returns whether an answer has shown that `suspect` is sound since a quarantine that another instance tells was
    /// decided. If this instance has seen the answer, it tells that from now on.
    fn is_refuted(&mut self, suspect: &Arc<str>, decided_at: time::Time) -> bool {
        if self.proofs.last_own(suspect).is_some_and(|at| at > decided_at) && !self.refuted.contains(suspect) {
            if self.refuted.len() >= MAX_REFUTED {
                self.refuted.remove(0);
            }
            self.refuted.push(Arc::clone(suspect));
        }
        self.last_proof(suspect).is_some_and(|at| at > decided_at)
    }

    /// Takes over a quarantine that another instance told. Returns whether it is news.
    fn adopt(&mut self, verdict: &crash_facts::VerdictFact, decided_at: time::Time, now: time::Time) -> bool {
        let quarantine = quarantine::Quarantine {
            suspect: Arc::clone(&verdict.suspect),
            crashes: verdict.crashes,
            moments: 0,
            partners: Arc::default(),
            terms: None,
            owner: verdict.owner,
            endpoints: verdict.endpoints.iter().take(MAX_ENDPOINTS).cloned().collect(),
            last_crash_at: decided_at,
            decided_at,
        };
        self.verdicts.insert(quarantine, MEMORY, now)
    }

    /// Adds a crash, or the suspects of a known one. Returns whether anything was added.
    fn add_crash(
        &mut self,
        endpoint: &Arc<str>,
        suspects: Vec<(Arc<str>, owner::Owner)>,
        folded: &[folded_set::FoldedSet],
        at: time::Time,
        now: time::Time,
    ) -> bool {
        let is_same = |c: &crash::Crash| c.is_same(endpoint, at);
        let mut is_news = !self.crashes.iter().any(is_same);
        if is_news {
            if self.crashes.len() >= MAX_CRASHES {
                self.drop_crash(now, |_| true);
            }
            self.crashes.push(crash::Crash::new(endpoint, at));
        }
        let Some(known) = self.crashes.iter().find(|c| is_same(c)) else {
            return false;
        };
        let mut added = suspects;
        added.retain(|(suspect, _)| !known.has_suspect(suspect));
        added.sort_by(|a, b| a.0.cmp(&b.0));
        added.dedup_by(|a, b| a.0 == b.0);
        self.make_room(&mut added, now, is_same);
        is_news |= !added.is_empty();
        let mut left_out = 0;
        if let Some(crash) = self.crashes.iter_mut().find(|c| is_same(c)) {
            crash.at = crash.at.min(at);
            for set in folded {
                let is_added = crash.add_folded(set);
                is_news |= is_added == Some(true);
                left_out += u64::from(is_added.is_none());
            }
            if !added.is_empty() {
                crash.add_suspects(added);
            }
        }
        self.left_out += left_out;
        is_news
    }

    /// Makes room for suspects of the crash for which `is_kept` returns `true`, by dropping others. If that isn't enough, those that an
    /// answer has proved sound go first, since they are less likely to be the cause.
    fn make_room<F>(&mut self, added: &mut Vec<(Arc<str>, owner::Owner)>, now: time::Time, is_kept: F)
    where
        F: Fn(&crash::Crash) -> bool,
    {
        while self.suspect_count() + added.len() > MAX_SUSPECTS && self.drop_crash(now, |c| !is_kept(c)) {}
        let room = MAX_SUSPECTS.saturating_sub(self.suspect_count());
        if added.len() > room {
            self.left_out += (added.len() - room) as u64;
            added.sort_by_cached_key(|(s, _)| self.last_proof(s).is_some());
            added.truncate(room);
            added.sort_by(|a, b| a.0.cmp(&b.0));
        }
    }

    fn suspect_count(&self) -> usize {
        self.crashes.iter().map(|c| c.suspects.len()).sum()
    }

    /// Drops one of the crashes for which `may_go` returns `true`: preferably one that supports a quarantine, which is kept without
    /// it, then one of the organisations that have most, then the oldest. Returns whether there is one.
    fn drop_crash<F>(&mut self, now: time::Time, may_go: F) -> bool
    where
        F: Fn(&crash::Crash) -> bool,
    {
        let owners: Vec<Vec<owner::Owner>> = self.crashes.iter().map(crash::Crash::distinct_owners).collect();
        let count_of = |owner: &owner::Owner| owners.iter().filter(|o| o.binary_search(owner).is_ok()).count();
        let least_common = |i: usize| owners[i].iter().map(count_of).min();
        let candidates = (0..self.crashes.len()).filter(|&i| may_go(&self.crashes[i]));
        let victim = candidates.max_by_key(|&i| {
            let crash = &self.crashes[i];
            (self.is_explained(crash), least_common(i), Reverse(crash.at))
        });
        let Some(index) = victim else { return false };
        let crash = self.crashes.swap_remove(index);
        let explaining = |q: &&quarantine::Quarantine| crash.has_suspect(&q.suspect);
        let quarantines: Vec<_> = self.quarantined.iter().filter(explaining).cloned().collect();
        for quarantine in quarantines {
            self.verdicts.insert(quarantine, MEMORY, now);
        }
        true
    }

    /// Returns whether one of `segments` may be among the suspects that others have told in folded form.
    pub(super) fn may_unfold(&self, segments: &[Arc<str>]) -> bool {
        let unfolds = |c: &crash::Crash| segments.iter().any(|s| self.unfolds(s, c));
        self.crashes.iter().any(unfolds)
    }

    /// Takes those of `segments`, which a request of `owner` has, out of folded sets, and judges again.
    pub(super) fn unfold(&mut self, segments: &[Arc<str>], owner: owner::Owner, now: time::Time) {
        let suspects: Vec<_> = segments.iter().map(|s| (Arc::clone(s), owner)).collect();
        let now = shifted(now);
        self.unfold_all(&suspects, now);
        self.judge(now);
    }

    /// Names those of `suspects` for the crashes whose folded sets may contain them.
    fn unfold_all(&mut self, suspects: &[(Arc<str>, owner::Owner)], now: time::Time) {
        let unfolds = |c: &&crash::Crash| suspects.iter().any(|(s, _)| self.unfolds(s, c));
        let crashes = self.crashes.iter().filter(unfolds);
        let crashes: Vec<_> = crashes.map(|c| (Arc::clone(&c.endpoint), c.at)).collect();
        for (endpoint, at) in crashes {
            let is_same = |c: &crash::Crash| c.is_same(&endpoint, at);
            // The crash may have made room for the suspects of another one.
            let Some(crash) = self.crashes.iter().find(|c| is_same(c)) else {
                continue;
            };
            let mut named: Vec<_> = suspects
                .iter()
                .filter(|(s, _)| self.unfolds(s, crash))
                .cloned()
                .collect();
            named.sort_by(|a, b| a.0.cmp(&b.0));
            named.dedup_by(|a, b| a.0 == b.0);
            let unfolded: Vec<&Arc<str>> = named.iter().map(|(s, _)| s).collect();
            self.proofs.unfold(&unfolded);
            self.make_room(&mut named, now, is_same);
            if let Some(crash) = self.crashes.iter_mut().find(|c| is_same(c)) {
                crash.add_suspects(named);
            }
        }
    }

    /// Returns whether a folded set may hold `suspect` against a crash, and no answer has shown since that it is sound.
    fn unfolds(&self, suspect: &Arc<str>, crash: &crash::Crash) -> bool {
        crash.may_unfold(suspect) && self.is_suspect_of(suspect, crash)
    }

    /// Returns all suspects that are known by name.
    fn named_suspects(&self) -> Vec<(Arc<str>, owner::Owner)> {
        let of_crash = |c: &crash::Crash| {
            c.suspects
                .iter()
                .cloned()
                .zip(c.owners.iter().copied())
                .collect::<Vec<_>>()
        };
        let mut named: Vec<_> = self.crashes.iter().flat_map(of_crash).collect();
        named.sort_by(|a, b| a.0.cmp(&b.0));
        named.dedup_by(|a, b| a.0 == b.0);
        named
    }

    /// Returns whether a proof of `suspect` may change the verdict.
    fn is_held_against(&self, suspect: &Arc<str>) -> bool {
        let last_proof = self.last_proof(suspect);
        let is_before = |c: &crash::Crash| last_proof.is_none_or(|at| at < c.at);
        self.verdicts.contains(suspect) || self.crashes.iter().any(|c| is_before(c) && c.has_suspect(suspect))
    }

    fn is_quarantined(&self, suspect: &Arc<str>) -> bool {
        self.quarantined.binary_search_by(|q| q.suspect.cmp(suspect)).is_ok()
    }

    fn is_quarantined_alone(&self, suspect: &Arc<str>) -> bool {
        let at = self.quarantined.binary_search_by(|q| q.suspect.cmp(suspect));
        at.is_ok_and(|at| self.quarantined[at].partners.is_empty())
    }

    /// Returns the number of moments at which `suspect` may have caused a crash that nothing quarantined explains.
    fn suspected_moments(&self, suspect: &Arc<str>) -> usize {
        let at = self.suspicions.binary_search_by(|(s, _)| s.cmp(suspect));
        at.map_or(0, |at| self.suspicions[at].1)
    }

    /// Returns whether a quarantined suspect explains `crash`.
    fn is_explained(&self, crash: &crash::Crash) -> bool {
        self.quarantined.iter().any(|q| crash.has_suspect(&q.suspect))
    }

    /// Ends the kept quarantines that have lasted for [`MEMORY`], that an answer has refuted, or whose crashes something else
    /// explains.
    fn review_verdicts(&mut self, now: time::Time) {
        let (proofs, explained) = (&self.proofs, &self.explained);
        self.verdicts.retain(|v| {
            let last_proof = proofs.last(&v.suspect);
            let is_explained = |e: &Arc<str>| explained.binary_search(e).is_ok();
            let has_other_cause = !v.endpoints.is_empty() && v.endpoints.iter().all(is_explained);
            now.since(v.decided_at) < MEMORY && last_proof.is_none_or(|at| at <= v.decided_at) && !has_other_cause
        });
    }

    /// Determines what is quarantined.
    fn judge(&mut self, now: time::Time) {
        self.verdict_count += 1;
        self.review_verdicts(now);
        let is_explained = |c: &crash::Crash| {
            self.explained.binary_search(&c.endpoint).is_ok() || c.suspects.iter().any(|s| self.verdicts.contains(s))
        };
        let counts = |c: &&crash::Crash| now.since(c.at) < MEMORY && !is_explained(c);
        let mut unexplained: Vec<&crash::Crash> = self.crashes.iter().filter(counts).collect();
        unexplained.sort_unstable_by_key(|c| c.at);
        let mut quarantined = self.verdicts.all().to_vec();
        loop {
            let tallies = self.tallies(&unexplained);
            let is_guilty = |t: &&crash_tally::Tally| self.last_decisive(t).is_some();
            // A segment that was never proved sound goes before one that was.
            let rank = |t: &crash_tally::Tally| (self.last_proof(&t.segment).is_none(), t.blamed_at.len());
            let Some(worst) = tallies.iter().filter(is_guilty).map(rank).max() else {
                self.suspicions = tallies.into_iter().map(|t| (t.segment, t.moments.len())).collect();
                quarantined.extend(unexplained.iter().filter_map(|c| self.decided_alone(c)));
                break;
            };
            let guilty: Vec<&crash_tally::Tally> =
                tallies.iter().filter(is_guilty).filter(|t| rank(t) == worst).collect();
            let ties = ties::Ties::new(guilty.iter().map(|t| &t.segment), &unexplained);
            quarantined.extend(guilty.iter().map(|t| self.convict(t, &ties, &unexplained)));
            unexplained = ties.unexplained(&unexplained);
        }
        quarantined.sort_by(|a, b| a.suspect.cmp(&b.suspect));
        quarantined.dedup_by(|a, b| a.suspect == b.suspect);
        self.quarantined = quarantined;
    }

    /// Returns the quarantine of a suspect that is among those of `ties`, which explain some of `crashes`, sorted by time.
    fn convict(
        &self,
        tally: &crash_tally::Tally,
        ties: &ties::Ties,
        crashes: &[&crash::Crash],
    ) -> quarantine::Quarantine {
        let suspect = &tally.segment;
        let tie = ties.of(suspect);
        let own = tie.crashes(crashes);
        let last_crash_at = own.clone().map(|c| c.at).max().unwrap_or_default();
        quarantine::Quarantine {
            suspect: Arc::clone(suspect),
            crashes: tally.crashes,
            moments: tally.moments.len(),
            terms: self.terms(tally, tie, own.clone(), last_crash_at),
            partners: Arc::clone(&tie.partners),
            owner: own.clone().find_map(|c| c.owner_of(suspect)).unwrap_or_default(),
            endpoints: own.take(MAX_ENDPOINTS).map(|c| Arc::clone(&c.endpoint)).collect(),
            last_crash_at,
            decided_at: self.last_decisive(tally).unwrap_or_default(),
        }
    }

    /// Returns which requests may test a suspect that explains `crashes` as well as those of `tie` do.
    fn terms<'a, I>(
        &self,
        tally: &crash_tally::Tally,
        tie: &ties::Tie,
        crashes: I,
        last_crash_at: time::Time,
    ) -> Option<trials::Terms>
    where
        I: Iterator<Item = &'a crash::Crash>,
    {
        if !tie.partners.is_empty() {
            let is_open = tie.telling_crashes < MAX_TELLING_CRASHES && tally.moments.len() < MAX_TESTED_MOMENTS;
            return is_open.then(|| trials::Terms::with_partners(Arc::clone(&tie.partners), last_crash_at));
        }
        let min_moments = self.min_moments(&tally.segment);
        let is_open = tally.blamed_at.len() <= min_moments && tally.moments.len() <= min_moments.max(MIN_WEAK_MOMENTS);
        let is_rival = |s: &&Arc<str>| **s != tally.segment && self.last_proof(s).is_none();
        // The contents of requests seldom come again, so that those beside the suspect tell nothing.
        let rivals = crashes
            .flat_map(|c| &c.suspects)
            .filter(|_| is_open && !self.counts_each_crash)
            .filter(is_rival);
        is_open.then(|| trials::Terms::alone(rivals.cloned().collect(), last_crash_at))
    }

    /// Returns the quarantine that `crash` decides alone, since no other request may have caused it and requests of the
    /// same organisation crash many endpoints.
    fn decided_alone(&self, crash: &crash::Crash) -> Option<quarantine::Quarantine> {
        let [suspect] = crash.suspects.as_slice() else {
            return None;
        };
        let owner = crash.owners.first()?;
        let is_decisive = self.counts_each_crash && self.last_proof(suspect).is_none() && self.is_suspicious(*owner);
        is_decisive.then(|| quarantine::Quarantine {
            suspect: Arc::clone(suspect),
            crashes: 1,
            moments: 1,
            partners: Arc::default(),
            terms: None,
            owner: *owner,
            endpoints: vec![Arc::clone(&crash.endpoint)],
            last_crash_at: crash.at,
            decided_at: crash.at,
        })
    }

    /// Counts what each segment may have caused, sorted by segment. `crashes` must be sorted by time.
    fn tallies(&self, crashes: &[&crash::Crash]) -> Vec<crash_tally::Tally> {
        let is_suspect = |s: &Arc<str>, c: &crash::Crash| self.is_suspect_of(s, c);
        let units = |count| if self.counts_each_crash { count } else { 1 };
        crash_tally::count(crashes, is_suspect, units)
    }

    /// Returns the last moment without which there would be too few to quarantine the segment, or `None` if there are too
    /// few.
    fn last_decisive(&self, tally: &crash_tally::Tally) -> Option<time::Time> {
        let last_of = |moments: &[time::Time], count: usize| moments.iter().rev().nth(count - 1).copied();
        let by_blame = last_of(&tally.blamed_at, self.min_moments(&tally.segment));
        let is_proved = self.last_proof(&tally.segment).is_some();
        by_blame.max(last_of(&tally.moments, MIN_WEAK_MOMENTS).filter(|_| !is_proved))
    }

    fn min_moments(&self, segment: &Arc<str>) -> usize {
        if self.last_proof(segment).is_some() {
            MIN_WEAK_MOMENTS
        } else {
            MIN_MOMENTS
        }
    }

    /// Returns whether no answer has shown since `crash` that `segment` is sound.
    fn is_suspect_of(&self, segment: &Arc<str>, crash: &crash::Crash) -> bool {
        self.last_proof(segment).is_none_or(|at| at < crash.at)
    }

    fn last_proof(&self, segment: &Arc<str>) -> Option<time::Time> {
        self.proofs.last(segment)
    }
}

/// Returns `now` on a clock that was at [`MEMORY`] at the origin, so that events from before the origin have a time.
pub(super) fn shifted(now: time::Time) -> time::Time {
    now + MEMORY
}

fn is_suspected(crashes: &[crash::Crash], segment: &Arc<str>) -> bool {
    crashes.iter().any(|c| c.has_suspect(segment))
}
