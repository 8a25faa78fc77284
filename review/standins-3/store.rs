//! Stand-in for the platform's store: rows, transactions, a change feed, and a drill in which it comes back from a copy.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};

#[derive(Debug, Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// In Base64; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Clone)]
struct State {
    rows: Vec<Row>,
    ver: u64,
    era: u64,
    is_away: bool,
}

/// A copy of all rows.
pub struct Copy(State);

/// A running store. Clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let state = State { rows: Vec::new(), ver: 1, era: 1, is_away: false };
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic under the lock")
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        state.rows.retain(|r| r.table != table || r.key != key);
        let value = value.map(|v| encode_base64(v.as_bytes()));
        state.rows.push(Row { table: table.to_owned(), part: String::new(), key: key.to_owned(), value, ver });
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Answers nothing but 503 from now on.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from `copy`. What was written since is gone, versions go back, and the era rises by one.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.lock();
        let era = state.era + 1;
        *state = State { era, is_away: false, ..copy.0 };
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut stream = stream;
        while let Some(req) = http::read_request(&mut reader) {
            let (status, body, era) = self.respond(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &http::Message) -> (u16, String, u64) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let parameter = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let table = parameter("table").unwrap_or("");
        let era = self.lock().era;
        if self.lock().is_away {
            return (503, "{}".to_owned(), era);
        }
        match path {
            "/rows-get" => (200, self.rows(&self.lock(), table, 0, false), era),
            "/rows-feed" => {
                let (after, wait) = (number("after"), Duration::from_millis(number("waitMs").min(30_000)));
                let end = Instant::now() + wait;
                let mut state = self.lock();
                if after > state.ver {
                    return (410, "{}".to_owned(), state.era);
                }
                let asked_in = state.era;
                loop {
                    if state.is_away || state.era != asked_in {
                        return (503, "{}".to_owned(), state.era);
                    }
                    let is_news = state.rows.iter().any(|r| r.table == table && r.ver > after);
                    let left = end.saturating_duration_since(Instant::now());
                    if is_news || left.is_zero() {
                        return (200, self.rows(&state, table, after, true), state.era);
                    }
                    state = self.state.1.wait_timeout(state, left).expect("no panic under the lock").0;
                }
            }
            "/rows-tx" => self.commit(&req.body),
            _ => (404, "{}".to_owned(), era),
        }
    }

    fn rows(&self, state: &State, table: &str, after: u64, with_removed: bool) -> String {
        let mut rows: Vec<&Row> = state.rows.iter().filter(|r| r.table == table && r.ver > after).collect();
        rows.retain(|r| with_removed || r.value.is_some());
        if with_removed {
            rows.sort_by_key(|r| r.ver);
        } else {
            rows.sort_by(|a, b| a.key.cmp(&b.key));
        }
        let rows: Vec<String> = rows.into_iter().map(row_text).collect();
        let now = self.started.elapsed().as_millis();
        format!("{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{now}}}", rows.join(","), state.ver)
    }

    fn commit(&self, body: &[u8]) -> (u16, String, u64) {
        let mut state = self.lock();
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned(), state.era);
        };
        let text = |entry: &Value, field: &str| entry.get(field).and_then(Value::text).unwrap_or("").to_owned();
        let found = |state: &State, entry: &Value| {
            let (table, part, key) = (text(entry, "table"), text(entry, "part"), text(entry, "key"));
            let is_same = |r: &&Row| r.table == table && r.part == part && r.key == key && r.value.is_some();
            state.rows.iter().find(is_same).cloned()
        };
        let conditions = call.get("precondition").map(Value::items).unwrap_or(&[]);
        let holds = |c: &Value| {
            let ver = c.get("ver").and_then(Value::number).unwrap_or(0.0) as u64;
            found(&state, c).map_or(0, |r| r.ver) == ver
        };
        if !conditions.iter().all(holds) {
            let rows: Vec<String> = conditions.iter().filter_map(|c| found(&state, c)).map(|r| row_text(&r)).collect();
            return (412, format!("{{\"rows\":[{}],\"ver\":{}}}", rows.join(","), state.ver), state.era);
        }
        state.ver += 1;
        let ver = state.ver;
        for put in call.get("puts").map(Value::items).unwrap_or(&[]) {
            let (table, part, key) = (text(put, "table"), text(put, "part"), text(put, "key"));
            state.rows.retain(|r| r.table != table || r.part != part || r.key != key);
            state.rows.push(Row { table, part, key, value: Some(text(put, "value")), ver });
        }
        self.state.1.notify_all();
        let now = self.started.elapsed().as_millis();
        (200, format!("{{\"ver\":{ver},\"nowMs\":{now}}}"), state.era)
    }
}

fn row_text(row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"ver\":{},{value}}}",
        row.table, row.part, row.key, row.ver
    )
}

/// Encodes bytes in Base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |word, at| word << 8 | u32::from(group.get(at).copied().unwrap_or(0)));
        for at in 0..4 {
            if at <= group.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * at)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
