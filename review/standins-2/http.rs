//! Reads and writes messages of HTTP/1.1.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message. Returns `None` if the connection ends before the end of its head.
pub fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            if !line.is_empty() {
                line.clone_into(&mut message.first_line);
            }
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if is_response && message.status() / 100 == 1 {
        return read(reader, true);
    }
    let length: Option<usize> = message.header("content-length").and_then(|v| v.parse().ok());
    if message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
    } else if let Some(length) = length {
        message.body = vec![0; length];
        message.is_complete = reader.read_exact(&mut message.body).is_ok();
    } else if is_response {
        message.is_complete = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_complete = true;
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Sends a request over a new connection and reads the response, for at most `limit`.
pub fn call(addr: SocketAddr, text: &str, limit: Duration) -> Option<Message> {
    let end = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(
            end.saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1)),
        ))
        .ok()?;
    std::io::Write::write_all(&mut &stream, text.as_bytes()).ok()?;
    read(&mut BufReader::new(stream), true)
}
