//! A minimal HTTP/1.1 reader for stand-ins and callers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing declares.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.start_line.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request. Returns `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    message.complete = true;
    Some(message)
}

/// Reads a response, as far as it goes. Returns `None` if there is no complete head.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Some(message);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Some(message);
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Some(message);
            }
            if length == 0 {
                message.complete = true;
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = message.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
        message.body = vec![0; length];
        message.complete = reader.read_exact(&mut message.body).is_ok();
        return Some(message);
    }
    message.complete = reader.read_to_end(&mut message.body).is_ok();
    Some(message)
}

/// Sends `text` on a new connection and reads the response. Returns `None` if none came.
pub fn call(addr: SocketAddr, text: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _set = stream.set_read_timeout(Some(timeout));
    let _set = stream.set_nodelay(true);
    stream.write_all(text.as_bytes()).ok()?;
    read_response(&mut BufReader::new(stream))
}

/// Waits until `GET path` at `addr` is answered with 200.
pub fn wait_for_200(addr: SocketAddr, path: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        if call(addr, &text, Duration::from_secs(1)).is_some_and(|r| r.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
