//! Claims of one agent, written to the platform's table in batches by one thread.
//!
//! The thread has at most one write in progress. If the outcome of a write is unknown, the thread reads the rows back:
//! rows that name an attempt of this agent as owner are held, whatever the lost reply said.

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

/// Maximum number of jobs queued for the thread.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum time between two checks whether the batch is due.
const BATCH_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum time between two checks while the batch is empty.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which acquiring a claim is retried before the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Version of a row that does not exist.
const ABSENT: u64 = 0;
/// Interval between two probes of an unavailable table.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after a failed write.
const FAILED_WRITE_DELAY: Duration = Duration::from_millis(100);

/// A claim that an attempt needs before it may call the endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) key: claim::ClaimKey,
    pub(crate) digest: Box<str>,
    pub(crate) owner: claim::Owner,
    pub(crate) disproved: Option<attempt_id::AttemptId>,
}

/// Result of acquiring a claim.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// The attempt may call the endpoint. Contains the version of the claim row.
    Granted(u64),
    /// The call was already answered. Contains the stored response.
    Answered(claim::StoredResponse),
    /// Another attempt holds the claim.
    OwnedBy(claim::Owner),
    /// The key was already used with another method, path or body.
    KeyReused,
    /// The table did not accept the claim, so the attempt must not call the endpoint.
    Unavailable,
}

