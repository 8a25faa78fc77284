//! Days in virtual time on which requests with one segment, or one content, crash every endpoint that runs them.
//!
//! Instances decide by the same record as gateways. The endpoints of a service stand alone or step together as a group, and
//! requests may all share their first segment.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::direct::crash_evidence::{has_survived, is_proof};
use sycamorestile_core::direct::crash_record::{Admission, CrashRecord, Suspect, Suspects};
use sycamorestile_core::direct::owner::Owner;
use sycamorestile_core::direct::trials::Instances;
use sycamorestile_core::time::Time;

const INSTANCES: usize = 8;
/// Time between two requests of any kind.
const REQUEST_INTERVAL_MS: u64 = 15;
/// One of so many requests has the crashing segment.
const CRASHING_SHARE: u32 = 25;
/// One of so many sound streams has a segment that is as new as the prompt that crashes endpoints, and in it.
const NEW_SEGMENT_SHARE: u32 = 200;
/// Segments that requests draw from, in which sound and crashing requests don't differ.
const SEGMENTS: usize = 180;
/// Time from the beginning of a response to a crash.
const CRASH_DELAY_MS: u64 = 100;
/// Time for which a crashed endpoint is down.
const DOWN_MS: u64 = 4_500;
/// Time from a request to the first event of its response, and from one event to the next.
const EVENT_MS: u64 = 60;
/// Time for which a group that has lost an endpoint stands still before it ends its responses.
const STALL_MS: u64 = 1_500;
/// Time from the return of an endpoint until its group opens.
const FORM_MS: u64 = 600;
/// When the first request with the crashing segment arrives.
const FIRST_CRASHING_MS: u64 = 6_000;
const END_MS: u64 = 60_000;
/// Time within which knowledge must spread.
const BOUND_MS: u64 = 3_000;
/// Interval between two rounds of datagrams.
const ROUND_MS: u64 = 200;
/// Number of peers that each round reaches.
const FANOUT: usize = 3;
/// Share of datagrams that get lost.
const LOSS: f64 = 0.05;

/// What crashes endpoints on a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A segment of the prompts of streams.
    Segment,
    /// The content of a request of a plain service.
    Request,
    /// The whole prompt of a stream, whose segments are sound.
    Prompt,
}

impl Cause {
    fn endpoints(self) -> usize {
        match self {
            Self::Segment | Self::Prompt => 24,
            Self::Request => 3,
        }
    }

    /// Returns the time that a sound response takes.
    fn response_ms(self) -> u64 {
        match self {
            Self::Segment | Self::Prompt => 1_600,
            Self::Request => 40,
        }
    }

    /// Returns the number of crashes after which knowledge must have spread within the bound.
    fn tolerated_crashes(self) -> usize {
        match self {
            Self::Segment => 5,
            Self::Request | Self::Prompt => 3,
        }
    }
}

/// How instances learn from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// They don't.
    None,
    /// By datagrams.
    Datagrams,
}

/// What instances do wrong on a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// They don't take a response for a proof that a group ended when it lost another endpoint.
    IgnoresSurvivals,
    /// They test no quarantine.
    TestsNothing,
    /// They neither take survivals for proofs nor test anything.
    ConvictsForGood,
}

impl Fault {
    fn ignores_survivals(self) -> bool {
        matches!(self, Self::IgnoresSurvivals | Self::ConvictsForGood)
    }

    fn tests_nothing(self) -> bool {
        matches!(self, Self::TestsNothing | Self::ConvictsForGood)
    }
}

/// A day.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    pub cause: Cause,
    pub exchange: Exchange,
    /// Interval at which endpoints crash for another reason.
    pub other_crashes_ms: u64,
    /// Whether the endpoints step together.
    pub is_group: bool,
    /// Whether all requests have the same first segment.
    pub shares_first: bool,
    /// Number of instances that restart when the first crashing request arrives.
    pub restarted: usize,
    pub fault: Fault,
}

impl Plan {
    /// Returns a day on which endpoints stand alone, segments are drawn for each request and no instance restarts.
    pub fn new(seed: u64, cause: Cause, other_crashes_ms: u64) -> Self {
        Self {
            seed,
            cause,
            exchange: Exchange::Datagrams,
            other_crashes_ms,
            is_group: false,
            shares_first: false,
            restarted: 0,
            fault: Fault::None,
        }
    }
}

/// What happened on a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of crashes by the segment.
    pub crashes: usize,
    /// Crashing requests that reached endpoints after the bound, sent by undisturbed instances.
    pub late_crashing_requests: usize,
    /// Sound requests that arrived at undisturbed instances after twice the bound.
    pub sound_sent: usize,
    /// How many of these were refused because of a quarantine.
    pub sound_refused: usize,
    /// How many of these had the new segment.
    pub new_segment_refused: usize,
}

