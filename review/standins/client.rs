//! Clients.

use std::ffi::c_void;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::{Duration, Instant};

use crate::http;

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-acme";

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, len: u32) -> i32;
    fn connect(fd: i32, addr: *const c_void, len: u32) -> i32;
}

/// Connects as over a link: with the segments of an Ethernet and a small window.
pub fn connect_over_link(addr: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(addr) = addr else { return None };
    let mut raw = [0_u8; 16];
    raw[0..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&addr.port().to_be_bytes());
    raw[4..8].copy_from_slice(&addr.ip().octets());
    let option = |fd: i32, level: i32, name: i32, value: i32| {
        let value: *const i32 = &value;
        // SAFETY: the value is an int and lives through the call.
        unsafe { setsockopt(fd, level, name, value.cast(), 4) }
    };
    // SAFETY: plain calls on a socket that is owned here.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        option(fd, SOL_SOCKET, SO_RCVBUF, 64 << 10);
        option(fd, IPPROTO_TCP, TCP_MAXSEG, 1_460);
        let raw: *const [u8; 16] = &raw;
        (connect(fd, raw.cast(), 16) == 0).then_some(stream)
    }
}

/// Text of a request.
pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// Not even a whole head.
    Nothing,
    /// A head, and fewer bytes than the answer has.
    Part { status: u16, bytes: usize, of: usize },
    /// A complete answer.
    Whole { status: u16, bytes: usize },
}

/// Reads an answer whose length its head states, at `per_second` bytes at most.
pub fn read_answer(stream: TcpStream, per_second: Option<usize>, until: Instant) -> Got {
    let _timeout = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut reader = BufReader::with_capacity(4_096, stream);
    // The head comes in one piece.
    loop {
        match reader.fill_buf() {
            Ok(b) if b.is_empty() => return Got::Nothing,
            Ok(_) => break,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                if Instant::now() > until {
                    return Got::Nothing;
                }
            }
            Err(_) => return Got::Nothing,
        }
    }
    let Some(head) = http::read_head(&mut reader) else {
        return Got::Nothing;
    };
    let status = head.status();
    let of: usize = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut bytes = 0;
    let begun = Instant::now();
    let mut buf = vec![0; 8 << 10];
    while bytes < of {
        match reader.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => {
                bytes += n;
                if let Some(rate) = per_second {
                    let due = Duration::from_secs_f64(bytes as f64 / rate as f64);
                    std::thread::sleep(due.saturating_sub(begun.elapsed()));
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
        if Instant::now() > until {
            break;
        }
    }
    if bytes == of {
        Got::Whole { status, bytes }
    } else {
        Got::Part { status, bytes, of }
    }
}

/// Reads a stream at `per_second` bytes at most. Returns its status, its bytes and whether it was complete.
pub fn read_stream(stream: TcpStream, per_second: usize, until: Instant) -> (u16, usize, bool) {
    let _timeout = stream.set_read_timeout(Some(
        until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1)),
    ));
    let mut reader = BufReader::with_capacity(4_096, stream);
    let Some(head) = http::read_head(&mut reader) else {
        return (0, 0, false);
    };
    let status = head.status();
    if status != 200 {
        return (status, 0, true);
    }
    let (mut bytes, begun) = (0, Instant::now());
    let mut tail: Vec<u8> = Vec::new();
    let mut buf = vec![0; 8 << 10];
    while Instant::now() < until {
        match reader.read(&mut buf) {
            Ok(0) | Err(_) => return (status, bytes, false),
            Ok(n) => {
                bytes += n;
                tail.extend_from_slice(&buf[..n]);
                if tail.ends_with(b"\r\n0\r\n\r\n") {
                    return (status, bytes, true);
                }
                tail.drain(..tail.len().saturating_sub(16));
                let due = Duration::from_secs_f64(bytes as f64 / per_second as f64);
                std::thread::sleep(due.saturating_sub(begun.elapsed()));
            }
        }
    }
    (status, bytes, false)
}
