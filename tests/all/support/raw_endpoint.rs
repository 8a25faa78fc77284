//! An endpoint that answers with bytes that the test chooses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::support::{caller, cluster};

/// How often one call is sent at most until an endpoint gets it.
const MAX_SENDS: usize = 100;

/// What endpoints answer. Clones share it.
#[derive(Clone, Default)]
pub(crate) struct RawResponse {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// What follows without end, until the agent closes the connection. Empty if nothing does.
    rest: Arc<Mutex<Vec<u8>>>,
}

impl RawResponse {
    /// Replaces what endpoints answer with `bytes`, after which they close the connection.
    pub(crate) fn set(&self, bytes: &str) {
        self.set_endless(bytes, "");
    }

    /// Replaces what endpoints answer with `bytes`, and then `rest` again and again.
    pub(crate) fn set_endless(&self, bytes: &str, rest: &str) {
        *self.bytes.lock().unwrap_or_else(PoisonError::into_inner) = bytes.as_bytes().to_vec();
        *self.rest.lock().unwrap_or_else(PoisonError::into_inner) = rest.as_bytes().to_vec();
    }

    /// Starts an endpoint.
    pub(crate) fn start_endpoint(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a local address");
        let response = self.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let response = response.clone();
                thread::spawn(move || response.answer(stream));
            }
        });
        addr
    }

    /// Starts a service `name` with so many endpoints.
    pub(crate) fn add_service(&self, cluster: &mut cluster::Cluster, name: &str, endpoints: usize) {
        let endpoints: Vec<(String, SocketAddr)> = (0..endpoints)
            .map(|n| (format!("{name}-{n}"), self.start_endpoint()))
            .collect();
        cluster.add_service(name, "/work", &endpoints);
    }

    fn answer(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        // The agent asks whether the endpoint accepts connections, without a request.
        if read_request(&mut reader).is_none() {
            return;
        }
        let bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let rest = self.rest.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut stream = reader.into_inner();
        // The agent may have left.
        let mut is_open = stream.write_all(&bytes).is_ok();
        while is_open && !rest.is_empty() {
            is_open = stream.write_all(&rest).is_ok();
        }
    }
}

/// Reads a request. Returns `None` if the connection ends before.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<()> {
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line).ok()? > 2 {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        line.clear();
    }
    reader.read_exact(&mut vec![0; length]).ok()
}

/// Calls a service of raw endpoints, again while none of them gets the call.
pub(crate) fn call(cluster: &cluster::Cluster, path: &str, body: &str) -> caller::Response {
    let headers = [("sycamorestile-organisation", "acme")];
    let answer = (0..MAX_SENDS).find_map(|_| {
        let answer = cluster.caller(0).call("POST", path, &headers, body);
        let answer = answer.expect("the entry responds");
        if answer.status == 503 {
            // An endpoint that failed lately is left out for a moment.
            thread::sleep(Duration::from_millis(50));
        }
        (answer.status != 503).then_some(answer)
    });
    answer.expect("an endpoint is asked")
}
