//! An entry's choices for its callers.
//!
//! Joins limits, routing, retries and prefix memory behind one value that traffic threads share. It holds only what
//! this entry has seen itself; members and declarations come in with each question.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::claim;
use crate::config::endpoint;
use crate::config::state;
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

/// Prefixes that an entry remembers.
const PREFIX_CAPACITY: usize = 16_384;
/// Share of a new observation in an endpoint's own speed, as a divisor.
const SMOOTHING_DIVISOR: u64 = 8;
/// Slowness above which an endpoint is looked at as impaired, in hundredths of its peers' median.
const IMPAIRED_SLOWNESS_PERCENT: u32 = 300;
/// Time after which one call is sent to an impaired endpoint to see whether it has recovered.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What this entry has seen of an endpoint.
#[derive(Debug, Clone)]
struct EndpointStats {
    endpoint: name::Name,
    /// Calls sent and not yet ended.
    outstanding: u32,
    /// When calls were sent that no load report shows yet, oldest first; no more than `outstanding`.
    unreported: VecDeque<time::Time>,
    /// Smoothed time to the first frame of an answer, in microseconds; zero before any.
    first_frame_us: u64,
    /// Last call sent.
    last_sent: time::Time,
    /// Load that the agent's answers carried last.
    load: load::Load,
    /// When that load came; [`time::Time::ZERO`] before any.
    load_received: time::Time,
}

/// What a call needs of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct RouteRequest {
    /// The service.
    pub service: Option<name::Name>,
    /// Endpoints that were tried before.
    pub excluded: Vec<name::Name>,
    /// Only endpoints with this feature.
    pub feature: Option<endpoint::Feature>,
    /// Prefixes of the prompt.
    pub prompt: prefix_memory::PrefixHashes,
    /// The claim of a keyed call; calls with one key meet at one endpoint.
    pub claim: Option<claim::ClaimKey>,
}

/// Choices of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    failure_domain: name::Name,
    /// Sorted by endpoint.
    endpoint_stats: Vec<EndpointStats>,
    /// Entries that send to the same endpoints, this one included; at least 1.
    entries: u32,
    /// Limits of organisations.
    pub limiter: limits::Limiter,
    /// Retries left.
    pub budget: retry_budget::RetryBudget,
    prefixes: prefix_memory::PrefixMemory,
    cost_model: router::GroupCostModel,
}

impl Dispatcher {
    /// The choices of an entry in `failure_domain`.
    pub fn new(failure_domain: name::Name) -> Self {
        Self {
            failure_domain,
            endpoint_stats: Vec::new(),
            entries: 1,
            limiter: limits::Limiter::default(),
            budget: retry_budget::RetryBudget::default(),
            prefixes: prefix_memory::PrefixMemory::new(PREFIX_CAPACITY),
            cost_model: router::GroupCostModel::default(),
        }
    }

    /// Changes how groups are looked at; for measurements.
    #[must_use]
    pub fn with_cost_model(mut self, cost_model: router::GroupCostModel) -> Self {
        self.cost_model = cost_model;
        self
    }

