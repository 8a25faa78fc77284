//! Admission and routing of the calls at one entry.
//!
//! The [`Dispatcher`] combines rate limits, routing, the retry budget and the prefix memory in one value that the
//! entry's worker threads share. It stores only what this entry has observed itself; the membership and the
//! configuration are passed to each method that needs them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::claim;
use crate::config::endpoint;
use crate::config::state;
use crate::direct::crash_evidence;
use crate::limits;
use crate::load;
use crate::membership;
use crate::name;
use crate::prefix_memory;
use crate::problem;
use crate::rendezvous;
use crate::retry_budget;
use crate::router;
use crate::time;

/// Maximum number of prompt prefixes that an entry remembers.
const PREFIX_CAPACITY: usize = 16_384;
/// Divisor for the smoothed time to the first frame: a new sample has the weight `1 / SMOOTHING_DIVISOR`.
const SMOOTHING_DIVISOR: u64 = 8;
/// Slowness from which an endpoint counts as impaired: its time to the first frame in percent of its peers' median.
const IMPAIRED_SLOWNESS_PERCENT: u32 = 300;
/// Time after the last call to an impaired endpoint at which a call is sent to check whether it has recovered.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What this entry has observed of an endpoint.
#[derive(Debug, Clone)]
struct EndpointStats {
    endpoint: name::Name,
    /// Number of calls that were sent and have not ended.
    outstanding: u32,
    /// Send times of the calls that no load report includes yet, oldest first; at most `outstanding` of them.
    unreported: VecDeque<time::Time>,
    /// Smoothed time to the first frame of a response, in microseconds; zero before the first sample.
    first_frame_us: u64,
    /// When the last call was sent.
    last_sent: time::Time,
    /// Load in the last frame from the endpoint's agent.
    load: load::Load,
    /// When `load` was received; [`time::Time::ZERO`] if it never was.
    load_received: time::Time,
}

/// Requirements of a call on its endpoint.
#[derive(Debug, Clone, Default)]
pub struct RouteRequest {
    /// Name of the called service.
    pub service: Option<name::Name>,
    /// Endpoints that must not be chosen, because an earlier attempt of the call went to them.
    pub excluded: Vec<name::Name>,
    /// Feature that the endpoint has to have.
    pub feature: Option<endpoint::Feature>,
    /// Hashes of the prompt's prefixes.
    pub prompt: prefix_memory::PrefixHashes,
    /// Claim of a call with an idempotency key. All calls with one claim are routed to the same endpoint, if possible.
    pub claim: Option<claim::ClaimKey>,
}

/// Admission and routing state of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    failure_domain: name::Name,
    /// Sorted by endpoint.
    endpoint_stats: Vec<EndpointStats>,
    /// Number of entries that send calls to the same endpoints, including this one; at least 1.
    entries: u32,
    /// Rate limits of the organisations.
    pub limiter: limits::Limiter,
    /// Budget for retries.
    pub budget: retry_budget::RetryBudget,
    /// Crashes of endpoints, and the contents of calls that are quarantined for them.
    pub crashes: crash_evidence::CrashEvidence,
    prefixes: prefix_memory::PrefixMemory,
    cost_model: router::GroupCostModel,
}

impl Dispatcher {
    /// Creates the state of an entry in `failure_domain`.
    pub fn new(failure_domain: name::Name) -> Self {
        Self {
            failure_domain,
            endpoint_stats: Vec::new(),
            entries: 1,
            limiter: limits::Limiter::default(),
            budget: retry_budget::RetryBudget::default(),
            crashes: crash_evidence::CrashEvidence::of_requests(),
            prefixes: prefix_memory::PrefixMemory::new(PREFIX_CAPACITY),
            cost_model: router::GroupCostModel::default(),
        }
    }

    /// Sets the cost model for groups. Tests use this to compare the models.
    #[must_use]
    pub fn with_cost_model(mut self, cost_model: router::GroupCostModel) -> Self {
        self.cost_model = cost_model;
        self
    }

