//! Reading of HTTP/1.1 messages.

use std::io::{BufRead, Read};
use std::net::TcpStream;

pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(reader: &mut std::io::BufReader<TcpStream>) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 || !line.ends_with(b"\n") {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let headers = lines[1..].iter().filter_map(|l| l.split_once(':'));
    Some(Message {
        start: lines[0].clone(),
        headers: headers
            .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
            .collect(),
        body: Vec::new(),
    })
}

/// Reads a request with its body.
pub fn read_request(reader: &mut std::io::BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}