    /// Tells how many entries share the failure domain's endpoints and limits.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
        self.limiter.set_entries(entries);
    }

    /// Takes one call of `organisation` from its limit.
    ///
    /// # Errors
    ///
    /// A refusal that names when to come back.
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
        self.limiter.take(organisation, limit, now).map_err(|wait| {
            let detail = format!("{organisation} may make {} calls a second", declared.calls_per_second);
            problem::Problem::new(problem::ProblemKind::LimitExceeded, detail).with_retry_after(wait)
        })
    }

    /// Chooses an endpoint.
    ///
    /// # Errors
    ///
    /// A refusal when no endpoint will do.
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
                member.standing(now),
                membership::Standing::Live | membership::Standing::Suspect
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
                .filter(|s| s.load_received > member.heard)
                .map_or(member.view.load, |s| s.load),
            unreported_calls: stats.map_or(0, |s| s.unreported.len() as u32) * self.entries,
            local: endpoint.failure_domain == self.failure_domain,
            suspect: member.standing(now) == membership::Standing::Suspect,
            slowness,
            cached_blocks: self.prefixes.matched_blocks(&request.prompt, &endpoint.name) as u32,
        })
    }

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

    /// Usual time to the first frame among endpoints of one service.
    fn median_first_frame_us(&self, peers: &[&membership::Member]) -> u64 {
        let stats = peers.iter().filter_map(|m| self.stats(&m.view.endpoint));
        let mut first_frames_us: Vec<u64> = stats.map(|s| s.first_frame_us).filter(|us| *us > 0).collect();
        first_frames_us.sort_unstable();
        first_frames_us.get(first_frames_us.len() / 2).copied().unwrap_or(0)
    }

    /// Notes that a call was sent.
    pub fn record_sent(&mut self, endpoint: &name::Name, prompt: &prefix_memory::PrefixHashes, now: time::Time) {
        let stats = self.stats_mut(endpoint);
        stats.outstanding += 1;
        stats.unreported.push_back(now);
        stats.last_sent = now;
        self.prefixes.record(prompt, endpoint);
    }

    /// Notes the time to the first frame of an answer.
    pub fn record_first_frame(&mut self, endpoint: &name::Name, span: Duration) {
        let stats = self.stats_mut(endpoint);
        let new = span.as_micros() as u64;
        stats.first_frame_us = if stats.first_frame_us == 0 {
            new
        } else {
            stats.first_frame_us - stats.first_frame_us / SMOOTHING_DIVISOR + new / SMOOTHING_DIVISOR
        };
    }

    /// Notes that a call ended or was given up.
    pub fn record_ended(&mut self, endpoint: &name::Name) {
        let stats = self.stats_mut(endpoint);
        stats.outstanding = stats.outstanding.saturating_sub(1);
        while stats.unreported.len() > stats.outstanding as usize {
            stats.unreported.pop_front();
        }
    }

    /// Notes the load that an answer carried, which is fresher than the agent's last heartbeat.
    pub fn record_load(&mut self, endpoint: &name::Name, load: load::Load, now: time::Time) {
        let stats = self.stats_mut(endpoint);
        stats.load = load;
        stats.load_received = now;
        stats.unreported.clear();
    }

    /// Notes that a load report came, which shows all that was sent before `made`.
    pub fn record_report(&mut self, endpoint: &name::Name, made: time::Time) {
        let unreported = &mut self.stats_mut(endpoint).unreported;
        while unreported.front().is_some_and(|sent| *sent < made) {
            unreported.pop_front();
        }
    }

    /// Forgets what the cache of a replaced endpoint held.
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
    fn slowness(&self, median_us: u64) -> u32 {
        if median_us == 0 || self.first_frame_us == 0 {
            return 100;
        }
        let hundredths = self.first_frame_us * 100 / median_us;
        u32::try_from(hundredths.clamp(100, 100_000)).unwrap_or(100)
    }
}

fn no_endpoint() -> problem::Problem {
    problem::Problem::new(
        problem::ProblemKind::NoEndpoint,
        "no endpoint of the service is in reach",
    )
}

/// The endpoint where calls with one key meet, so that a repeated key is settled by one agent's memory where possible.
fn claim_endpoint(candidates: &[router::Candidate], key: &claim::ClaimKey) -> Option<name::Name> {
    let row = key.row_key();
    let responsive: Vec<&name::Name> = candidates.iter().filter(|c| !c.suspect).map(|c| &c.endpoint).collect();
    let all: Vec<&name::Name> = candidates.iter().map(|c| &c.endpoint).collect();
    let pool = if responsive.is_empty() { all } else { responsive };
    rendezvous::choose(row.as_bytes(), pool, 1)
        .first()
        .map(|name| (*name).clone())
}