fn new_segment() -> Arc<str> {
    Arc::from("new")
}

struct Running {
    instance: usize,
    segments: Vec<Arc<str>>,
    content: Arc<str>,
    began_ms: u64,
    is_crashing: bool,
    is_repeat: bool,
    /// The suspect that the request tests.
    trial: Option<Arc<str>>,
}

impl Running {
    fn suspects(&self) -> Suspects<'_> {
        Suspects {
            segments: &self.segments,
            content: &self.content,
            owner: Owner::default(),
        }
    }
}

#[derive(Default)]
struct Endpoint {
    running: Vec<Running>,
    down_until_ms: u64,
    incarnation: u32,
}

/// A disturbance of one instance.
struct Disturbance {
    instance: usize,
    from_ms: u64,
    to_ms: u64,
    loses_state: bool,
}

struct Day {
    rng: ChaCha8Rng,
    plan: Plan,
    names: Vec<Arc<str>>,
    instances: Vec<CrashRecord>,
    /// When each instance started last.
    started_ms: [u64; INSTANCES],
    endpoints: Vec<Endpoint>,
    /// When the group ends the responses that stand still, and when it opens again.
    group_break: Option<(u64, u64)>,
    disturbances: Vec<Disturbance>,
    /// Times of the crashes by the segment.
    crash_times: Vec<u64>,
    outcome: Outcome,
}

/// Plays a day.
pub fn play(plan: Plan) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let disturbances = (0..3)
        .map(|n| {
            let from_ms = rng.random_range(4_000..20_000);
            Disturbance {
                instance: rng.random_range(0..INSTANCES),
                from_ms,
                to_ms: from_ms + rng.random_range(500..5_000),
                loses_state: n == 0,
            }
        })
        .collect();
    let mut day = Day {
        rng,
        plan,
        names: (0..INSTANCES).map(|n| Arc::from(format!("front-{n}"))).collect(),
        instances: vec![CrashRecord::default(); INSTANCES],
        started_ms: [0; INSTANCES],
        endpoints: (0..plan.cause.endpoints()).map(|_| Endpoint::default()).collect(),
        group_break: None,
        disturbances,
        crash_times: Vec::new(),
        outcome: Outcome::default(),
    };
    for now_ms in 0..END_MS {
        if now_ms == FIRST_CRASHING_MS {
            day.restart_instances();
        }
        day.end_responses(now_ms);
        day.end_stalled_responses(now_ms);
        if now_ms % ROUND_MS == 0 {
            day.exchange_facts(now_ms);
        }
        if now_ms % REQUEST_INTERVAL_MS == 0 {
            day.send_request(now_ms);
        }
        if now_ms % plan.other_crashes_ms == plan.other_crashes_ms - 1 {
            let endpoint = day.rng.random_range(0..plan.cause.endpoints());
            day.crash(endpoint, now_ms);
        }
    }
    day.outcome.crashes = day.crash_times.len();
    day.outcome
}

impl Day {
    fn is_disturbed(&self, instance: usize, now_ms: u64) -> bool {
        let is_active = |d: &Disturbance| d.instance == instance && (d.from_ms..d.to_ms).contains(&now_ms);
        self.disturbances.iter().any(is_active)
    }

    /// Returns whether the instance has been undisturbed for the time within which knowledge must reach it.
    fn is_in_touch(&self, instance: usize, now_ms: u64) -> bool {
        let is_recent = |d: &Disturbance| d.instance == instance && d.from_ms <= now_ms && now_ms < d.to_ms + BOUND_MS;
        !self.disturbances.iter().any(is_recent)
    }

    /// Restarts instances, which lose what they know and the responses that they forward.
    fn restart_instances(&mut self) {
        for instance in 0..self.plan.restarted {
            self.instances[instance] = CrashRecord::default();
            self.started_ms[instance] = FIRST_CRASHING_MS;
        }
        for endpoint in &mut self.endpoints {
            endpoint.running.retain(|r| r.instance >= self.plan.restarted);
        }
    }

    fn draw_segment(&mut self) -> Arc<str> {
        // Small numbers are more frequent.
        let fraction: f64 = self.rng.random();
        Arc::from(format!("s-{}", (fraction * fraction * SEGMENTS as f64) as usize))
    }

