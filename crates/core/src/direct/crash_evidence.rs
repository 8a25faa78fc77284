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

use crate::direct::{crash, crash_facts, crash_tally, merged, owner, proofs, quarantine, trials, verdicts};
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
/// Period within which crashes belong to one moment. They may have one cause and are not independent evidence.
const MOMENT: Duration = Duration::from_millis(500);
/// Age at which crashes and proofs are forgotten. A quarantine ends by this.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Upper bound of the number of crashes kept.
const MAX_CRASHES: usize = 32;
/// Number of crashes by requests of one organisation from which each further one is decisive.
const MAX_CRASH_WEIGHT: usize = 16;
/// Number of crashes of one moment that count for this.
const MAX_WEIGHT_OF_MOMENT: usize = 6;
/// Upper bound of the number of suspected segments kept for each crash.
const MAX_SUSPECTS: usize = 16;
/// Number of segments of one request that are considered.
const MAX_SEGMENTS: usize = 32;
/// Length up to which identifiers of segments are told apart, in bytes.
const MAX_SEGMENT_BYTES: usize = 64;
/// Upper bound of the encoded length of the facts told at once, so that those about segments and those about requests
/// fit into one datagram.
const MAX_FACTS_BYTES: usize = 12 << 10;
/// The part of it for quarantines without crashes.
const MAX_VERDICT_BYTES: usize = 3 << 10;
/// Upper bound of the encoded length of such quarantines in a row of the table.
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
    /// At most [`MAX_CRASHES`], with [`MAX_SUSPECTS`] each.
    crashes: Vec<crash::Crash>,
    /// Number of reports of this instance that were news to it.
    own_reports: u64,
    /// Number of suspects of crashes that there was no room for.
    left_out: u64,
    /// Number of times at which the verdict was determined.
    verdict_count: u64,
    /// Proofs that this instance has seen.
    own_proofs: proofs::Proofs,
    /// Proofs that others have seen; only of suspected segments.
    told_proofs: proofs::Proofs,
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

