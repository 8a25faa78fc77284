//! Clients of the gateways.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::env::{API_KEY, HOST};
use crate::http;
use crate::record::Record;

/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// How long a client waits for a whole stream.
const STREAM_DEADLINE: Duration = Duration::from_millis(8_000);
/// The interval at which clients check whether they are stopped.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// The number of requests of all clients, from which the identifiers of attempts are made.
static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// A request that was sent, and its answer if there was one.
#[derive(Debug, Clone)]
pub struct Sent {
    pub attempt: String,
    pub at: Instant,
    pub answer: Option<http::Message>,
}

/// Sends one request to `gateway` and waits for the answer. `headers` are whole lines.
fn send(gateway: SocketAddr, name: &str, method: &str, path: &str, headers: &str, record: &Record) -> Sent {
    let attempt = format!("{:016x}", REQUESTS.fetch_add(1, Ordering::SeqCst));
    let deadline = if path.starts_with("/draft") {
        STREAM_DEADLINE
    } else {
        DEADLINE
    };
    let body = if method == "POST" { "a slip" } else { "" };
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {API_KEY}\r\n{headers}{length}Connection: close\r\n\r\n{body}",
        deadline.as_millis()
    );
    let at = Instant::now();
    record.line(&format!(
        "client: sends {attempt} to {name}: {method} {path} {}",
        headers.trim()
    ));
    let answer = http::call(gateway, &text, deadline);
    let shown = answer.as_ref().map_or("no answer".to_owned(), |a| {
        let coding = a
            .header("content-encoding")
            .map(|c| format!(", coding {c}"))
            .unwrap_or_default();
        format!("{}{coding}, body {:?}", a.status(), String::from_utf8_lossy(&a.body))
    });
    record.line(&format!("client: {attempt} is answered with {shown}"));
    Sent { attempt, at, answer }
}

/// Clients that send requests at a steady rate until they are stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Sends a request with `headers` every `interval` to `gateway`, in turns over `requests` (method and path).
    pub fn start(
        gateway: SocketAddr,
        name: &str,
        requests: &[(&'static str, &'static str)],
        headers: &'static str,
        interval: Duration,
        record: &Record,
    ) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (stopped, list, record) = (Arc::clone(&stop), Arc::clone(&sent), record.clone());
        let (name, requests) = (name.to_owned(), requests.to_vec());
        let thread = thread::spawn(move || {
            let mut open = Vec::new();
            for (method, path) in requests.into_iter().cycle() {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let (list, record, name) = (Arc::clone(&list), record.clone(), name.clone());
                open.push(thread::spawn(move || {
                    let sent = send(gateway, &name, method, path, headers, &record);
                    list.lock().expect("no thread panics with the lock").push(sent);
                }));
                let next = Instant::now() + interval;
                while Instant::now() < next && !stopped.load(Ordering::SeqCst) {
                    thread::sleep(next.saturating_duration_since(Instant::now()).min(STOP_CHECK));
                }
            }
            for request in open {
                let _ended = request.join();
            }
        });
        Self {
            stop,
            sent,
            threads: vec![thread],
        }
    }

    /// Stops the clients and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ended = thread.join();
        }
        self.sent.lock().expect("no thread panics with the lock").clone()
    }
}