/// Computes the digest that decides whether two calls with the same key are the same call.
pub(crate) fn digest(req: &attempt_request::AttemptRequest) -> Box<str> {
    let mut hash = Sha256::new();
    for part in [req.method.as_bytes(), req.target.as_bytes(), &req.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let mut text = String::new();
    for byte in hash.finalize() {
        // Writing to a `String` cannot fail.
        let _written = write!(text, "{byte:02x}");
    }
    text.into()
}

/// A pending write of one claim row.
#[derive(Debug)]
struct Job {
    claim: Claim,
    operation: Operation,
    /// Version that the row must have; [`ABSENT`] if it must not exist.
    version: u64,
    /// Time at which the job was submitted.
    submitted: time::Time,
}

/// The change that a job makes to its row.
#[derive(Debug)]
enum Operation {
    /// Acquires the claim and sends the result.
    Acquire(oneshot::Sender<ClaimResult>),
    /// Stores the response of the call.
    StoreResponse(claim::StoredResponse),
    /// Releases the claim.
    Release,
}

/// Handle to the claims thread.
#[derive(Debug)]
pub(crate) struct Claims {
    tx: Sender<Job>,
    clock: clock::Clock,
    /// Number of submitted jobs that are not complete.
    unfinished: Arc<AtomicUsize>,
    /// Whether the last access to the table failed.
    unavailable: Arc<AtomicBool>,
}

impl Claims {
    /// Starts the claims thread.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Thread`] if the thread cannot be spawned.
    pub(crate) fn start(
        client: client::Client,
        clock: clock::Clock,
        metrics: Arc<metrics::Metrics>,
        log: &Logger,
    ) -> Result<Self, StartError> {
        let (tx, rx) = channel::bounded(QUEUE_CAPACITY);
        let unfinished = Arc::new(AtomicUsize::new(0));
        let unavailable = Arc::new(AtomicBool::new(false));
        let writer = ClaimWriter {
            client,
            clock,
            metrics,
            log: log.clone(),
            unfinished: Arc::clone(&unfinished),
            unavailable: Arc::clone(&unavailable),
            batch: claim_batch::ClaimBatch::default(),
        };
        let thread = thread::Builder::new().name("claims".to_owned());
        let spawned = thread.spawn(move || writer.run(&rx));
        spawned.map_err(|source| StartError::Thread { what: "claims", source })?;
        Ok(Self {
            tx,
            clock,
            unfinished,
            unavailable,
        })
    }

    /// Acquires a claim and waits for the result. Returns [`ClaimResult::Unavailable`] immediately while the table is
    /// known to be unavailable.
    pub(crate) async fn claim(&self, claim: Claim) -> ClaimResult {
        if self.unavailable.load(Ordering::Acquire) {
            return ClaimResult::Unavailable;
        }
        let (reply, result_rx) = oneshot::channel();
        if !self.submit(claim, ABSENT, Operation::Acquire(reply)) {
            return ClaimResult::Unavailable;
        }
        result_rx.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Stores the response of a held claim. The write is retried for as long as the process runs.
    pub(crate) fn store_response(&self, claim: Claim, version: u64, response: claim::StoredResponse) {
        self.submit(claim, version, Operation::StoreResponse(response));
    }

    /// Releases a held claim whose call never reached the endpoint.
    pub(crate) fn release(&self, claim: Claim, version: u64) {
        self.submit(claim, version, Operation::Release);
    }

    /// Returns whether all submitted jobs are complete.
    pub(crate) fn is_idle(&self) -> bool {
        self.unfinished.load(Ordering::Acquire) == 0
    }

    fn submit(&self, claim: Claim, version: u64, operation: Operation) -> bool {
        self.unfinished.fetch_add(1, Ordering::AcqRel);
        let job = Job {
            claim,
            operation,
            version,
            submitted: self.clock.now(),
        };
        let accepted = self.tx.try_send(job).is_ok();
        if !accepted {
            self.unfinished.fetch_sub(1, Ordering::AcqRel);
        }
        accepted
    }
}

struct ClaimWriter {
    client: client::Client,
    clock: clock::Clock,
    metrics: Arc<metrics::Metrics>,
    log: Logger,
    unfinished: Arc<AtomicUsize>,
    unavailable: Arc<AtomicBool>,
    batch: claim_batch::ClaimBatch<Job>,
}

impl ClaimWriter {
    fn run(mut self, rx: &Receiver<Job>) {
        loop {
            let timeout = self.poll_interval();
            match rx.recv_timeout(timeout) {
                Ok(job) => self.batch.push(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for job in rx.try_iter() {
                self.batch.push(job);
            }
            match self.batch.take_due(self.clock.now()) {
                Some(jobs) => self.write(jobs),
                None if self.unavailable.load(Ordering::Acquire) => self.probe(),
                None => {}
            }
        }
    }

    fn poll_interval(&self) -> Duration {
        if self.unavailable.load(Ordering::Acquire) {
            PROBE_INTERVAL
        } else if self.batch.is_idle() {
            IDLE_POLL_INTERVAL
        } else {
            BATCH_POLL_INTERVAL
        }
    }

    /// Checks whether the table is available again.
    fn probe(&self) {
        let is_available = self.client.read(&row::ReadRequest::default()).is_ok();
        self.unavailable.store(!is_available, Ordering::Release);
    }

    fn write(&mut self, jobs: Vec<Job>) {
        // A transaction can write a row only once, so further jobs for the same row wait for a later batch.
        let (jobs, deferred) = split_duplicates(jobs);
        for job in deferred {
            self.batch.push(job);
        }
        let result = commit_request(&jobs).and_then(|request| self.client.commit(&request));
        self.metrics.table_writes.inc();
        self.batch.finish_write(self.clock.now(), result.is_err());
        if result.is_ok() {
            self.unavailable.store(false, Ordering::Release);
        }
        match result {
            Ok(commit::CommitReply::Committed(version)) => {
                for job in jobs {
                    self.complete(job, ClaimResult::Granted(version));
                }
            }
            Ok(commit::CommitReply::Conflicts { keys, rows }) => self.resolve_conflicts(jobs, &keys, &rows),
            Err(error) => self.recover_failed_write(jobs, &error),
        }
    }

    /// Handles a transaction whose conditions failed. Nothing was written: conflicting rows are evaluated, all other
    /// jobs are queued again.
    fn resolve_conflicts(&mut self, jobs: Vec<Job>, keys: &[String], rows: &[row::Row]) {
        for job in jobs {
            let row_key = job.claim.key.row_key();
            if keys.contains(&row_key) {
                let row = rows.iter().find(|row| row.key == row_key);
                self.evaluate_row(job, row);
            } else {
                self.batch.push(job);
            }
        }
    }

    /// Handles a failed write. It may have taken effect, so the rows are read back.
    fn recover_failed_write(&mut self, jobs: Vec<Job>, error: &error::PlatformError) {
        let doubtful = error.is_outcome_unknown();
        warn!(self.log, "failed to write claims"; "rows" => jobs.len(), "doubtful" => doubtful, "error" => %error);
        thread::sleep(FAILED_WRITE_DELAY);
        let keys = jobs.iter().map(|job| job.claim.key.row_key()).collect();
        let read = self.client.read(&row::ReadRequest {
            keys,
            ..row::ReadRequest::default()
        });
        self.unavailable.store(read.is_err(), Ordering::Release);
        match read {
            Ok(reply) => {
                for job in jobs {
                    let row_key = job.claim.key.row_key();
                    let row = reply.rows.iter().find(|row| row.key == row_key);
                    self.evaluate_row(job, row);
                }
            }
            Err(_) => {
                for job in jobs {
                    self.retry_or_abandon(job);
                }
            }
        }
    }

    fn retry_or_abandon(&mut self, mut job: Job) {
        let waited = self.clock.now().since(job.submitted);
        if waited >= CLAIM_TIMEOUT && matches!(job.operation, Operation::Acquire(_)) {
            // The write may still have taken effect. This attempt will not call the endpoint, so its row is released
            // once the table is available again.
            if let Operation::Acquire(reply) = std::mem::replace(&mut job.operation, Operation::Release) {
                send_result(reply, ClaimResult::Unavailable);
            }
        }
        self.batch.push(job);
    }

    /// Completes or retries a job according to the current content of its row.
    fn evaluate_row(&mut self, mut job: Job, row: Option<&row::Row>) {
        let version = row.map_or(ABSENT, |row| row.version);
        let parsed: Option<claim::ClaimRow> = row.and_then(|row| serde_json::from_value(row.value.clone()).ok());
        if row.is_some() && parsed.is_none() {
            warn!(self.log, "failed to decode claim row"; "key" => job.claim.key.row_key());
            return self.complete(job, ClaimResult::Unavailable);
        }
        job.version = version;
        if matches!(job.operation, Operation::Acquire(_)) {
            return self.evaluate_acquire(job, parsed.as_ref());
        }
        let is_owner =
            parsed.is_some_and(|row| row.owner == job.claim.owner && row.progress == claim::ClaimState::Open);
        if is_owner {
            self.batch.push(job);
        } else {
            self.complete(job, ClaimResult::Unavailable);
        }
    }

    fn evaluate_acquire(&mut self, job: Job, row: Option<&claim::ClaimRow>) {
        let request = claim::ClaimRequest {
            digest: &job.claim.digest,
            owner: &job.claim.owner,
            disproved: job.claim.disproved,
        };
        match claim::decide(row, &request) {
            claim::ClaimDecision::Free | claim::ClaimDecision::TakeOver => self.retry_or_abandon(job),
            claim::ClaimDecision::Held => {
                let version = job.version;
                self.complete(job, ClaimResult::Granted(version));
            }
            claim::ClaimDecision::Answered(response) => self.complete(job, ClaimResult::Answered(response)),
            claim::ClaimDecision::OwnedBy(owner) => self.complete(job, ClaimResult::OwnedBy(owner)),
            claim::ClaimDecision::Reused => self.complete(job, ClaimResult::KeyReused),
        }
    }

    fn complete(&self, job: Job, result: ClaimResult) {
        self.unfinished.fetch_sub(1, Ordering::AcqRel);
        if let Operation::Acquire(reply) = job.operation {
            send_result(reply, result);
        }
    }
}

fn send_result(reply: oneshot::Sender<ClaimResult>, result: ClaimResult) {
    // The attempt's task may be gone. A granted claim then stays open and its attempt counts as begun.
    let _sent = reply.send(result);
}

fn split_duplicates(jobs: Vec<Job>) -> (Vec<Job>, Vec<Job>) {
    let mut seen: Vec<claim::ClaimKey> = Vec::with_capacity(jobs.len());
    let mut deferred = Vec::new();
    let mut unique = Vec::with_capacity(jobs.len());
    for job in jobs {
        match seen.binary_search(&job.claim.key) {
            Ok(_) => deferred.push(job),
            Err(at) => {
                seen.insert(at, job.claim.key.clone());
                unique.push(job);
            }
        }
    }
    (unique, deferred)
}

fn commit_request(jobs: &[Job]) -> Result<commit::CommitRequest, error::PlatformError> {
    let mut request = commit::CommitRequest::default();
    for job in jobs {
        let key = job.claim.key.row_key();
        request.conditions.push(commit::Condition {
            key: key.clone(),
            version: job.version,
        });
        request.writes.push(commit::Write {
            key,
            value: Some(serde_json::to_value(row_for(job)).map_err(error::PlatformError::EncodeValue)?),
        });
    }
    Ok(request)
}

fn row_for(job: &Job) -> claim::ClaimRow {
    let progress = match &job.operation {
        Operation::Acquire(_) => claim::ClaimState::Open,
        Operation::StoreResponse(response) => claim::ClaimState::Answered(response.clone()),
        Operation::Release => claim::ClaimState::Released,
    };
    claim::ClaimRow {
        digest: job.claim.digest.clone(),
        owner: job.claim.owner.clone(),
        progress,
    }
}
