//! Days in virtual time on which endpoints leave, pause and name rate limits while gateways restart, freeze and are cut off
//! from the table. What endpoints get is judged by the rules' own arithmetic.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::endpoint::{Endpoint, EndpointState};
use sycamorestile_core::direct::placement::Placement;
use sycamorestile_core::direct::restrictions::Restrictions;
use sycamorestile_core::direct::withdrawals::Notice;
use sycamorestile_core::time::Time;

const END_MS: u64 = 40_000;
const GATEWAYS: usize = 4;
const ENDPOINTS: usize = 6;
const REQUESTS_PER_SECOND: f64 = 250.0;
const MAX_ATTEMPTS: u32 = 3;
/// Time after the notice of a leaving endpoint from which it may get no request.
const DRAIN_MS: u64 = 2_000;
/// Time after the notice of a pause from which requests count.
const PAUSE_TOLERANCE_MS: u64 = 500;
/// Number of requests that may reach an endpoint in the rest of its pause.
const TOLERATED_IN_PAUSE: usize = 2;

/// A fault that is planted to show that the days find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    LeavingReadFromSuccessesOnly,
    PauseOutlivesItsProcess,
    PauseBeginsWhenTheRequestIsSent,
}

/// What happened on a day.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Requests that reached an endpoint after it had said to their gateway that it leaves.
    pub sent_while_leaving: usize,
    /// Pauses in which an endpoint got more requests from the gateway that it asked than it tolerates.
    pub sent_in_pauses: usize,
    /// Requests for which an endpoint was open when they came.
    pub servable: usize,
    /// How many of these succeeded.
    pub served: usize,
    /// The longest time for which an open endpoint got no request.
    pub longest_unused_ms: u64,
}

type Span = (u64, u64);

fn contains(span: Span, ms: u64) -> bool {
    (span.0..span.1).contains(&ms)
}

/// One process of an endpoint.
struct Process {
    endpoint: Arc<Endpoint>,
    /// From its start to its end.
    life: Span,
    /// When the table lists it as ready.
    listed: Span,
    leaves_ms: u64,
    /// When it asks for a pause until the end of the span.
    busy: Span,
    /// When it takes few requests per second.
    limited: Span,
    last_used_ms: u64,
}

impl Process {
    fn new(id: &str, start_ms: u64, is_last: bool, rng: &mut ChaCha8Rng) -> Self {
        let life = if is_last {
            (start_ms, 2 * END_MS)
        } else {
            (start_ms, start_ms + rng.random_range(9_000..20_000))
        };
        let leaves_ms = life.1.saturating_sub(rng.random_range(2_500..7_000)).max(start_ms);
        let listed_to = (leaves_ms + rng.random_range(0..3_000)).min(life.1);
        let span = |rng: &mut ChaCha8Rng| {
            let from = rng.random_range(start_ms + 500..start_ms + 20_000);
            (from, from + rng.random_range(1_000..8_000))
        };
        Self {
            endpoint: Arc::new(Endpoint {
                id: Arc::from(id),
                started_at_ms: Some(start_ms),
                service: Arc::from("model"),
                addr: ([127, 0, 0, 1], 1).into(),
                failure_domain: Arc::from("a"),
                slots: 50,
                slowness_percent: 100,
                state: EndpointState::Ready,
            }),
            life,
            listed: (start_ms + 100, listed_to),
            leaves_ms,
            busy: span(rng),
            limited: if rng.random_bool(0.2) { span(rng) } else { (0, 0) },
            last_used_ms: start_ms,
        }
    }

    /// Returns whether the process takes requests from everybody.
    fn is_open(&self, ms: u64) -> bool {
        contains(self.life, ms) && ms < self.leaves_ms && !contains(self.busy, ms) && !contains(self.limited, ms)
    }
}

struct Gateway {
    restrictions: Restrictions,
    placement: Placement,
    /// Age of its view of the table.
    lag_ms: u64,
    frozen: Vec<Span>,
    /// When it can't read the table.
    cut: Vec<Span>,
    restarts: Vec<u64>,
    /// Number of restarts so far. Responses to an earlier process are lost.
    generation: usize,
    /// What the processes of endpoints have told this process, by index.
    told: BTreeMap<usize, Told>,
}

#[derive(Default)]
struct Told {
    /// When the gateway passed on that the endpoint leaves.
    leaving_ms: Option<u64>,
    /// Pauses, and the requests that arrived in each after the tolerance.
    pauses: Vec<(Span, usize)>,
}

impl Gateway {
    fn new(rng: &mut ChaCha8Rng) -> Self {
        let mut spans = |count, longest_ms| -> Vec<Span> {
            let span = |_| {
                let from = rng.random_range(0..END_MS);
                (from, from + rng.random_range(500..longest_ms))
            };
            (0..count).map(span).collect()
        };
        Self {
            frozen: spans(2, 3_000),
            cut: spans(2, 9_000),
            restarts: (0..2).map(|_| rng.random_range(0..END_MS)).collect(),
            lag_ms: rng.random_range(200..1_500),
            restrictions: Restrictions::new(Arc::from("gateway")),
            placement: Placement::default(),
            generation: 0,
            told: BTreeMap::new(),
        }
    }

