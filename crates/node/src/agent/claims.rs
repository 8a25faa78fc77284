//! Claims of one agent, written in groups by one thread.
//!
//! The thread has at most one write under way. A write whose answer was lost is settled by reading: rows that name this
//! agent's attempts are held, whatever the lost answer said.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use sha2::{Digest, Sha256};
use slog::{Logger, warn};
use sycamorestile_core::attempt_id;
use sycamorestile_core::claim;
use sycamorestile_core::claim_batch;
use sycamorestile_core::time;
use sycamorestile_platform::client;
use sycamorestile_platform::commit;
use sycamorestile_platform::error;
use sycamorestile_platform::row;
use sycamorestile_wire::attempt_request;
use tokio::sync::oneshot;

use crate::clock;
use crate::error::StartError;
use crate::metrics;

/// Jobs that may wait for the thread.
const QUEUE: usize = 4_096;
/// Longest pause between two looks at the batch.
const TICK: Duration = Duration::from_millis(4);
/// Longest pause while nothing waits to be written.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Time for which a claim is tried before the call is refused.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1_500);
/// Version of a row that does not exist.
const ABSENT: u64 = 0;
/// Pause between two looks whether a table that is out answers again.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failed write.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// A claim that an attempt wants.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) key: claim::ClaimKey,
    pub(crate) digest: Box<str>,
    pub(crate) owner: claim::Owner,
    pub(crate) disproved: Option<attempt_id::AttemptId>,
}

/// What became of a wanted claim.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The attempt may call the endpoint; its row has this version.
    Granted(u64),
    /// The call was answered before.
    Answered(claim::StoredResponse),
    /// Another attempt holds the claim.
    OwnedBy(claim::Owner),
    /// The key was used with another body.
    Reused,
    /// The table did not take the claim; the attempt must not call the endpoint.
    Unavailable,
}

