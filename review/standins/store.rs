//! The platform's store: rows, transactions and feeds.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::{http, json};

struct Row {
    table: String,
    key: String,
    /// Base64; `None` for a removed row.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    rows: Vec<Row>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::default(),
            start: Instant::now(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, or removes it, and returns the version.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        self.put_base64(table, key, value.map(|v| json::base64(v.as_bytes())))
    }

    fn put_base64(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.0.lock().unwrap_or_else(|e| e.into_inner());
        state.ver += 1;
        let ver = state.ver;
        state.rows.retain(|r| r.table != table || r.key != key);
        state.rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            ver,
        });
        self.state.1.notify_all();
        ver
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = http::read_request(&mut reader) {
            let (status, body) = self.respond(&req);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &http::Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or_default().to_owned()
        };
        match path {
            "/rows-get" => (200, self.rows(&parameter("table"), 0, false)),
            "/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                self.feed(&parameter("table"), after, wait)
            }
            "/rows-tx" => self.commit(&req.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000
    }

    fn rows(&self, table: &str, after: u64, removed: bool) -> String {
        let state = self.state.0.lock().unwrap_or_else(|e| e.into_inner());
        let mut rows: Vec<&Row> = state
            .rows
            .iter()
            .filter(|r| r.table == table && r.ver > after && (removed || r.value.is_some()))
            .collect();
        if removed {
            rows.sort_by_key(|r| r.ver);
        } else {
            rows.sort_by(|a, b| a.key.cmp(&b.key));
        }
        let rows: Vec<String> = rows
            .iter()
            .map(|r| {
                let value = r
                    .value
                    .as_ref()
                    .map_or("\"tombstone\":true".to_owned(), |v| format!("\"value\":\"{v}\""));
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{}\",\"ver\":{},{value}}}",
                    r.key, r.ver
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{}}}",
            rows.join(","),
            state.ver,
            self.now_ms()
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap_or_else(|e| e.into_inner());
        if after > state.ver {
            return (410, "{}".to_owned());
        }
        while !state.rows.iter().any(|r| r.table == table && r.ver > after) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
        drop(state);
        (200, self.rows(table, after, true))
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(transaction) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let holds = transaction.get("precondition").list().iter().all(|p| {
            let state = self.state.0.lock().unwrap_or_else(|e| e.into_inner());
            let row = state
                .rows
                .iter()
                .find(|r| r.table == p.get("table").text() && r.key == p.get("key").text());
            let ver = row.filter(|r| r.value.is_some()).map_or(0, |r| r.ver);
            Some(ver) == p.get("ver").number()
        });
        if !holds {
            return (412, "{\"rows\":[]}".to_owned());
        }
        let mut ver = 0;
        for put in transaction.get("puts").list() {
            ver = self.put_base64(
                put.get("table").text(),
                put.get("key").text(),
                Some(put.get("value").text().to_owned()),
            );
        }
        (200, format!("{{\"ver\":{ver},\"nowMs\":{}}}", self.now_ms()))
    }
}