    /// Sets the number of entries that share the failure domain's endpoints and limits.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
        self.limiter.set_entries(entries);
    }

    /// Admits one call of `organisation` under its rate limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time to wait before a retry if the organisation exceeds its limit.
    pub fn admit(
        &mut self,
        organisation: &name::Name,
        config: &state::ConfigState,
        now: time::Time,
    ) -> Result<(), problem::Problem> {
        let Some(declared) = config.organisation(organisation) else {
            return Ok(());
        };
        let limit = limits::Limit {
            calls_per_second: declared.calls_per_second,
            burst: declared.burst,
        };
        self.limiter.try_acquire(organisation, limit, now).map_err(|wait| {
            let detail = format!(
                "{organisation} is limited to {} calls per second",
                declared.calls_per_second
            );
            problem::Problem::new(problem::ProblemKind::LimitExceeded, detail).with_retry_after(wait)
        })
    }

    /// Checks that no calls with the content `identifier` have crashed endpoints.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time until the quarantine ends if they have.
    pub fn check_quarantine(&mut self, identifier: &Arc<str>, now: time::Time) -> Result<(), problem::Problem> {
        let identifiers = std::slice::from_ref(identifier);
        if self.crashes.quarantined(identifiers).is_some() {
            self.crashes.refresh(now);
        }
        let Some(quarantine) = self.crashes.quarantined(identifiers) else {
            return Ok(());
        };
        let detail = format!("{} endpoints crashed on request {identifier}", quarantine.crashes);
        let remaining = crash_evidence::CrashEvidence::remaining(quarantine, now);
        Err(problem::Problem::new(problem::ProblemKind::RequestQuarantined, detail).with_retry_after(remaining))
    }

    /// Chooses an endpoint for a call.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no endpoint meets the requirements.
    pub fn route<R>(
        &self,
        request: &RouteRequest,
        config: &state::ConfigState,
        members: &membership::Membership,
        now: time::Time,
        rng: &mut R,
    ) -> Result<name::Name, problem::Problem>
    where
        R: Rng,
    {
        let candidates = self.candidates(request, config, members, now);
        if let Some(key) = &request.claim {
            return claim_endpoint(&candidates, key).ok_or_else(no_endpoint);
        }
        if let Some(probe) = self.probe_candidate(&candidates, now) {
            return Ok(probe);
        }
        let prompt_size = router::PromptSize {
            blocks: request.prompt.blocks() as u32,
        };
        let index = router::choose(&candidates, prompt_size, self.cost_model, rng).ok_or_else(no_endpoint)?;
        Ok(candidates[index].endpoint.clone())
    }

    fn candidates(
        &self,
        request: &RouteRequest,
        config: &state::ConfigState,
        members: &membership::Membership,
        now: time::Time,
    ) -> Vec<router::Candidate> {
        let is_eligible = |member: &&membership::Member| {
            let Some(endpoint) = config.endpoint(&member.view.endpoint) else {
                return false;
            };
            let is_live = matches!(
                member.liveness(now),
                membership::Liveness::Live | membership::Liveness::Suspect
            );
            let serves = request.service.as_ref() == Some(&endpoint.service);
            let has_feature = request.feature.is_none_or(|f| endpoint.has(f));
            is_live && serves && has_feature && !request.excluded.contains(&endpoint.name)
        };
        let eligible: Vec<&membership::Member> = members.members().iter().filter(is_eligible).collect();
        let median_us = self.median_first_frame_us(&eligible);
        eligible
            .into_iter()
            .filter_map(|m| self.candidate(m, request, config, median_us, now))
            .collect()
    }

    fn candidate(
        &self,
        member: &membership::Member,
        request: &RouteRequest,
        config: &state::ConfigState,
        median_us: u64,
        now: time::Time,
    ) -> Option<router::Candidate> {
        let endpoint = config.endpoint(&member.view.endpoint)?;
        let stats = self.stats(&endpoint.name);
        let slowness = stats.map_or(100, |s| s.slowness(median_us));
        Some(router::Candidate {
            endpoint: endpoint.name.clone(),
            group: endpoint.rank_of.as_ref().map(|p| p.group.clone()),
            load: stats
                .filter(|s| s.load_received > member.last_heard)
                .map_or(member.view.load, |s| s.load),
            unreported_calls: stats.map_or(0, |s| s.unreported.len() as u32) * self.entries,
            local: endpoint.failure_domain == self.failure_domain,
            suspect: member.liveness(now) == membership::Liveness::Suspect,
            slowness,
            cached_blocks: self.prefixes.matched_blocks(&request.prompt, &endpoint.name) as u32,
        })
    }

    /// Returns an impaired endpoint that is due for a check whether it has recovered.
    fn probe_candidate(&self, candidates: &[router::Candidate], now: time::Time) -> Option<name::Name> {
        let impaired = candidates
            .iter()
            .filter(|c| c.slowness >= IMPAIRED_SLOWNESS_PERCENT && !c.suspect);
        let due = |c: &&router::Candidate| {
            let stats = self.stats(&c.endpoint);
            stats.is_some_and(|s| s.outstanding == 0 && now.since(s.last_sent) >= PROBE_INTERVAL)
        };
        impaired.clone().find(due).map(|c| c.endpoint.clone())
    }

    /// Returns the median time to the first frame among `peers`, which all serve one service; zero before any sample.
    fn median_first_frame_us(&self, peers: &[&membership::Member]) -> u64 {
        let stats = peers.iter().filter_map(|m| self.stats(&m.view.endpoint));
        let mut first_frames_us: Vec<u64> = stats.map(|s| s.first_frame_us).filter(|us| *us > 0).collect();
        first_frames_us.sort_unstable();
        first_frames_us.get(first_frames_us.len() / 2).copied().unwrap_or(0)
    }

    /// Records that a call was sent to `endpoint`.
    pub fn record_sent(&mut self, endpoint: &name::Name, prompt: &prefix_memory::PrefixHashes, now: time::Time) {
        let stats = self.stats_mut(endpoint);
        stats.outstanding += 1;
        stats.unreported.push_back(now);
        stats.last_sent = now;
        self.prefixes.record(prompt, endpoint);
    }

    /// Records the time from sending a call to the first frame of its response.
    pub fn record_first_frame(&mut self, endpoint: &name::Name, span: Duration) {
        let stats = self.stats_mut(endpoint);
        let new = span.as_micros() as u64;
        stats.first_frame_us = if stats.first_frame_us == 0 {
            new
        } else {
            stats.first_frame_us - stats.first_frame_us / SMOOTHING_DIVISOR + new / SMOOTHING_DIVISOR
        };
    }

    /// Records that a call to `endpoint` ended or was abandoned.
    pub fn record_ended(&mut self, endpoint: &name::Name) {
        let stats = self.stats_mut(endpoint);
        stats.outstanding = stats.outstanding.saturating_sub(1);
        while stats.unreported.len() > stats.outstanding as usize {
            stats.unreported.pop_front();
        }
    }

    /// Records the load in a frame from the endpoint's agent, which may be newer than the agent's last heartbeat.
    pub fn record_load(&mut self, endpoint: &name::Name, load: load::Load, now: time::Time) {
        let stats = self.stats_mut(endpoint);
        stats.load = load;
        stats.load_received = now;
        stats.unreported.clear();
    }

    /// Records that a load report was received that includes all calls sent before `made`.
    pub fn record_report(&mut self, endpoint: &name::Name, made: time::Time) {
        let unreported = &mut self.stats_mut(endpoint).unreported;
        while unreported.front().is_some_and(|sent| *sent < made) {
            unreported.pop_front();
        }
    }

    /// Discards what was observed of an endpoint that was replaced: its cached prefixes and its speed.
    pub fn reset_endpoint(&mut self, endpoint: &name::Name) {
        self.prefixes.remove_endpoint(endpoint);
        self.stats_mut(endpoint).first_frame_us = 0;
    }

    fn stats(&self, endpoint: &name::Name) -> Option<&EndpointStats> {
        let index = self
            .endpoint_stats
            .binary_search_by(|s| s.endpoint.cmp(endpoint))
            .ok()?;
        Some(&self.endpoint_stats[index])
    }

    fn stats_mut(&mut self, endpoint: &name::Name) -> &mut EndpointStats {
        let index = match self.endpoint_stats.binary_search_by(|s| s.endpoint.cmp(endpoint)) {
            Ok(index) => index,
            Err(index) => {
                let stats = EndpointStats {
                    endpoint: endpoint.clone(),
                    outstanding: 0,
                    unreported: VecDeque::new(),
                    first_frame_us: 0,
                    last_sent: time::Time::ZERO,
                    load: load::Load::default(),
                    load_received: time::Time::ZERO,
                };
                self.endpoint_stats.insert(index, stats);
                index
            }
        };
        &mut self.endpoint_stats[index]
    }
}

impl EndpointStats {
    /// Returns the time to the first frame in percent of the median, at least 100.
    fn slowness(&self, median_us: u64) -> u32 {
        if median_us == 0 || self.first_frame_us == 0 {
            return 100;
        }
        let percent = self.first_frame_us * 100 / median_us;
        u32::try_from(percent.clamp(100, 100_000)).unwrap_or(100)
    }
}

fn no_endpoint() -> problem::Problem {
    problem::Problem::new(
        problem::ProblemKind::NoEndpoint,
        "no endpoint of the service is available",
    )
}

/// Chooses the endpoint for all calls with `key` by rendezvous hashing, so that one agent usually sees every call with
/// the key and can resolve repeated ones from its own records.
fn claim_endpoint(candidates: &[router::Candidate], key: &claim::ClaimKey) -> Option<name::Name> {
    let row = key.row_key();
    let responsive: Vec<&name::Name> = candidates.iter().filter(|c| !c.suspect).map(|c| &c.endpoint).collect();
    let all: Vec<&name::Name> = candidates.iter().map(|c| &c.endpoint).collect();
    let pool = if responsive.is_empty() { all } else { responsive };
    rendezvous::choose(row.as_bytes(), pool, 1)
        .first()
        .map(|name| (*name).clone())
}
