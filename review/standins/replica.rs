//! A replica: answers requests as its behaviour says, and records what it ran.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use crate::{http, record};

/// What a replica does with a request that it runs. Returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Replica, &http::Message, &mut TcpStream) -> bool + Send + Sync>;

/// A request that ran.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: record::Record,
    behaviour: Behaviour,
}

impl Replica {
    pub fn start(id: &str, record: &record::Record, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            runs: Arc::default(),
            record: record.clone(),
            behaviour,
        };
        let accepting = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = accepting.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = http::read_request(&mut reader) {
            let Some(attempt) = req.header("x-attempt-id").map(str::to_owned) else {
                let refusal = b"HTTP/1.1 400 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                if writer.write_all(refusal).is_err() {
                    return;
                }
                continue;
            };
            if req.header("x-expected-replica").is_some_and(|id| id != self.id) {
                let text = format!(
                    "HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.line(&format!(
                "replica {} begins {} {} {attempt}",
                self.id,
                req.method(),
                req.target()
            ));
            self.runs
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .push(Run { attempt });
            if !(self.behaviour)(self, &req, &mut writer) {
                return;
            }
        }
    }

    /// Head of a success with the replica's signature, without the line that frames the body.
    pub fn head(&self, req: &http::Message) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Replica-Signature: s.{}\r\nKeep-Alive: timeout=5\r\n",
            req.header("x-attempt-id").unwrap_or_default(),
            self.id
        )
    }

    /// Sends a complete answer.
    pub fn answer(&self, req: &http::Message, writer: &mut TcpStream, body: &[u8]) -> bool {
        let head = format!("{}Content-Length: {}\r\n\r\n", self.head(req), body.len());
        writer
            .write_all(head.as_bytes())
            .and_then(|()| writer.write_all(body))
            .is_ok()
    }

    pub fn has_run(&self, attempt: &str) -> bool {
        self.runs
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .iter()
            .any(|r| r.attempt == attempt)
    }
}