    fn send_request(&mut self, now_ms: u64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let is_crashing = now_ms >= FIRST_CRASHING_MS && self.rng.random_ratio(1, CRASHING_SHARE);
        let (segments, content) = self.draw_suspects(is_crashing, now_ms);
        if self.is_disturbed(instance, now_ms) {
            return;
        }
        let running = Running {
            instance,
            segments,
            content,
            began_ms: now_ms,
            is_crashing,
            is_repeat: false,
            trial: None,
        };
        let admitted = self.admit(running, now_ms);
        let decisive = self.crash_times.get(self.plan.cause.tolerated_crashes() - 1);
        let decisive_or_last = decisive.or(self.crash_times.last()).copied();
        let is_after = |bound: u64| decisive_or_last.is_some_and(|at| now_ms > at + bound);
        if !is_crashing && is_after(2 * BOUND_MS) && self.is_in_touch(instance, now_ms) {
            self.outcome.sound_sent += 1;
            self.outcome.sound_refused += usize::from(admitted.is_err());
            let is_new = admitted.as_ref().is_err_and(|r| r.segments.contains(&new_segment()));
            self.outcome.new_segment_refused += usize::from(is_new);
        }
        if let Ok(running) = admitted {
            self.start_response(running);
        }
    }

    /// Has the request's instance decide whether it is sent. Returns it as an error if it is refused.
    fn admit(&mut self, running: Running, now_ms: u64) -> Result<Running, Running> {
        let instance = running.instance;
        let record = &mut self.instances[instance];
        let others = self.names.iter().enumerate().filter(|(n, _)| *n != instance);
        let peers: Vec<Arc<str>> = others.map(|(_, name)| Arc::clone(name)).collect();
        let instances = Instances {
            own: &self.names[instance],
            peers: &peers,
            started: Time::from_millis(self.started_ms[instance]),
        };
        match record.admit(&running.suspects(), &instances, Time::from_millis(now_ms)) {
            Admission::Admitted => Ok(running),
            Admission::Trial(tested) if self.plan.fault.tests_nothing() => {
                record.end_trial(&tested);
                Err(running)
            }
            Admission::Trial(tested) => Ok(Running {
                trial: Some(tested),
                ..running
            }),
            Admission::Refused { .. } => Err(running),
        }
    }

    /// Has the instance of a request know that it has ended.
    fn end_request(&mut self, running: &Running) {
        if let Some(tested) = &running.trial {
            self.instances[running.instance].end_trial(tested);
        }
    }

    /// Draws the segments and the content of a request.
    fn draw_suspects(&mut self, is_crashing: bool, now_ms: u64) -> (Vec<Arc<str>>, Arc<str>) {
        let bad = || Arc::from("bad");
        let once = Arc::from(format!("once-{now_ms}"));
        let first = self.plan.shares_first.then(|| Arc::from("first"));
        let is_new = now_ms >= FIRST_CRASHING_MS && self.rng.random_ratio(1, NEW_SEGMENT_SHARE);
        let (drawn, content): (Vec<Arc<str>>, Arc<str>) = match self.plan.cause {
            Cause::Request if is_crashing => (Vec::new(), bad()),
            // Some requests are asked again and again, others once.
            Cause::Request if self.rng.random_ratio(1, 2) => (Vec::new(), once),
            Cause::Request => (Vec::new(), self.draw_segment()),
            Cause::Prompt if is_crashing => (vec![Arc::from("s-3"), new_segment()], bad()),
            Cause::Prompt if is_new => (vec![self.draw_segment(), new_segment()], once),
            Cause::Prompt => (vec![self.draw_segment(), self.draw_segment()], once),
            Cause::Segment => {
                let mut segments = vec![self.draw_segment()];
                if is_crashing {
                    let place = self.rng.random_range(0..=1);
                    segments.insert(place, bad());
                }
                (segments, once)
            }
        };
        (first.into_iter().chain(drawn).collect(), content)
    }

    /// Sends a request to an endpoint that is up and whose group is open. Otherwise, it is refused there.
    fn start_response(&mut self, running: Running) {
        let (instance, now_ms) = (running.instance, running.began_ms);
        let is_open = self.group_break.is_none_or(|(_, open_ms)| open_ms <= now_ms);
        let up: Vec<usize> = (0..self.plan.cause.endpoints())
            .filter(|&e| is_open && self.endpoints[e].down_until_ms <= now_ms)
            .collect();
        let Some(&endpoint) = up.choose(&mut self.rng) else {
            self.end_request(&running);
            return;
        };
        let decisive = self.crash_times.get(self.plan.cause.tolerated_crashes() - 1);
        let is_late = decisive.is_some_and(|at| now_ms > at + BOUND_MS);
        if running.is_crashing && is_late && self.is_in_touch(instance, now_ms) {
            self.outcome.late_crashing_requests += 1;
        }
        self.endpoints[endpoint].running.push(running);
    }

