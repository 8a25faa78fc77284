//! Finds the segment of a prompt that crashes endpoints, so that requests with it are refused.
//!
//! Load condition addressed: one segment crashes every endpoint that begins to answer a request with it. Such requests
//! arrive at any instance, mixed with sound requests that share all their other segments, and each crash stops a whole
//! lock-step group for seconds.
//!
//! A crash is evidence against the shared segments of all requests that the endpoint had just begun. An answer that was
//! written for a while, or to its end, proves that all its segments are sound. The segment that explains crashes at the
//! most moments is quarantined, and what it explains no longer counts against others. Instances exchange
//! [`crash_facts::CrashFacts`], and reach the same verdict from the same facts.
//!
//! The same evidence finds a request that crashes every endpoint which runs it, and that comes again with the same
//! content at any instance. Its suspects are the contents of requests instead of segments, see
//! [`CrashEvidence::of_requests`].

use std::sync::Arc;
use std::time::Duration;

use crate::direct::{crash, crash_facts, crash_tally, merged, quarantine};
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
/// Period within which crashes belong to one moment. They may have one cause and are not independent evidence.
const MOMENT: Duration = Duration::from_millis(500);
/// Age at which crashes and proofs are forgotten. A quarantine ends by this.
const MEMORY: Duration = Duration::from_secs(600);
/// Upper bound of the number of crashes kept.
const MAX_CRASHES: usize = 32;
/// Upper bound of the number of suspected segments kept for each crash.
const MAX_SUSPECTS: usize = 16;
/// Number of segments of one request that are considered.
const MAX_SEGMENTS: usize = 32;
/// Length up to which identifiers of segments are told apart, in bytes.
const MAX_SEGMENT_BYTES: usize = 64;
/// Upper bound of the encoded length of the facts told at once, so that those about segments and those about requests
/// fit into one datagram.
const MAX_FACTS_BYTES: usize = 12 << 10;
/// Upper bound of the number of segments whose last proof is kept.
const MAX_PROVED: usize = 4_096;

