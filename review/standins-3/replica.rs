//! Stand-in for a replica: a process of its own, so that it can be killed. It writes to its log what arrived and what ran.

use std::fs::{File, OpenOptions};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::http;

/// How a replica answers.
#[derive(Debug, Clone, Default)]
pub struct Options {
    pub id: String,
    pub addr: String,
    pub log: String,
    /// Time until the answer begins, in milliseconds.
    pub work_ms: u64,
    /// Number of pieces of the answer, each of [`PIECE_BYTES`].
    pub pieces: usize,
    /// Time between two pieces, in milliseconds.
    pub gap_ms: u64,
    /// `length`: a body with a length; `none`: a body that ends with its connection; `events`: a stream of events in chunks.
    pub form: String,
    /// The replica crashes when it begins to write an answer on a prompt with this part.
    pub crash_part: String,
    /// The replica crashes when it begins to run a request with this body.
    pub crash_body: String,
}

/// Length of a piece of an answer.
pub const PIECE_BYTES: usize = 80;

/// Returns a piece of the answer to `attempt`.
pub fn piece(attempt: &str, number: usize) -> String {
    let text = format!("{attempt} piece {number} ");
    format!("{text:.<width$}\n", width = PIECE_BYTES - 1)
}

impl Options {
    pub fn to_args(&self) -> Vec<String> {
        let texts = [&self.id, &self.addr, &self.log, &self.form, &self.crash_part, &self.crash_body];
        let numbers = [self.work_ms, self.pieces as u64, self.gap_ms];
        texts.into_iter().cloned().chain(numbers.map(|n| n.to_string())).collect()
    }

    pub fn from_args(args: &[String]) -> Option<Self> {
        let [id, addr, log, form, crash_part, crash_body, work_ms, pieces, gap_ms] = args else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            addr: addr.clone(),
            log: log.clone(),
            form: form.clone(),
            crash_part: crash_part.clone(),
            crash_body: crash_body.clone(),
            work_ms: work_ms.parse().ok()?,
            pieces: pieces.parse().ok()?,
            gap_ms: gap_ms.parse().ok()?,
        })
    }
}

struct Replica {
    options: Options,
    log: File,
    running: AtomicUsize,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Runs the replica until it is killed or its standard input ends.
pub fn run(options: Options) -> i32 {
    let Ok(listener) = TcpListener::bind(&options.addr) else {
        return 2;
    };
    let Ok(log) = OpenOptions::new().create(true).append(true).open(&options.log) else {
        return 2;
    };
    let replica = Arc::new(Replica { options, log, running: AtomicUsize::new(0) });
    thread::spawn(|| {
        // Ends when the process that started this one does.
        let _read = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || replica.serve(stream));
    }
    0
}

impl Replica {
    fn note(&self, what: &str, attempt: &str) {
        let line = format!("{} {} {what} {attempt}\n", unix_ms(), self.options.id);
        let _written = (&self.log).write_all(line.as_bytes());
    }

    fn serve(&self, mut stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else { return };
        let mut reader = BufReader::new(handle);
        while let Some(req) = http::read_request(&mut reader) {
            let attempt = req.header("x-attempt-id").unwrap_or("none").to_owned();
            self.note("arrived", &attempt);
            let id = &self.options.id;
            if req.header("x-expected-replica").is_some_and(|expected| expected != id) {
                let text = format!("HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
            let ended = self.answer(&mut stream, &req, &attempt, running);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if ended.is_err() || self.options.form == "none" {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, req: &http::Message, attempt: &str, running: usize) -> std::io::Result<()> {
        let options = &self.options;
        self.note("runs", attempt);
        thread::sleep(Duration::from_millis(options.work_ms));
        let parts = req.header("x-prompt-prefix").unwrap_or("").split(',');
        let mut parts = parts.map(|part| part.split(':').next().unwrap_or(""));
        if !options.crash_part.is_empty() && parts.any(|part| part == options.crash_part) {
            self.note("crashes", attempt);
            std::process::exit(3);
        }
        if !options.crash_body.is_empty() && req.body == options.crash_body.as_bytes() {
            self.note("crashes", attempt);
            std::process::exit(3);
        }
        let framing = match options.form.as_str() {
            "length" => format!("Content-Length: {}\r\n", options.pieces * PIECE_BYTES),
            "events" => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned(),
            _ => String::new(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Signature: {}.1\r\nX-Replica-Load: {running},0,12\r\n{framing}\r\n",
            options.id
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=options.pieces {
            let bytes = if options.form == "events" {
                let event = format!("id: {number}\ndata: piece {number}\n\n");
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                piece(attempt, number)
            };
            stream.write_all(bytes.as_bytes())?;
            if number < options.pieces {
                thread::sleep(Duration::from_millis(options.gap_ms));
            }
        }
        if options.form == "events" {
            stream.write_all(b"0\r\n\r\n")?;
        }
        self.note("answered", attempt);
        Ok(())
    }
}