/// Digest that tells whether two calls with one key are the same call.
pub(crate) fn digest(req: &attempt_request::AttemptRequest) -> Box<str> {
    let mut hash = Sha256::new();
    for part in [req.method.as_bytes(), req.target.as_bytes(), &req.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let mut text = String::new();
    for byte in hash.finalize() {
        // Writing to a string can't fail.
        let _written = write!(text, "{byte:02x}");
    }
    text.into()
}

/// A row that wants to be written.
#[derive(Debug)]
struct Job {
    claim: Claim,
    aim: Aim,
    /// Version that the row must have; zero for absent.
    version: u64,
    /// When the job was handed in.
    since: time::Time,
}

/// What a job wants of its row.
#[derive(Debug)]
enum Aim {
    /// Hold it.
    Hold(oneshot::Sender<Claimed>),
    /// Store the answer in it.
    Answer(claim::StoredResponse),
    /// Give it up.
    Release,
}

/// Handle to the claims thread.
#[derive(Debug)]
pub(crate) struct Claims {
    tx: Sender<Job>,
    clock: clock::Clock,
    /// Jobs handed in and not yet settled.
    open: Arc<AtomicUsize>,
    /// The table did not answer the last call.
    out: Arc<AtomicBool>,
}

impl Claims {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// [`StartError::Thread`] when the thread can't be started.
    pub(crate) fn start(
        client: client::Client,
        clock: clock::Clock,
        metrics: Arc<metrics::Metrics>,
        log: &Logger,
    ) -> Result<Self, StartError> {
        let (tx, rx) = channel::bounded(QUEUE);
        let open = Arc::new(AtomicUsize::new(0));
        let out = Arc::new(AtomicBool::new(false));
        let settler = Settler {
            client,
            clock,
            metrics,
            log: log.clone(),
            open: Arc::clone(&open),
            out: Arc::clone(&out),
            batch: claim_batch::ClaimBatch::default(),
        };
        let thread = thread::Builder::new().name("claims".to_owned());
        let spawned = thread.spawn(move || settler.run(&rx));
        spawned.map_err(|source| StartError::Thread { what: "claims", source })?;
        Ok(Self { tx, clock, open, out })
    }

    /// Wants a claim and waits until it is settled. While the table is known to be out the answer comes at once.
    pub(crate) async fn claim(&self, claim: Claim) -> Claimed {
        if self.out.load(Ordering::Acquire) {
            return Claimed::Unavailable;
        }
        let (reply, settled) = oneshot::channel();
        if !self.hand_in(claim, ABSENT, Aim::Hold(reply)) {
            return Claimed::Unavailable;
        }
        settled.await.unwrap_or(Claimed::Unavailable)
    }

    /// Stores the answer of a held claim; keeps trying for as long as the process lives.
    pub(crate) fn answered(&self, claim: Claim, version: u64, answer: claim::StoredResponse) {
        self.hand_in(claim, version, Aim::Answer(answer));
    }

    /// Gives up a held claim whose call never began.
    pub(crate) fn release(&self, claim: Claim, version: u64) {
        self.hand_in(claim, version, Aim::Release);
    }

    /// Whether nothing waits to be written.
    pub(crate) fn is_idle(&self) -> bool {
        self.open.load(Ordering::Acquire) == 0
    }

    fn hand_in(&self, claim: Claim, version: u64, aim: Aim) -> bool {
        self.open.fetch_add(1, Ordering::AcqRel);
        let job = Job {
            claim,
            aim,
            version,
            since: self.clock.now(),
        };
        let taken = self.tx.try_send(job).is_ok();
        if !taken {
            self.open.fetch_sub(1, Ordering::AcqRel);
        }
        taken
    }
}

struct Settler {
    client: client::Client,
    clock: clock::Clock,
    metrics: Arc<metrics::Metrics>,
    log: Logger,
    open: Arc<AtomicUsize>,
    out: Arc<AtomicBool>,
    batch: claim_batch::ClaimBatch<Job>,
}

impl Settler {
    fn run(mut self, rx: &Receiver<Job>) {
        loop {
            let pause = self.pause();
            match rx.recv_timeout(pause) {
                Ok(job) => self.batch.push(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for job in rx.try_iter() {
                self.batch.push(job);
            }
            match self.batch.take_due(self.clock.now()) {
                Some(jobs) => self.write(jobs),
                None if self.out.load(Ordering::Acquire) => self.probe(),
                None => {}
            }
        }
    }

    fn pause(&self) -> Duration {
        if self.out.load(Ordering::Acquire) {
            PROBE_INTERVAL
        } else if self.batch.is_idle() {
            IDLE_TICK
        } else {
            TICK
        }
    }

    /// Looks whether the table answers again.
    fn probe(&self) {
        let answered = self.client.read(&row::ReadRequest::default()).is_ok();
        self.out.store(!answered, Ordering::Release);
    }

    fn write(&mut self, jobs: Vec<Job>) {
        // One transaction can't write a row twice; the later job waits for the next one.
        let (jobs, later) = split_repeated(jobs);
        for job in later {
            self.batch.push(job);
        }
        let result = transaction(&jobs).and_then(|request| self.client.commit(&request));
        self.metrics.table_writes.inc();
        self.batch.finish_write(self.clock.now(), result.is_err());
        if result.is_ok() {
            self.out.store(false, Ordering::Release);
        }
        match result {
            Ok(commit::CommitReply::Committed(version)) => {
                for job in jobs {
                    self.settle(job, Claimed::Granted(version));
                }
            }
            Ok(commit::CommitReply::Conflicts { keys, rows }) => self.reread(jobs, &keys, &rows),
            Err(error) => self.failed(jobs, &error),
        }
    }

    /// Some conditions failed, so nothing was written: judge those rows and write the others again.
    fn reread(&mut self, jobs: Vec<Job>, keys: &[String], rows: &[row::Row]) {
        for job in jobs {
            let row_key = job.claim.key.row_key();
            if keys.contains(&row_key) {
                let row = rows.iter().find(|row| row.key == row_key);
                self.judge(job, row);
            } else {
                self.batch.push(job);
            }
        }
    }

    /// The write failed, perhaps after it took effect: read the rows to see.
    fn failed(&mut self, jobs: Vec<Job>, error: &error::PlatformError) {
        warn!(self.log, "claims not written"; "rows" => jobs.len(), "doubtful" => error.is_outcome_unknown(), "error" => %error);
        thread::sleep(FAILURE_PAUSE);
        let keys = jobs.iter().map(|job| job.claim.key.row_key()).collect();
        let read = self.client.read(&row::ReadRequest {
            keys,
            ..row::ReadRequest::default()
        });
        self.out.store(read.is_err(), Ordering::Release);
        match read {
            Ok(reply) => {
                for job in jobs {
                    let row_key = job.claim.key.row_key();
                    let row = reply.rows.iter().find(|row| row.key == row_key);
                    self.judge(job, row);
                }
            }
            Err(_) => {
                for job in jobs {
                    self.retry_or_give_up(job);
                }
            }
        }
    }

    fn retry_or_give_up(&mut self, mut job: Job) {
        let waited = self.clock.now().since(job.since);
        if waited >= CLAIM_PATIENCE && matches!(job.aim, Aim::Hold(_)) {
            // The write may have taken effect all the same. The attempt never calls the endpoint now, so its row is
            // released as soon as the table answers again.
            if let Aim::Hold(reply) = std::mem::replace(&mut job.aim, Aim::Release) {
                tell(reply, Claimed::Unavailable);
            }
        }
        self.batch.push(job);
    }

    /// Decides what a row that was read means for a job.
    fn judge(&mut self, mut job: Job, row: Option<&row::Row>) {
        let version = row.map_or(ABSENT, |row| row.version);
        let parsed: Option<claim::ClaimRow> = row.and_then(|row| serde_json::from_value(row.value.clone()).ok());
        if row.is_some() && parsed.is_none() {
            warn!(self.log, "claim row can't be read"; "key" => job.claim.key.row_key());
            return self.settle(job, Claimed::Unavailable);
        }
        job.version = version;
        if matches!(job.aim, Aim::Hold(_)) {
            return self.judge_hold(job, parsed.as_ref());
        }
        let mine = parsed.is_some_and(|row| row.owner == job.claim.owner && row.progress == claim::ClaimState::Open);
        if mine {
            self.batch.push(job);
        } else {
            self.settle(job, Claimed::Unavailable);
        }
    }

    fn judge_hold(&mut self, job: Job, row: Option<&claim::ClaimRow>) {
        let wanted = claim::ClaimRequest {
            digest: &job.claim.digest,
            owner: &job.claim.owner,
            disproved: job.claim.disproved,
        };
        match claim::decide(row, &wanted) {
            claim::ClaimDecision::Free | claim::ClaimDecision::TakeOver => self.retry_or_give_up(job),
            claim::ClaimDecision::Held => {
                let version = job.version;
                self.settle(job, Claimed::Granted(version));
            }
            claim::ClaimDecision::Answered(answer) => self.settle(job, Claimed::Answered(answer)),
            claim::ClaimDecision::OwnedBy(owner) => self.settle(job, Claimed::OwnedBy(owner)),
            claim::ClaimDecision::Reused => self.settle(job, Claimed::Reused),
        }
    }

    fn settle(&self, job: Job, claimed: Claimed) {
        self.open.fetch_sub(1, Ordering::AcqRel);
        if let Aim::Hold(reply) = job.aim {
            tell(reply, claimed);
        }
    }
}

fn tell(reply: oneshot::Sender<Claimed>, claimed: Claimed) {
    // The attempt's task may be gone; a granted claim then stays open, and its attempt is on record as begun.
    let _told = reply.send(claimed);
}

fn split_repeated(jobs: Vec<Job>) -> (Vec<Job>, Vec<Job>) {
    let mut seen: Vec<claim::ClaimKey> = Vec::with_capacity(jobs.len());
    let mut later = Vec::new();
    let mut now = Vec::with_capacity(jobs.len());
    for job in jobs {
        match seen.binary_search(&job.claim.key) {
            Ok(_) => later.push(job),
            Err(at) => {
                seen.insert(at, job.claim.key.clone());
                now.push(job);
            }
        }
    }
    (now, later)
}

fn transaction(jobs: &[Job]) -> Result<commit::CommitRequest, error::PlatformError> {
    let mut request = commit::CommitRequest::default();
    for job in jobs {
        let key = job.claim.key.row_key();
        request.conditions.push(commit::Condition {
            key: key.clone(),
            version: job.version,
        });
        request.writes.push(commit::Write {
            key,
            value: Some(serde_json::to_value(row_of(job)).map_err(error::PlatformError::EncodeValue)?),
        });
    }
    Ok(request)
}

fn row_of(job: &Job) -> claim::ClaimRow {
    let progress = match &job.aim {
        Aim::Hold(_) => claim::ClaimState::Open,
        Aim::Answer(answer) => claim::ClaimState::Answered(answer.clone()),
        Aim::Release => claim::ClaimState::Released,
    };
    claim::ClaimRow {
        digest: job.claim.digest.clone(),
        owner: job.claim.owner.clone(),
        progress,
    }
}