/// A segment and when it was last proved sound.
type Proof = (Arc<str>, time::Time);

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
    /// Proofs that this instance has seen, sorted by segment; at most [`MAX_PROVED`].
    own_proofs: Vec<Proof>,
    /// Proofs that others have seen, sorted by segment; only of suspected segments.
    told_proofs: Vec<Proof>,
    /// Endpoints whose crashes something else explains, sorted.
    explained: Vec<Arc<str>>,
    /// Sorted by suspect.
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
            own_proofs: Vec::new(),
            told_proofs: Vec::new(),
            explained: Vec::new(),
            quarantined: Vec::new(),
            suspicions: Vec::new(),
        }
    }

    /// Records that an answer proved `segments` sound.
    pub fn record_proof(&mut self, segments: &[Arc<str>], now: time::Time) {
        let now = shifted(now);
        for segment in segments {
            if self.own_proofs.len() >= MAX_PROVED {
                discard_older_half(&mut self.own_proofs);
            }
            record_latest(&mut self.own_proofs, segment, now);
        }
        if segments.iter().any(|s| is_suspected(&self.crashes, s)) {
            self.judge(now);
        }
    }

    /// Records that `endpoint` crashed when it had just begun a request with `segments`. Returns whether this is news.
    pub fn record_crash(&mut self, endpoint: &Arc<str>, segments: &[Arc<str>], now: time::Time) -> bool {
        let now = shifted(now);
        let is_news = self.add_crash(endpoint, segments, now);
        self.own_reports += u64::from(is_news);
        self.judge(now);
        is_news
    }

    /// Returns the quarantined segment among `segments`.
    pub fn quarantined(&self, segments: &[Arc<str>]) -> Option<&quarantine::Quarantine> {
        let found = |s: &Arc<str>| self.quarantined.binary_search_by(|q| q.suspect.cmp(s)).ok();
        segments.iter().find_map(found).map(|at| &self.quarantined[at])
    }

    /// Returns how long `quarantine` lasts.
    pub fn remaining(quarantine: &quarantine::Quarantine, now: time::Time) -> Duration {
        quarantine.until.since(shifted(now))
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

    /// Forgets what is too old and judges again. Call this regularly.
    pub fn refresh(&mut self, now: time::Time) {
        let now = shifted(now);
        if self.crashes.is_empty() && self.own_proofs.is_empty() {
            return;
        }
        self.crashes.retain(|c| now.since(c.at) < MEMORY);
        self.own_proofs.retain(|(_, at)| now.since(*at) < MEMORY);
        let crashes = &self.crashes;
        self.told_proofs
            .retain(|(segment, at)| now.since(*at) < MEMORY && is_suspected(crashes, segment));
        self.judge(now);
    }

    /// Returns what to tell other instances, up to [`MAX_FACTS_BYTES`]. Crashes that support a quarantine come first,
    /// then the newest.
    pub fn facts(&self, now: time::Time) -> crash_facts::CrashFacts {
        let now = shifted(now);
        let mut by_weight: Vec<&crash::Crash> = self.crashes.iter().collect();
        by_weight.sort_by_key(|c| std::cmp::Reverse((self.is_explained(c), c.at)));
        let mut facts = crash_facts::CrashFacts::default();
        let mut bytes = 0;
        for crash in by_weight {
            let fact = crash_facts::CrashFact {
                endpoint: Arc::clone(&crash.endpoint),
                age_ms: now.since(crash.at).as_millis() as u64,
                suspects: crash.suspects.clone(),
            };
            let proofs = self.proof_facts(&crash.suspects, now);
            bytes += fact.encoded_len() + proofs.iter().map(crash_facts::ProofFact::encoded_len).sum::<usize>();
            if bytes > MAX_FACTS_BYTES {
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
            let at = find(&self.own_proofs, segment)?;
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
        let sender_lacks = self.crashes.iter().any(|c| !c.is_covered_by(facts, now, elapsed));
        let mut learned = false;
        for crash in &facts.crashes {
            if let Some(at) = time_of(crash.age_ms) {
                learned |= self.add_crash(&crash.endpoint, &crash.suspects, at);
            }
        }
        for proof in facts.proofs.iter().filter(|p| is_suspected(&self.crashes, &p.segment)) {
            if let Some(at) = time_of(proof.age_ms) {
                record_latest(&mut self.told_proofs, &proof.segment, at);
            }
        }
        self.judge(now);
        merged::Merged { learned, sender_lacks }
    }

    /// Adds a crash, or the suspects of a known one. Returns whether anything was added.
    fn add_crash(&mut self, endpoint: &Arc<str>, segments: &[Arc<str>], at: time::Time) -> bool {
        let known = self.crashes.iter().position(|c| c.is_same(endpoint, at));
        let mut is_news = known.is_none();
        let index = known.unwrap_or_else(|| {
            self.make_room();
            self.crashes.push(crash::Crash {
                endpoint: Arc::clone(endpoint),
                at,
                suspects: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        for segment in segments {
            if let Err(at) = crash.suspects.binary_search(segment)
                && crash.suspects.len() < MAX_SUSPECTS
            {
                crash.suspects.insert(at, Arc::clone(segment));
                is_news = true;
            }
        }
        is_news
    }

    /// Drops the oldest crash if there is no room for another, preferably one that supports no quarantine.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let oldest = (0..self.crashes.len()).min_by_key(|&i| (self.is_explained(&self.crashes[i]), self.crashes[i].at));
        if let Some(index) = oldest {
            self.crashes.remove(index);
        }
    }

    /// Returns whether a quarantined suspect explains `crash`.
    fn is_explained(&self, crash: &crash::Crash) -> bool {
        self.quarantined.iter().any(|q| crash.suspects.contains(&q.suspect))
    }

    /// Determines what is quarantined.
    fn judge(&mut self, now: time::Time) {
        let counts = |c: &&crash::Crash| now.since(c.at) < MEMORY && self.explained.binary_search(&c.endpoint).is_err();
        let mut unexplained: Vec<&crash::Crash> = self.crashes.iter().filter(counts).collect();
        unexplained.sort_unstable_by_key(|c| c.at);
        let mut quarantined = Vec::new();
        loop {
            let tallies = self.tallies(&unexplained);
            let is_guilty = |t: &&crash_tally::Tally| self.last_decisive(t).is_some();
            // A segment that was never proved sound goes before one that was.
            let rank = |t: &crash_tally::Tally| (self.last_proof(&t.segment).is_none(), t.blamed_at.len());
            let Some(worst) = tallies.iter().filter(is_guilty).map(rank).max() else {
                self.suspicions = tallies.into_iter().map(|t| (t.segment, t.moments.len())).collect();
                break;
            };
            let guilty: Vec<&crash_tally::Tally> =
                tallies.iter().filter(is_guilty).filter(|t| rank(t) == worst).collect();
            unexplained.retain(|c| !guilty.iter().any(|t| c.suspects.contains(&t.segment)));
            quarantined.extend(guilty.into_iter().map(|t| quarantine::Quarantine {
                suspect: Arc::clone(&t.segment),
                crashes: t.crashes,
                until: self.last_decisive(t).unwrap_or_default() + MEMORY,
            }));
        }
        quarantined.sort_by(|a, b| a.suspect.cmp(&b.suspect));
        self.quarantined = quarantined;
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
            let is_suspect = |s: &&Arc<str>| self.last_proof(s).is_none_or(|at| at < crash.at);
            for segment in crash.suspects.iter().filter(is_suspect) {
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

    fn last_proof(&self, segment: &Arc<str>) -> Option<time::Time> {
        find(&self.own_proofs, segment).max(find(&self.told_proofs, segment))
    }
}

/// Returns `now` on a clock that was at [`MEMORY`] at the origin, so that events from before the origin have a time.
fn shifted(now: time::Time) -> time::Time {
    now + MEMORY
}

fn is_suspected(crashes: &[crash::Crash], segment: &Arc<str>) -> bool {
    crashes.iter().any(|c| c.suspects.binary_search(segment).is_ok())
}

fn find(proofs: &[Proof], segment: &Arc<str>) -> Option<time::Time> {
    let at = proofs.binary_search_by(|(s, _)| s.cmp(segment)).ok()?;
    Some(proofs[at].1)
}

fn record_latest(proofs: &mut Vec<Proof>, segment: &Arc<str>, at: time::Time) {
    match proofs.binary_search_by(|(s, _)| s.cmp(segment)) {
        Ok(index) => proofs[index].1 = proofs[index].1.max(at),
        Err(index) => proofs.insert(index, (Arc::clone(segment), at)),
    }
}

fn discard_older_half(proofs: &mut Vec<Proof>) {
    let mut times: Vec<time::Time> = proofs.iter().map(|(_, at)| *at).collect();
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    let median = *median;
    proofs.retain(|(_, at)| *at > median);
}