    fn is_frozen(&self, ms: u64) -> bool {
        self.frozen.iter().any(|span| contains(*span, ms))
    }

    /// Returns the indices of the processes that it reads in the table.
    fn view(&self, processes: &[Process], ms: u64) -> Vec<usize> {
        let cut = self.cut.iter().filter(|span| contains(**span, ms));
        let read_ms = cut.map(|span| span.0).min().unwrap_or(ms).saturating_sub(self.lag_ms);
        let listed = processes.iter().enumerate();
        listed
            .filter(|(_, p)| contains(p.listed, read_ms.max(101)))
            .map(|(n, _)| n)
            .collect()
    }
}

/// One attempt of a request.
struct Attempt {
    gateway: usize,
    generation: usize,
    process: usize,
    requested_ms: u64,
    sent_ms: u64,
    tried: Vec<Arc<str>>,
    is_servable: bool,
}

enum Event {
    Arrives(Attempt),
    Answers(Attempt, Answer),
}

#[derive(Clone, Copy)]
enum Answer {
    Lost,
    Success(Notice, Option<f64>),
    Refused(Notice),
}

struct Day {
    fault: Option<Fault>,
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    gateways: Vec<Gateway>,
    events: BTreeMap<u64, Vec<Event>>,
    verdict: Verdict,
}

/// Plays the day of `seed`, with `fault` planted in how gateways handle notices.
pub fn play(seed: u64, fault: Option<Fault>) -> Verdict {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut processes = Vec::new();
    for n in 0..ENDPOINTS {
        let mut start_ms = 0;
        while start_ms < END_MS {
            // The last endpoint never leaves. Half of the others keep their identifiers.
            let id = if n % 2 == 0 {
                format!("m-{n}")
            } else {
                format!("m-{n}-{start_ms}")
            };
            let process = Process::new(&id, start_ms, n + 1 == ENDPOINTS, &mut rng);
            start_ms = process.life.1 + 300;
            processes.push(process);
        }
    }
    let gateways = (0..GATEWAYS).map(|_| Gateway::new(&mut rng)).collect();
    let mut day = Day {
        fault,
        rng,
        processes,
        gateways,
        events: BTreeMap::new(),
        verdict: Verdict::default(),
    };
    for ms in 0..END_MS {
        day.step(ms);
    }
    let judged = day.gateways.iter().flat_map(|g| g.told.values());
    let remaining = judged.map(broken_pauses).sum::<usize>();
    day.verdict.sent_in_pauses += remaining;
    day.verdict
}

fn broken_pauses(told: &Told) -> usize {
    told.pauses
        .iter()
        .filter(|(_, arrived)| *arrived > TOLERATED_IN_PAUSE)
        .count()
}

impl Day {
    fn step(&mut self, ms: u64) {
        for gateway in &mut self.gateways {
            let is_excused = gateway.restarts.contains(&ms) || gateway.frozen.iter().any(|span| span.0 == ms);
            if is_excused {
                self.verdict.sent_in_pauses += gateway.told.values().map(broken_pauses).sum::<usize>();
                gateway.told.clear();
            }
            if gateway.restarts.contains(&ms) {
                gateway.restrictions = Restrictions::new(Arc::from("gateway"));
                gateway.placement = Placement::default();
                gateway.generation += 1;
            }
            if ms.is_multiple_of(500) {
                let listed: Vec<usize> = gateway.view(&self.processes, ms);
                let is_listed = |id: &str| listed.iter().any(|n| self.processes[*n].endpoint.id.as_ref() == id);
                gateway
                    .restrictions
                    .withdrawals
                    .refresh(is_listed, Time::from_millis(ms));
            }
        }
        for event in self.events.remove(&ms).unwrap_or_default() {
            match event {
                Event::Arrives(attempt) => self.arrive(attempt, ms),
                Event::Answers(attempt, answer) => self.answer(attempt, answer, ms),
            }
        }
        if self.rng.random_bool(REQUESTS_PER_SECOND / 1_000.0) {
            let gateway = self.rng.random_range(0..GATEWAYS);
            if !self.gateways[gateway].is_frozen(ms) {
                self.send(gateway, ms, ms, Vec::new(), None);
            }
        }
        for process in &mut self.processes {
            if process.is_open(ms) {
                let unused_ms = ms - process.last_used_ms;
                self.verdict.longest_unused_ms = self.verdict.longest_unused_ms.max(unused_ms);
            } else {
                process.last_used_ms = ms;
            }
        }
    }