/// Returns the segments of a request by which crashes are judged, in bounded space. Callers choose the identifiers.
pub fn bounded_segments(mut segments: Vec<Arc<str>>) -> Vec<Arc<str>> {
    segments.truncate(MAX_SEGMENTS);
    for segment in &mut segments {
        if segment.len() > MAX_SEGMENT_BYTES {
            let is_within = |(at, c): &(usize, char)| at + c.len_utf8() <= MAX_SEGMENT_BYTES;
            let bounded: String = segment.char_indices().take_while(is_within).map(|(_, c)| c).collect();
            *segment = Arc::from(bounded);
        }
    }
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
            verdict_count: 0,
            own_proofs: proofs::Proofs::default(),
            told_proofs: proofs::Proofs::default(),
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
        for segment in segments {
            self.own_proofs.record(segment, now);
        }
        let is_held_against = |s: &Arc<str>| is_suspected(&self.crashes, s) || self.verdicts.contains(s);
        if segments.iter().any(is_held_against) {
            self.judge(now);
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
        let suspects = segments.iter().map(|s| (s, owner));
        let is_news = self.add_crash(endpoint, suspects, now, now);
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
            let at = self.suspicions.binary_search_by(|(s, _)| s.cmp(segment));
            let moments = at.map_or(0, |at| self.suspicions[at].1);
            let is_quarantined = self.quarantined.binary_search_by(|q| q.suspect.cmp(segment)).is_ok();
            // One moment less than a quarantine takes.
            !is_quarantined && moments + 1 < self.min_moments(segment)
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
            let (moment, later) = rest.split_at(rest.partition_point(|at| at.since(*first) <= MOMENT));
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
        let now = shifted(now);
        if self.crashes.is_empty() && self.own_proofs.is_empty() && self.verdicts.all().is_empty() {
            return;
        }
        self.crashes.retain(|c| now.since(c.at) < MEMORY);
        self.own_proofs.retain(|_, at| now.since(at) < MEMORY);
        let (crashes, verdicts) = (&self.crashes, &self.verdicts);
        self.told_proofs.retain(|segment, at| {
            now.since(at) < MEMORY && (is_suspected(crashes, segment) || verdicts.contains(segment))
        });
        self.judge(now);
    }

    /// Returns what to tell other instances in a datagram, up to [`MAX_FACTS_BYTES`]. Crashes that support a quarantine
    /// come first, then the newest.
    pub fn facts(&mut self, now: time::Time) -> crash_facts::CrashFacts {
        self.facts_within(now, MAX_VERDICT_BYTES)
    }

    /// Returns what to write to the table.
    pub fn facts_for_table(&mut self, now: time::Time) -> crash_facts::CrashFacts {
        self.facts_within(now, MAX_ROW_VERDICT_BYTES)
    }

    fn facts_within(&mut self, now: time::Time, max_verdict_bytes: usize) -> crash_facts::CrashFacts {
        let now = shifted(now);
        let verdicts = self.verdicts.facts(now, max_verdict_bytes);
        let mut by_weight: Vec<&crash::Crash> = self.crashes.iter().collect();
        by_weight.sort_by_key(|c| std::cmp::Reverse((self.is_explained(c), c.at)));
        let mut facts = crash_facts::CrashFacts {
            proofs: self.proof_facts(&self.refuted, now),
            verdicts,
            verdict_count: self.verdicts.all().len(),
            ..crash_facts::CrashFacts::default()
        };
        let mut bytes = 0;
        for crash in by_weight {
            let fact = crash_facts::CrashFact {
                endpoint: Arc::clone(&crash.endpoint),
                age_ms: now.since(crash.at).as_millis() as u64,
                suspects: crash.suspects.clone(),
                owners: crash.owners.clone(),
            };
            let proofs = self.proof_facts(&crash.suspects, now);
            bytes += fact.encoded_len() + proofs.iter().map(crash_facts::ProofFact::encoded_len).sum::<usize>();
            if bytes > MAX_FACTS_BYTES - MAX_VERDICT_BYTES {
                break;
            }
            facts.crashes.push(fact);
            facts.proofs.extend(proofs);
        }
        facts.proofs.sort_by(|a, b| a.segment.cmp(&b.segment));
        facts.proofs.dedup();
        facts
    }

    /// Returns this instance's own proofs of `suspects`.
    fn proof_facts(&self, suspects: &[Arc<str>], now: time::Time) -> Vec<crash_facts::ProofFact> {
        let proofs = suspects.iter().filter_map(|segment| {
            let at = self.own_proofs.last(segment)?;
            Some(crash_facts::ProofFact {
                segment: Arc::clone(segment),
                age_ms: now.since(at).as_millis() as u64,
            })
        });
        proofs.collect()
    }

    /// Returns how many reports of this instance itself were news to it.
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
        let sender_lacks = self.crashes.iter().any(|c| !c.is_covered_by(facts, now, elapsed))
            || facts.verdict_count < self.verdicts.all().len();
        let (mut learned, mut refutes) = (false, false);
        for crash in &facts.crashes {
            if let Some(at) = time_of(crash.age_ms) {
                let owners = crash
                    .owners
                    .iter()
                    .copied()
                    .chain(std::iter::repeat(owner::Owner::default()));
                learned |= self.add_crash(&crash.endpoint, crash.suspects.iter().zip(owners), at, now);
            }
        }
        for verdict in &facts.verdicts {
            match time_of(verdict.age_ms) {
                Some(decided_at) if self.is_refuted(&verdict.suspect, decided_at) => refutes = true,
                Some(decided_at) => learned |= self.adopt(verdict, decided_at, now),
                None => {}
            }
        }
        for proof in &facts.proofs {
            let is_held_against = is_suspected(&self.crashes, &proof.segment) || self.verdicts.contains(&proof.segment);
            if let Some(at) = time_of(proof.age_ms).filter(|_| is_held_against) {
                self.told_proofs.record(&proof.segment, at);
            }
        }
        self.judge(now);
        merged::Merged {
            learned,
            sender_lacks: sender_lacks || refutes,
        }
    }

    /// Returns whether an answer has shown that `suspect` is sound since a quarantine that another instance tells was
    /// decided. If this instance has seen the answer, it tells that from now on.
    fn is_refuted(&mut self, suspect: &Arc<str>, decided_at: time::Time) -> bool {
        if self.own_proofs.last(suspect).is_some_and(|at| at > decided_at) && !self.refuted.contains(suspect) {
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
            partners: Vec::new(),
            terms: None,
            owner: verdict.owner,
            endpoints: verdict.endpoints.iter().take(MAX_ENDPOINTS).cloned().collect(),
            last_crash_at: decided_at,
            decided_at,
        };
        self.verdicts.insert(quarantine, MEMORY, now)
    }

    /// Adds a crash, or the suspects of a known one. Returns whether anything was added.
    fn add_crash<'a, I>(&mut self, endpoint: &Arc<str>, suspects: I, at: time::Time, now: time::Time) -> bool
    where
        I: IntoIterator<Item = (&'a Arc<str>, owner::Owner)>,
    {
        let known = self.crashes.iter().position(|c| c.is_same(endpoint, at));
        let mut is_news = known.is_none();
        let index = known.unwrap_or_else(|| {
            self.make_room(now);
            self.crashes.push(crash::Crash {
                endpoint: Arc::clone(endpoint),
                at,
                suspects: Vec::new(),
                owners: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let (own_proofs, told_proofs) = (&self.own_proofs, &self.told_proofs);
        let is_proved = |s: &Arc<str>| own_proofs.last(s).max(told_proofs.last(s)).is_some();
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        for (segment, owner) in suspects {
            if crash.has_suspect(segment) {
                continue;
            }
            // One that no answer has proved sound is the more likely cause.
            let is_full = crash.suspects.len() >= MAX_SUSPECTS;
            if is_full && (is_proved(segment) || !crash.remove_suspect(is_proved)) {
                self.left_out += 1;
                continue;
            }
            crash.add_suspect(segment, owner);
            is_news = true;
        }
        is_news
    }

    /// Drops a crash if there is no room for another: preferably one that supports a quarantine, which is kept without it,
    /// then one of the organisations that have most, then the oldest.
    fn make_room(&mut self, now: time::Time) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let count_of = |owner: &owner::Owner| self.crashes.iter().filter(|c| c.owners.contains(owner)).count();
        let least_common = |c: &crash::Crash| c.owners.iter().map(count_of).min();
        let victim = (0..self.crashes.len()).max_by_key(|&i| {
            let crash = &self.crashes[i];
            (self.is_explained(crash), least_common(crash), Reverse(crash.at))
        });
        let Some(index) = victim else { return };
        let crash = self.crashes.swap_remove(index);
        let explaining = |q: &&quarantine::Quarantine| crash.has_suspect(&q.suspect);
        let quarantines: Vec<_> = self.quarantined.iter().filter(explaining).cloned().collect();
        for quarantine in quarantines {
            self.verdicts.insert(quarantine, MEMORY, now);
        }
    }

    /// Returns whether a quarantined suspect explains `crash`.
    fn is_explained(&self, crash: &crash::Crash) -> bool {
        self.quarantined.iter().any(|q| crash.has_suspect(&q.suspect))
    }

    /// Ends the kept quarantines that have lasted for [`MEMORY`], that an answer has refuted, or whose crashes something else
    /// explains.
    fn review_verdicts(&mut self, now: time::Time) {
        let (own_proofs, told_proofs, explained) = (&self.own_proofs, &self.told_proofs, &self.explained);
        self.verdicts.retain(|v| {
            let last_proof = own_proofs.last(&v.suspect).max(told_proofs.last(&v.suspect));
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
            quarantined.extend(guilty.iter().map(|t| self.convict(t, &guilty, &unexplained)));
            unexplained.retain(|c| !guilty.iter().any(|t| c.has_suspect(&t.segment)));
        }
        quarantined.sort_by(|a, b| a.suspect.cmp(&b.suspect));
        quarantined.dedup_by(|a, b| a.suspect == b.suspect);
        self.quarantined = quarantined;
    }

    /// Returns the quarantine of a suspect that is among the `guilty` ones of `crashes`, which are sorted by time.
    fn convict(
        &self,
        tally: &crash_tally::Tally,
        guilty: &[&crash_tally::Tally],
        crashes: &[&crash::Crash],
    ) -> quarantine::Quarantine {
        let suspect = &tally.segment;
        let own = crashes.iter().filter(|c| c.has_suspect(suspect));
        let is_partner = |other: &Arc<str>| other != suspect && own.clone().any(|c| c.has_suspect(other));
        let partners = guilty.iter().map(|t| &t.segment).filter(|s| is_partner(s));
        let partners: Vec<Arc<str>> = partners.take(MAX_SUSPECTS).cloned().collect();
        let last_crash_at = own.clone().map(|c| c.at).max().unwrap_or_default();
        quarantine::Quarantine {
            suspect: Arc::clone(suspect),
            crashes: tally.crashes,
            moments: tally.moments.len(),
            terms: self.terms(tally, &partners, own.clone().copied(), last_crash_at),
            partners,
            owner: own.clone().find_map(|c| c.owner_of(suspect)).unwrap_or_default(),
            endpoints: own
                .clone()
                .take(MAX_ENDPOINTS)
                .map(|c| Arc::clone(&c.endpoint))
                .collect(),
            last_crash_at,
            decided_at: self.last_decisive(tally).unwrap_or_default(),
        }
    }

    /// Returns which requests may test a suspect with these `partners`, that explains `crashes`.
    fn terms<'a, I>(
        &self,
        tally: &crash_tally::Tally,
        partners: &[Arc<str>],
        crashes: I,
        last_crash_at: time::Time,
    ) -> Option<trials::Terms>
    where
        I: Iterator<Item = &'a crash::Crash>,
    {
        if !partners.is_empty() {
            let telling = crashes.filter(|c| partners.iter().any(|p| !c.has_suspect(p))).count();
            let is_open = telling < MAX_TELLING_CRASHES && tally.moments.len() < MAX_TESTED_MOMENTS;
            return is_open.then(|| trials::Terms::with_partners(partners.to_vec(), last_crash_at));
        }
        let min_moments = self.min_moments(&tally.segment);
        let is_open = tally.blamed_at.len() <= min_moments && tally.moments.len() <= min_moments.max(MIN_WEAK_MOMENTS);
        let is_rival = |s: &&Arc<str>| **s != tally.segment && self.last_proof(s).is_none();
        // The contents of requests seldom come again, so that those beside the suspect tell nothing.
        let rivals = crashes
            .flat_map(|c| &c.suspects)
            .filter(is_rival)
            .filter(|_| !self.counts_each_crash);
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
            partners: Vec::new(),
            terms: None,
            owner: *owner,
            endpoints: vec![Arc::clone(&crash.endpoint)],
            last_crash_at: crash.at,
            decided_at: crash.at,
        })
    }

    /// Counts what each segment may have caused, sorted by segment. `crashes` must be sorted by time.
    fn tallies(&self, crashes: &[&crash::Crash]) -> Vec<crash_tally::Tally> {
        let mut tallies: Vec<crash_tally::Tally> = Vec::new();
        let mut rest = crashes;
        while let Some(first) = rest.first() {
            let (moment, later) = rest.split_at(rest.partition_point(|c| c.at.since(first.at) <= MOMENT));
            rest = later;
            for (segment, count) in self.suspects_of(moment) {
                let at = tallies
                    .binary_search_by(|t| t.segment.cmp(segment))
                    .unwrap_or_else(|at| {
                        tallies.insert(at, crash_tally::Tally::new(segment));
                        at
                    });
                let tally = &mut tallies[at];
                tally.crashes += count;
                tally.moments.push(first.at);
                // Most crashes of a moment have one cause, such as the loss of a failure domain.
                if 2 * count > moment.len() {
                    let units = if self.counts_each_crash { count } else { 1 };
                    tally.blamed_at.extend(std::iter::repeat_n(first.at, units));
                }
            }
        }
        tallies
    }

    /// Counts how many of `crashes` each segment may have caused, sorted by segment.
    fn suspects_of<'a>(&self, crashes: &[&'a crash::Crash]) -> Vec<(&'a Arc<str>, usize)> {
        let mut counts: Vec<(&Arc<str>, usize)> = Vec::new();
        for crash in crashes {
            for segment in crash.suspects.iter().filter(|s| self.is_suspect_of(s, crash)) {
                match counts.binary_search_by(|(s, _)| (*s).cmp(segment)) {
                    Ok(at) => counts[at].1 += 1,
                    Err(at) => counts.insert(at, (segment, 1)),
                }
            }
        }
        counts
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
        self.own_proofs.last(segment).max(self.told_proofs.last(segment))
    }
}

/// Returns `now` on a clock that was at [`MEMORY`] at the origin, so that events from before the origin have a time.
pub(super) fn shifted(now: time::Time) -> time::Time {
    now + MEMORY
}

fn is_suspected(crashes: &[crash::Crash], segment: &Arc<str>) -> bool {
    crashes.iter().any(|c| c.has_suspect(segment))
}