    fn end_responses(&mut self, now_ms: u64) {
        let now = Time::from_millis(now_ms);
        if self.group_break.is_some_and(|(_, open_ms)| now_ms < open_ms) {
            return;
        }
        for index in 0..self.plan.cause.endpoints() {
            let is_due = |r: &Running| r.is_crashing && now_ms >= r.began_ms + CRASH_DELAY_MS;
            if self.endpoints[index].running.iter().any(is_due) {
                self.crash_times.push(now_ms);
                self.crash(index, now_ms);
            }
            let response_ms = self.plan.cause.response_ms();
            let is_complete = |r: &mut Running| !r.is_crashing && now_ms >= r.began_ms + response_ms;
            let complete: Vec<Running> = self.endpoints[index].running.extract_if(.., is_complete).collect();
            for response in complete {
                self.instances[response.instance].record_proof(&response.suspects(), now);
                self.end_request(&response);
            }
        }
    }

    /// Ends the responses of a group that has stood still for long enough.
    fn end_stalled_responses(&mut self, now_ms: u64) {
        let Some((end_ms, _)) = self.group_break.filter(|(end_ms, _)| *end_ms == now_ms) else {
            return;
        };
        let stalled: Vec<Running> = self.endpoints.iter_mut().flat_map(|e| e.running.drain(..)).collect();
        for response in stalled {
            let events = (end_ms - STALL_MS - response.began_ms) / EVENT_MS;
            let held_for = Duration::from_millis((now_ms - response.began_ms).saturating_sub(EVENT_MS));
            let is_seen = !self.is_disturbed(response.instance, now_ms);
            if is_seen && !self.plan.fault.ignores_survivals() && has_survived(events as usize, held_for) {
                self.instances[response.instance].record_proof(&response.suspects(), Time::from_millis(now_ms));
            }
            self.end_request(&response);
        }
    }

    fn crash(&mut self, index: usize, now_ms: u64) {
        let endpoint = &mut self.endpoints[index];
        let id: Arc<str> = Arc::from(format!("m-{index}-{}", endpoint.incarnation));
        endpoint.incarnation += 1;
        endpoint.down_until_ms = now_ms + DOWN_MS;
        let broken = std::mem::take(&mut endpoint.running);
        if self.plan.is_group {
            let end_ms = self
                .group_break
                .filter(|(_, open_ms)| now_ms < *open_ms)
                .map_or(now_ms + STALL_MS, |(end_ms, _)| end_ms);
            self.group_break = Some((end_ms, now_ms + DOWN_MS + FORM_MS));
        }
        for response in broken {
            let instance = response.instance;
            self.end_request(&response);
            let written_for = match self.plan.cause {
                Cause::Segment | Cause::Prompt => Duration::from_millis(now_ms - response.began_ms),
                Cause::Request => Duration::ZERO,
            };
            if is_proof(written_for, false) || self.is_disturbed(instance, now_ms) {
                continue;
            }
            let now = Time::from_millis(now_ms);
            let record = &mut self.instances[instance];
            record.record_crash(&id, &response.suspects(), now);
            if !response.is_repeat && response.trial.is_none() && record.allows_repeat(&response.suspects()) {
                self.start_response(Running {
                    began_ms: now_ms,
                    is_repeat: true,
                    ..response
                });
            }
        }
    }

    fn exchange_facts(&mut self, now_ms: u64) {
        let now = Time::from_millis(now_ms);
        for instance in 0..INSTANCES {
            self.instances[instance].refresh(now);
        }
        for disturbance in &self.disturbances {
            if disturbance.loses_state && (disturbance.from_ms..disturbance.to_ms).contains(&now_ms) {
                self.instances[disturbance.instance] = CrashRecord::default();
            }
        }
        if self.plan.exchange == Exchange::None {
            return;
        }
        for sender in 0..INSTANCES {
            let facts = Suspect::ALL.map(|suspect| (suspect, self.instances[sender].facts(suspect, now)));
            for _ in 0..FANOUT {
                let receiver = self.rng.random_range(0..INSTANCES);
                let is_lost = self.rng.random_bool(LOSS)
                    || self.is_disturbed(sender, now_ms)
                    || self.is_disturbed(receiver, now_ms);
                if receiver != sender && !is_lost {
                    for (suspect, facts) in &facts {
                        self.instances[receiver].merge(*suspect, facts, Duration::ZERO, now);
                    }
                }
            }
        }
    }
}
