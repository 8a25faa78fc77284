//! A stand-in for the platform's store, with the calls that the gateways make.
//!
//! Each gateway gets an address of its own, so that the record tells which of them has read what.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};
use crate::record::Record;

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// `None` for a removed row.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Clone)]
struct State {
    rows: Vec<Row>,
    version: u64,
    era: u64,
    /// Whether the store refuses all calls with 503, of which nothing is done.
    is_away: bool,
}

/// The rows and the version of an earlier moment.
pub struct Copy(State);

/// A running store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let state = State {
            rows: Vec::new(),
            version: 1,
            era: 1,
            is_away: false,
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
            record: record.clone(),
        }
    }

    /// Opens an address for `caller`.
    pub fn listen(&self, caller: &str) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (store, caller) = (self.clone(), caller.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, caller) = (store.clone(), caller.clone());
                thread::spawn(move || store.serve(stream, &caller));
            }
        });
        addr
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    /// Writes a row, or removes it. While the store is away, nothing is done and the result is `None`.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.lock();
        (!state.is_away).then_some(())?;
        let version = write(&mut state, table, key, value.map(|v| v.as_bytes().to_vec()));
        self.state.1.notify_all();
        Some(version)
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    pub fn set_away(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back. With a copy, what was written since then is gone, and the era rises by one.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        if let Some(Copy(former)) = copy {
            let era = state.era + 1;
            *state = State { era, ..former };
        }
        state.is_away = false;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, caller: &str) {
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        let _nodelay = stream.set_nodelay(true);
        while let Some(req) = http::read(&mut reader, false) {
            let (status, body) = self.respond(&req, caller);
            let text = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                self.lock().era,
                text.len()
            );
            if stream.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &http::Message, caller: &str) -> (u16, Json) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|p| p.split_once('='));
            parts.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let table = parameter("table").unwrap_or_default();
        let empty = Json::Object(Vec::new());
        if self.lock().is_away {
            return (503, empty);
        }
        match path {
            "/rows-get" => (200, self.rows(&table, None, caller)),
            "/rows-feed" => {
                let after = number("after");
                let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                let mut state = self.lock();
                if after > state.version {
                    return (410, empty);
                }
                let era = state.era;
                let has_news = |s: &State| s.rows.iter().any(|r| r.table == table && r.version > after);
                while !state.is_away && state.era == era && !has_news(&state) {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self
                        .state
                        .1
                        .wait_timeout(state, left)
                        .expect("no thread panics with the lock")
                        .0;
                }
                if state.is_away {
                    return (503, empty);
                }
                drop(state);
                (200, self.rows(&table, Some(after), caller))
            }
            "/rows-tx" => self.transact(&req.body),
            _ => (404, empty),
        }
    }

    /// Returns the rows of a table, or the changes after a version with the removed rows.
    fn rows(&self, table: &str, after: Option<u64>, caller: &str) -> Json {
        let state = self.lock();
        let mut rows: Vec<&Row> = state.rows.iter().filter(|r| r.table == table).collect();
        match after {
            Some(after) => {
                rows.retain(|r| r.version > after);
                rows.sort_by_key(|r| r.version);
            }
            None => {
                rows.retain(|r| r.value.is_some());
                rows.sort_by(|a, b| a.key.cmp(&b.key));
            }
        }
        if table == "servers" {
            for row in &rows {
                let value = row.value.as_deref().map(String::from_utf8_lossy);
                let shown = value.as_deref().map_or("removed", state_of);
                self.record.line(&format!(
                    "store: {caller} is told in era {}: {} {shown}",
                    state.era, row.key
                ));
            }
        }
        let rows = rows.iter().map(|row| {
            let text = |t: &str| Json::Text(t.to_owned());
            let mut fields = vec![
                ("table".to_owned(), text(table)),
                ("part".to_owned(), text("")),
                ("key".to_owned(), text(&row.key)),
                ("ver".to_owned(), Json::Number(row.version.to_string())),
            ];
            match &row.value {
                Some(value) => fields.push(("value".to_owned(), Json::Text(json::to_base64(value)))),
                None => fields.push(("tombstone".to_owned(), Json::Bool(true))),
            }
            Json::Object(fields)
        });
        Json::Object(vec![
            ("rows".to_owned(), Json::List(rows.collect())),
            ("hasMore".to_owned(), Json::Bool(false)),
            ("ver".to_owned(), Json::Number(state.version.to_string())),
            (
                "nowMs".to_owned(),
                Json::Number(self.started.elapsed().as_millis().to_string()),
            ),
        ])
    }

    fn transact(&self, body: &[u8]) -> (u16, Json) {
        let empty = Json::Object(Vec::new());
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, empty);
        };
        let text = |entry: &Json, name: &str| entry.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        let mut state = self.lock();
        let conditions = call.get("precondition").map(Json::list).unwrap_or_default();
        let holds = conditions.iter().all(|c| {
            let (table, key) = (text(c, "table"), text(c, "key"));
            let known = state
                .rows
                .iter()
                .find(|r| r.table == table && r.key == key && r.value.is_some());
            known.map_or(0, |r| r.version) == c.get("ver").and_then(Json::number).unwrap_or(0)
        });
        if !holds {
            return (412, Json::Object(vec![("rows".to_owned(), Json::List(Vec::new()))]));
        }
        for put in call.get("puts").map(Json::list).unwrap_or_default() {
            let (table, key) = (text(put, "table"), text(put, "key"));
            if matches!(table.as_str(), "op" | "servers") {
                return (403, empty);
            }
            let value = json::from_base64(&text(put, "value")).unwrap_or_default();
            write(&mut state, &table, &key, Some(value));
        }
        self.state.1.notify_all();
        let version = Json::Number(state.version.to_string());
        (200, Json::Object(vec![("ver".to_owned(), version)]))
    }
}

fn write(state: &mut State, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
    state.version += 1;
    state.rows.retain(|r| r.table != table || r.key != key);
    state.rows.push(Row {
        table: table.to_owned(),
        key: key.to_owned(),
        value,
        version: state.version,
    });
    state.version
}

/// Returns the state that an entry of a replica shows.
fn state_of(entry: &str) -> &'static str {
    if entry.contains("\"draining\"") {
        "draining"
    } else {
        "ready"
    }
}
