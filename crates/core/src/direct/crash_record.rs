//! Evidence of crashes against all that may be to blame for them: shared segments of prompts, and the contents of single
//! requests.
//!
//! A crash is held against both. Where a quarantined segment explains it, it isn't held against the requests that were at
//! the endpoint. Crashes under one content that comes again are held against its segments once: the content explains them
//! as well, and is the smaller thing to refuse.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::{crash_evidence, crash_facts, merged, owner, quarantine, segment_list, trials};
use crate::time;

/// What a crash is blamed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspect {
    /// A shared segment of prompts.
    Segment,
    /// The content of a request.
    Request,
}

impl Suspect {
    /// All that a crash may be blamed on.
    pub const ALL: [Self; 2] = [Self::Segment, Self::Request];
}

/// What of one request may be to blame for a crash.
#[derive(Debug, Clone, Copy)]
pub struct Suspects<'a> {
    /// The shared segments of its prompt.
    pub segments: &'a [Arc<str>],
    /// Identifies its content.
    pub content: &'a Arc<str>,
    /// The organisation that sent it.
    pub owner: owner::Owner,
}

impl<'a> Suspects<'a> {
    fn identifiers(&self, suspect: Suspect) -> &'a [Arc<str>] {
        match suspect {
            Suspect::Segment => self.segments,
            Suspect::Request => std::slice::from_ref(self.content),
        }
    }

    /// Returns a copy to keep.
    pub fn to_owned(&self) -> OwnedSuspects {
        OwnedSuspects {
            segments: self.segments.to_vec(),
            content: Arc::clone(self.content),
            owner: self.owner,
        }
    }
}

/// The same, kept after the request.
#[derive(Debug, Clone)]
pub struct OwnedSuspects {
    segments: Vec<Arc<str>>,
    content: Arc<str>,
    owner: owner::Owner,
}

impl OwnedSuspects {
    /// Creates the suspects of a request of `owner` with these segments, in the form in which they are judged.
    pub fn new(segments: &segment_list::SegmentList, content: &Arc<str>, owner: owner::Owner) -> Self {
        let segments = segments.iter().map(Arc::from).collect();
        Self {
            segments: crash_evidence::bounded_segments(segments),
            content: Arc::clone(content),
            owner,
        }
    }

    /// Returns the suspects.
    pub fn as_ref(&self) -> Suspects<'_> {
        Suspects {
            segments: &self.segments,
            content: &self.content,
            owner: self.owner,
        }
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Nothing of it is quarantined.
    Admitted,
    /// It is sent to test this quarantined suspect, until [`CrashRecord::end_trial`].
    Trial(Arc<str>),
    /// It is refused.
    Refused {
        /// What is quarantined.
        suspect: Suspect,
        /// Its quarantine.
        quarantine: quarantine::Quarantine,
        /// When to come back.
        wait: Duration,
    },
}

/// All evidence of crashes that an instance has.
#[derive(Debug, Clone)]
pub struct CrashRecord {
    segments: crash_evidence::CrashEvidence,
    requests: crash_evidence::CrashEvidence,
    /// The suspects that requests of this instance test now.
    trials: Vec<Arc<str>>,
}

impl Default for CrashRecord {
    fn default() -> Self {
        Self {
            segments: crash_evidence::CrashEvidence::default(),
            requests: crash_evidence::CrashEvidence::of_requests(),
            trials: Vec::new(),
        }
    }
}

impl CrashRecord {
    /// Returns the evidence against `suspect`.
    pub fn evidence(&self, suspect: Suspect) -> &crash_evidence::CrashEvidence {
        match suspect {
            Suspect::Segment => &self.segments,
            Suspect::Request => &self.requests,
        }
    }

    /// Records that `endpoint` crashed when it had just begun a request with `suspects`. Returns whether this is news.
    pub fn record_crash(&mut self, endpoint: &Arc<str>, suspects: &Suspects<'_>, now: time::Time) -> bool {
        let mut is_news = false;
        // Requests first, so that a content that comes again isn't held against segments.
        for suspect in [Suspect::Request, Suspect::Segment] {
            let identifiers = suspects.identifiers(suspect);
            if !identifiers.is_empty() {
                is_news |= self.change(suspect, now, |evidence| {
                    evidence.record_crash(endpoint, identifiers, suspects.owner, now)
                });
            }
        }
        is_news
    }

    /// Records that an answer proved `suspects` sound.
    pub fn record_proof(&mut self, suspects: &Suspects<'_>, now: time::Time) {
        for suspect in Suspect::ALL {
            let identifiers = suspects.identifiers(suspect);
            if !identifiers.is_empty() {
                self.change(suspect, now, |evidence| evidence.record_proof(identifiers, now));
            }
        }
    }

    /// Returns what a request with `suspects` is quarantined for.
    pub fn quarantined(&self, suspects: &Suspects<'_>) -> Option<(Suspect, &quarantine::Quarantine)> {
        Suspect::ALL.into_iter().find_map(|suspect| {
            let quarantine = self.evidence(suspect).quarantined(suspects.identifiers(suspect))?;
            Some((suspect, quarantine))
        })
    }

    /// Returns whether others may have told one of `suspects` in folded form, so that [`Self::unfold`] changes what is known.
    pub fn may_unfold(&self, suspects: &Suspects<'_>) -> bool {
        self.segments.may_unfold(suspects.segments)
    }

    /// Names those of `suspects` that others may have told in folded form, and judges them.
    pub fn unfold(&mut self, suspects: &Suspects<'_>, now: time::Time) {
        if self.may_unfold(suspects) {
            let (segments, owner) = (suspects.segments, suspects.owner);
            self.change(Suspect::Segment, now, |evidence| evidence.unfold(segments, owner, now));
        }
    }