    fn send(&mut self, gateway: usize, requested_ms: u64, ms: u64, tried: Vec<Arc<str>>, is_servable: Option<bool>) {
        let now = Time::from_millis(ms);
        let view = self.gateways[gateway].view(&self.processes, ms);
        let is_servable = is_servable.unwrap_or_else(|| {
            let is_servable = view.iter().any(|n| self.processes[*n].is_open(ms));
            self.verdict.servable += usize::from(is_servable);
            is_servable
        });
        let endpoints: Vec<Arc<Endpoint>> = view.iter().map(|n| self.seen(*n)).collect();
        let state = &mut self.gateways[gateway];
        let allowed = state.restrictions.allowed(&endpoints, now);
        let chance = self.rng.random();
        let Some(chosen) = state.placement.choose(&allowed, &tried, "a", chance, now) else {
            return;
        };
        let process = view[endpoints.iter().position(|e| e == chosen).expect("it was offered")];
        state.restrictions.rate_limits.spend(&chosen.id, now);
        let attempt = Attempt {
            gateway,
            generation: state.generation,
            process,
            requested_ms,
            sent_ms: ms,
            tried: tried.into_iter().chain([Arc::clone(&chosen.id)]).collect(),
            is_servable,
        };
        let arrives_ms = ms + self.rng.random_range(1..4);
        self.events.entry(arrives_ms).or_default().push(Event::Arrives(attempt));
    }

    /// Returns the endpoint as gateways see it.
    fn seen(&self, process: usize) -> Arc<Endpoint> {
        let endpoint = &self.processes[process].endpoint;
        if self.fault == Some(Fault::PauseOutlivesItsProcess) {
            Arc::new(Endpoint {
                started_at_ms: None,
                ..endpoint.as_ref().clone()
            })
        } else {
            Arc::clone(endpoint)
        }
    }

    fn arrive(&mut self, attempt: Attempt, ms: u64) {
        let process = &mut self.processes[attempt.process];
        let notice_of_leaving = Notice {
            is_leaving: ms >= process.leaves_ms,
            pause: None,
        };
        let mut took_ms = self.rng.random_range(5..80);
        let answer = if !contains(process.life, ms) {
            Answer::Lost
        } else if contains(process.busy, ms) {
            // An endpoint in need takes its time to refuse.
            took_ms = self.rng.random_range(5..700);
            let answered_ms = ms + took_ms;
            Answer::Refused(Notice {
                pause: Some(Duration::from_millis(process.busy.1.saturating_sub(answered_ms))),
                ..notice_of_leaving
            })
        } else if notice_of_leaving.is_leaving && self.rng.random_bool(0.5) {
            Answer::Refused(notice_of_leaving)
        } else {
            Answer::Success(notice_of_leaving, contains(process.limited, ms).then_some(3.0))
        };
        process.last_used_ms = ms;
        let gateway = &mut self.gateways[attempt.gateway];
        if attempt.generation == gateway.generation
            && let Some(told) = gateway.told.get_mut(&attempt.process)
        {
            let is_late = told.leaving_ms.is_some_and(|at| attempt.requested_ms > at + DRAIN_MS);
            self.verdict.sent_while_leaving += usize::from(is_late);
            for (span, arrived) in &mut told.pauses {
                *arrived += usize::from(contains((span.0 + PAUSE_TOLERANCE_MS, span.1), ms));
            }
        }
        self.events
            .entry(ms + took_ms)
            .or_default()
            .push(Event::Answers(attempt, answer));
    }

    fn answer(&mut self, attempt: Attempt, answer: Answer, ms: u64) {
        let now = Time::from_millis(ms);
        let endpoint = self.seen(attempt.process);
        let gateway = &mut self.gateways[attempt.gateway];
        if attempt.generation != gateway.generation {
            return;
        }
        if gateway.is_frozen(ms) {
            self.events
                .entry(ms + 1)
                .or_default()
                .push(Event::Answers(attempt, answer));
            return;
        }
        let notice = match answer {
            Answer::Lost => Notice::default(),
            Answer::Success(notice, _) | Answer::Refused(notice) => notice,
        };
        let told = gateway.told.entry(attempt.process).or_default();
        if notice.is_leaving {
            told.leaving_ms = told.leaving_ms.or(Some(ms));
        }
        if let Some(pause) = notice.pause {
            told.pauses.push(((ms, ms + pause.as_millis() as u64), 0));
        }
        let is_read = self.fault != Some(Fault::LeavingReadFromSuccessesOnly)
            || matches!(answer, Answer::Success(..))
            || !notice.is_leaving;
        if is_read {
            let from = match self.fault {
                Some(Fault::PauseBeginsWhenTheRequestIsSent) => Time::from_millis(attempt.sent_ms),
                _ => now,
            };
            gateway.restrictions.withdrawals.record(&endpoint, notice, from);
        }
        match answer {
            Answer::Success(_, limit) => {
                gateway.restrictions.rate_limits.record(&endpoint.id, limit, now);
                gateway.placement.record_success(&endpoint.id, None, now);
                self.verdict.served += usize::from(attempt.is_servable);
            }
            Answer::Refused(_) | Answer::Lost => {
                match answer {
                    Answer::Lost => gateway.placement.record_failure(&endpoint.id, now),
                    _ if !notice.is_withdrawal() => gateway.placement.record_refusal(&endpoint.id, now),
                    _ => {}
                }
                if (attempt.tried.len() as u32) < MAX_ATTEMPTS {
                    let is_servable = Some(attempt.is_servable);
                    self.send(attempt.gateway, attempt.requested_ms, ms, attempt.tried, is_servable);
                }
            }
        }
    }
}
