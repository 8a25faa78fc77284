//! A stand-in for a replica.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;

/// A running replica. Clones share their state.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub born_ms: u128,
    /// How long it works on a request.
    work: Duration,
    /// Each answer with a number that this divides is spoilt: it has a coding, and other bytes than the replica's own.
    spoils_each: Arc<AtomicUsize>,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    is_full: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    running: Arc<AtomicUsize>,
    /// The attempts that were run.
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

/// The number of requests that a replica runs at once.
const SLOTS: usize = 6;
/// What the paths begin with whose answers are streams.
const STREAMS: &str = "/draft";
/// The number of events of a stream.
const EVENTS: usize = 5;

/// How a stream is written.
#[derive(Clone, Copy)]
struct Pace {
    events: usize,
    /// A pause in the middle, in which its memory is given to other requests.
    pause: Duration,
}

/// The time between two events.
const EVENT_TIME: Duration = Duration::from_millis(60);
/// The event before which a stream may pause.
const PAUSE_BEFORE: usize = 6;

/// Returns how the answer to a request is written, if event by event.
fn pace_of(req: &http::Message) -> Option<Pace> {
    let pace = |events, pause_ms| {
        let pause = Duration::from_millis(pause_ms);
        Some(Pace { events, pause })
    };
    match req.target() {
        "/draft/steady" => pace(60, 0),
        "/draft/preempted" => pace(20, 1_500),
        _ => None,
    }
}

impl Replica {
    pub fn start(id: &str, service: &str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().expect("an address"),
            born_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis()),
            work,
            spoils_each: Arc::default(),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            is_full: Arc::default(),
            connections: Arc::default(),
            running: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let acceptor = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    acceptor
                        .connections
                        .lock()
                        .expect("no thread panics with the lock")
                        .push(copy);
                }
                let replica = acceptor.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Returns the entry that the replica keeps in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let state = if self.is_leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":{SLOTS},"state":"{state}","coldRemainingMs":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.addr, self.born_ms
        )
    }

    /// From now on, the replica leaves, and says so in its answers.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the replica: it refuses connections, and those that are open are closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.line(&format!("{}: exits", self.id));
        // Wakes the thread that accepts connections, which then closes the listener.
        let _woken = TcpStream::connect(self.addr);
        for connection in self
            .connections
            .lock()
            .expect("no thread panics with the lock")
            .drain(..)
        {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }

    /// From now on, the replica is full and refuses streams that come.
    pub fn fill(&self) {
        self.is_full.store(true, Ordering::SeqCst);
    }

    /// From now on, one of `each` answers is spoilt; none if it is 0.
    pub fn spoil(&self, each: usize) {
        self.spoils_each.store(each, Ordering::SeqCst);
    }

    /// Returns the attempts that were run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no thread panics with the lock").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        let _nodelay = stream.set_nodelay(true);
        while let Some(req) = http::read(&mut reader, false).filter(|req| req.is_complete) {
            if let Some(plan) = pace_of(&req) {
                if self.stream_slowly(&mut stream, &req, plan).is_none() {
                    return;
                }
                continue;
            }
            let answer = self.answer(&req);
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &http::Message) -> Vec<u8> {
        let attempt = req.header("x-attempt-id").unwrap_or("-").to_owned();
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        if req
            .header("x-expected-replica")
            .is_some_and(|expected| expected != self.id)
        {
            self.record.line(&format!("{}: answers 421 to {attempt}", self.id));
            return format!(
                "HTTP/1.1 421 X\r\n{echo}X-Replica-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.record
            .line(&format!("{}: runs {attempt} ({})", self.id, req.first_line));
        let number = {
            let mut runs = self.runs.lock().expect("no thread panics with the lock");
            runs.push(attempt.clone());
            runs.len()
        };
        thread::sleep(self.work);
        if self.has_ended.load(Ordering::SeqCst) {
            self.record
                .line(&format!("{}: has ended, no answer to {attempt}", self.id));
            return Vec::new();
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let leaving = if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        if req.target().starts_with(STREAMS) {
            self.record
                .line(&format!("{}: answers 200 to {attempt}, a whole stream", self.id));
            return self.stream(&echo).into_bytes();
        }
        let is_spoilt = number.checked_rem(self.spoils_each.load(Ordering::SeqCst)) == Some(0);
        let coding = if is_spoilt { "Content-Encoding: gzip\r\n" } else { "" };
        let body = self.body_of(&attempt, is_spoilt);
        self.record.line(&format!(
            "{}: answers 200 to {attempt} {}{}",
            self.id,
            leaving.trim(),
            coding.trim()
        ));
        format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Replica-Signature: {}.1\r\nX-Replica-Load: {running},0,{SLOTS}\r\n{leaving}{coding}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }

    /// Writes a stream event by event, or refuses the request if the replica is full. Returns `None` if the connection broke.
    fn stream_slowly(&self, stream: &mut TcpStream, req: &http::Message, plan: Pace) -> Option<()> {
        let attempt = req.header("x-attempt-id").unwrap_or("-").to_owned();
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        if self.is_full.load(Ordering::SeqCst) {
            self.record
                .line(&format!("{}: is full, answers 503 to {attempt}", self.id));
            let refusal = format!("HTTP/1.1 503 X\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(refusal.as_bytes()).ok();
        }
        self.record
            .line(&format!("{}: runs {attempt} ({})", self.id, req.first_line));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Replica-Signature: {}.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).ok()?;
        let after: usize = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for id in after + 1..=plan.events {
            if id == PAUSE_BEFORE && !plan.pause.is_zero() {
                self.record
                    .line(&format!("{}: preempts {attempt} before event {id}", self.id));
            }
            thread::sleep(if id == PAUSE_BEFORE {
                EVENT_TIME + plan.pause
            } else {
                EVENT_TIME
            });
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            if stream
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                self.record.line(&format!(
                    "{}: event {id} of {attempt} finds the connection closed",
                    self.id
                ));
                return None;
            }
        }
        self.record.line(&format!(
            "{}: has sent all {} events of {attempt}",
            self.id, plan.events
        ));
        stream.write_all(b"0\r\n\r\n").ok()
    }

    /// Returns a whole stream.
    fn stream(&self, echo: &str) -> String {
        let events = (1..=EVENTS).map(|id| {
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            format!("{:x}\r\n{event}\r\n", event.len())
        });
        format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Replica-Signature: {}.1\r\nX-Replica-Load: 0,0,{SLOTS}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            self.id,
            events.collect::<String>()
        )
    }

    /// Returns the body of the answer to an attempt.
    fn body_of(&self, attempt: &str, is_spoilt: bool) -> String {
        if is_spoilt {
            format!("bytes in a coding that nobody asked for, {attempt}")
        } else {
            format!("the body of {} for {attempt}", self.id)
        }
    }
}