    /// Decides whether a request with `suspects` is sent, and whether that is a trial.
    pub fn admit(&mut self, suspects: &Suspects<'_>, instances: &trials::Instances<'_>, now: time::Time) -> Admission {
        self.unfold(suspects, now);
        let Some((suspect, quarantine)) = self.quarantined(suspects) else {
            return Admission::Admitted;
        };
        let terms = self.trial_terms(suspects);
        let clock = crash_evidence::shifted(now);
        let since = terms
            .iter()
            .map(|(_, t)| t.since(instances))
            .max()
            .filter(|since| *since <= clock);
        let tested = terms.first().zip(since).filter(|((tested, _), since)| {
            let is_tested = self.trials.contains(tested);
            !is_tested && instances.has_turn(tested, *since, clock)
        });
        if let Some(((tested, _), _)) = tested {
            let tested = Arc::clone(tested);
            self.trials.push(Arc::clone(&tested));
            return Admission::Trial(tested);
        }
        let remaining = crash_evidence::CrashEvidence::remaining(quarantine, now);
        let waits = terms.iter().filter_map(|(_, t)| t.wait(clock));
        Admission::Refused {
            suspect,
            quarantine: quarantine.clone(),
            wait: waits.max().unwrap_or(remaining),
        }
    }

    /// Returns what a request with `suspects` would test, and on which terms; nothing if it may test nothing.
    fn trial_terms(&self, suspects: &Suspects<'_>) -> Vec<(Arc<str>, trials::Terms)> {
        let terms_of = |suspect| {
            let identifiers = suspects.identifiers(suspect);
            let mut sorted = identifiers.to_vec();
            sorted.sort_unstable();
            let mut allowed: Option<trials::Terms> = None;
            let quarantines = self.evidence(suspect).quarantined_among(identifiers);
            let terms = quarantines.map(|q| {
                let terms = q.terms.clone()?;
                // Partners are as many as the segments of a prompt, and share their terms.
                let is_known = allowed.as_ref().is_some_and(|known| terms.are_shared_with(known));
                if !is_known && !terms.allow(&sorted) {
                    return None;
                }
                allowed = Some(terms.clone());
                Some((Arc::clone(&q.suspect), terms))
            });
            terms.collect::<Option<Vec<_>>>()
        };
        let by_suspect = Suspect::ALL.map(terms_of);
        let [Some(segments), Some(requests)] = by_suspect else {
            return Vec::new();
        };
        let is_suspicious = !requests.is_empty() && self.requests.is_suspicious(suspects.owner);
        let terms = [segments, requests].concat();
        let is_test_of_one = terms.len() == 1 || terms.iter().all(|(_, t)| t.has_partners());
        if is_suspicious || !is_test_of_one {
            Vec::new()
        } else {
            terms
        }
    }

    /// Ends the trial of `suspect` by a request of this instance.
    pub fn end_trial(&mut self, suspect: &Arc<str>) {
        self.trials.retain(|t| t != suspect);
    }

    /// Returns whether a request with `suspects`, whose endpoint has crashed, may be sent to another one. One without
    /// suspected segments is sent once more, which shows whether it is to blame, unless those of its organisation crash
    /// many endpoints.
    pub fn allows_repeat(&self, suspects: &Suspects<'_>) -> bool {
        self.segments.allows_repeat(suspects.segments)
            && self
                .requests
                .quarantined(suspects.identifiers(Suspect::Request))
                .is_none()
            && !self.requests.is_suspicious(suspects.owner)
    }

    /// Forgets what is too old and judges again. Call this regularly.
    pub fn refresh(&mut self, now: time::Time) {
        for suspect in Suspect::ALL {
            self.change(suspect, now, |evidence| evidence.refresh(now));
        }
    }

    /// Returns what to tell other instances in a datagram of the evidence against `suspect`.
    pub fn facts(&mut self, suspect: Suspect, now: time::Time) -> crash_facts::CrashFacts {
        self.evidence_mut(suspect).facts(now)
    }

    /// Returns what to write to the table of the evidence against `suspect`.
    pub fn facts_for_table(&mut self, suspect: Suspect, now: time::Time) -> crash_facts::CrashFacts {
        self.evidence_mut(suspect).facts_for_table(now)
    }

    /// Merges facts about `suspect` that another instance told `elapsed` ago.
    pub fn merge(
        &mut self,
        suspect: Suspect,
        facts: &crash_facts::CrashFacts,
        elapsed: Duration,
        now: time::Time,
    ) -> merged::Merged {
        self.change(suspect, now, |evidence| evidence.merge(facts, elapsed, now))
    }

    /// Returns how many reports of this instance itself were news to it.
    pub fn own_reports(&self) -> u64 {
        self.segments.own_reports() + self.requests.own_reports()
    }

    fn evidence_mut(&mut self, suspect: Suspect) -> &mut crash_evidence::CrashEvidence {
        match suspect {
            Suspect::Segment => &mut self.segments,
            Suspect::Request => &mut self.requests,
        }
    }

    fn change<F, R>(&mut self, suspect: Suspect, now: time::Time, change: F) -> R
    where
        F: FnOnce(&mut crash_evidence::CrashEvidence) -> R,
    {
        let verdicts = |record: &Self| (record.segments.verdict_count(), record.requests.verdict_count());
        let before = verdicts(self);
        let result = change(self.evidence_mut(suspect));
        if verdicts(self) != before {
            self.segments
                .set_explained(self.requests.endpoints_crashed_again(), now);
            self.requests.set_explained(self.segments.explained_endpoints(), now);
        }
        result
    }
}
