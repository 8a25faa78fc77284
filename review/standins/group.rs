//! A group of model ranks that step together, of which one may crash.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::{http, record, store};

/// Time for which work that depends on a dead rank stalls.
const STALL: Duration = Duration::from_millis(1_500);
/// Time after the return of the rank until the group opens.
const FORM: Duration = Duration::from_millis(600);
/// Time for which a crashed rank is away.
const AWAY: Duration = Duration::from_millis(2_500);
const EVENTS: u32 = 26;
const EVENT_TIME: Duration = Duration::from_millis(45);
/// Time until the first token of an answer.
const READ_TIME: Duration = Duration::from_millis(60);

#[derive(Default)]
struct State {
    /// Number of crashes, which is the epoch.
    epoch: u64,
    /// The rank that is away, and until when the group is broken.
    broken: Option<(usize, Instant)>,
    crashes: Vec<u64>,
    /// Attempts that began, and when.
    begun: Vec<(String, u64)>,
}

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    pub ranks: Vec<SocketAddr>,
    record: record::Record,
    store: store::Store,
    poison: String,
    connections: Arc<Mutex<Vec<(usize, TcpStream)>>>,
}

impl Group {
    /// Starts `size` ranks, of which each crashes that begins to write an answer on the part `poison`.
    pub fn start(size: usize, poison: &str, store: &store::Store, record: &record::Record) -> Self {
        let listeners: Vec<TcpListener> = (0..size)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"))
            .collect();
        let group = Self {
            state: Arc::default(),
            ranks: listeners.iter().map(|l| l.local_addr().expect("an address")).collect(),
            record: record.clone(),
            store: store.clone(),
            poison: poison.to_owned(),
            connections: Arc::default(),
        };
        for (rank, listener) in listeners.into_iter().enumerate() {
            group.register(rank, 0);
            group.listen(rank, listener);
        }
        group
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn id(rank: usize) -> String {
        format!("i-model-{rank}")
    }

    fn register(&self, rank: usize, starts: u64) {
        let entry = format!(
            r#"{{"service":"drafting-model","address":"{}","zone":"hu-central-a","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            self.ranks[rank],
            1_790_000_000_000_u64 + starts * 1_000
        );
        self.store.put("servers", &Self::id(rank), Some(&entry));
    }

    fn listen(&self, rank: usize, listener: TcpListener) {
        let group = self.clone();
        listener.set_nonblocking(true).expect("a listener");
        std::thread::spawn(move || {
            loop {
                if group.is_away(rank) {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _blocking = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            group
                                .connections
                                .lock()
                                .unwrap_or_else(|e| e.into_inner())
                                .push((rank, copy));
                        }
                        let group = group.clone();
                        std::thread::spawn(move || group.serve(rank, stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_away(&self, rank: usize) -> bool {
        self.lock()
            .broken
            .is_some_and(|(r, until)| r == rank && Instant::now() + FORM < until)
    }

    /// Whether the group is broken.
    fn is_broken(&self) -> bool {
        self.lock().broken.is_some_and(|(_, until)| Instant::now() < until)
    }

    pub fn crashes(&self) -> Vec<u64> {
        self.lock().crashes.clone()
    }

    pub fn has_begun(&self, attempt: &str) -> bool {
        self.lock().begun.iter().any(|(a, _)| a == attempt)
    }

    fn crash(&self, rank: usize, attempt: &str) {
        let starts = {
            let mut state = self.lock();
            if state.broken.is_some_and(|(_, until)| Instant::now() < until) {
                return;
            }
            state.epoch += 1;
            state.broken = Some((rank, Instant::now() + AWAY + FORM));
            state.crashes.push(self.record.ms());
            state.epoch
        };
        self.record
            .line(&format!("rank {rank} crashes as it begins to answer {attempt}"));
        std::thread::sleep(Duration::from_millis(3));
        self.connections
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .retain(|(r, stream)| {
                if *r == rank {
                    let _closed = stream.shutdown(std::net::Shutdown::Both);
                }
                *r != rank
            });
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(AWAY);
            let listener = loop {
                match TcpListener::bind(group.ranks[rank]) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(5)),
                }
            };
            group.record.line(&format!("rank {rank} is back"));
            group.register(rank, starts);
            group.listen(rank, listener);
            std::thread::sleep(FORM);
            group.record.line("the group is open");
        });
    }

    fn serve(&self, rank: usize, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = http::read_request(&mut reader) {
            if !self.run(rank, &req, &mut writer) {
                return;
            }
        }
    }

    /// Handles one request. Returns whether the connection stays open.
    fn run(&self, rank: usize, req: &http::Message, writer: &mut TcpStream) -> bool {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        let id = Self::id(rank);
        if req.header("x-expected-replica").is_some_and(|expected| expected != id) {
            let text = format!("HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n");
            return writer.write_all(text.as_bytes()).is_ok();
        }
        std::thread::sleep(READ_TIME);
        if self.is_broken() {
            let away = self.lock().broken.map_or(0, |(r, _)| r);
            std::thread::sleep(STALL);
            let text = format!(
                "HTTP/1.1 503 X\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nAt-Server: {}\r\nContent-Length: 0\r\n\r\n",
                Self::id(away)
            );
            return writer.write_all(text.as_bytes()).is_ok();
        }
        let epoch = {
            let mut state = self.lock();
            state.begun.push((attempt.clone(), self.record.ms()));
            state.epoch
        };
        self.record.line(&format!("rank {rank} begins {attempt}"));
        if req.header("x-prompt-prefix").is_some_and(|p| p.contains(&self.poison)) {
            self.crash(rank, &attempt);
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Signature: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            if self.lock().epoch != epoch {
                std::thread::sleep(STALL);
                return false;
            }
            let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(48));
            if writer
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                return false;
            }
            std::thread::sleep(EVENT_TIME);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}
