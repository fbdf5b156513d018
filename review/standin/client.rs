//! A client with one kept connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{find, parse_head};
use crate::record::Record;
use crate::sys::{connect_with, SocketSizes};

/// How a client reads an answer.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Number of bytes after which the client stops reading once.
    pub stop_after_bytes: usize,
    /// Time for which it does.
    pub stop: Duration,
    /// Most bytes of a read.
    pub step_bytes: usize,
    /// Pause after each read.
    pub pause: Duration,
}

/// Reads as fast as it can.
pub const AT_ONCE: Pace = Pace {
    stop_after_bytes: 0,
    stop: Duration::ZERO,
    step_bytes: 64 * 1024,
    pause: Duration::ZERO,
};

/// An answer, as far as it arrived.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// The body without the marks of chunks.
    pub body: Vec<u8>,
    /// Whether the answer arrived to its end.
    pub is_whole: bool,
    /// Why it did not, if so.
    pub fault: String,
}

pub struct Client {
    stream: TcpStream,
    record: Record,
}

/// A request without its key and its host, which are the same for all.
#[derive(Clone, Debug)]
pub struct Sent<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its end.
    pub headers: &'a str,
    pub body: &'a str,
}

impl Client {
    pub fn connect(
        to: SocketAddr,
        sizes: SocketSizes,
        record: &Record,
    ) -> io::Result<Client> {
        let stream = connect_with(to, sizes)?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            record: record.clone(),
        })
    }

    /// Sends a request and reads its answer until its deadline.
    pub fn send(&mut self, sent: &Sent<'_>, pace: Pace) -> io::Result<Answer> {
        let Sent {
            id,
            method,
            path,
            deadline_ms,
            headers,
            body,
        } = sent;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-a\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let started = Instant::now();
        self.stream.write_all(text.as_bytes())?;
        self.record.line(format!("sent      {id} {method} {path}"));
        let answer = self.read(Duration::from_millis(*deadline_ms), started, pace);
        let end = if answer.is_whole {
            "whole".to_owned()
        } else {
            answer.fault.clone()
        };
        self.record.line(format!(
            "answered  {id} status={} bytes={} {end} after {} ms",
            answer.status,
            answer.body.len(),
            started.elapsed().as_millis()
        ));
        Ok(answer)
    }

    fn read(&mut self, deadline: Duration, started: Instant, pace: Pace) -> Answer {
        let mut bytes = Vec::new();
        let mut stop = pace.stop;
        let mut part = vec![0; pace.step_bytes];
        loop {
            let mut answer = decode(&bytes);
            if answer.is_whole {
                return answer;
            }
            if bytes.len() >= pace.stop_after_bytes {
                std::thread::sleep(std::mem::take(&mut stop));
            }
            let left = deadline.saturating_sub(started.elapsed());
            let read = match left.is_zero() {
                true => Err(io::ErrorKind::TimedOut.into()),
                false => self
                    .stream
                    .set_read_timeout(Some(left))
                    .and_then(|()| self.stream.read(&mut part)),
            };
            match read {
                Ok(0) => answer.fault = "closed by the gateway".to_owned(),
                Ok(length) => {
                    bytes.extend_from_slice(&part[..length]);
                    std::thread::sleep(pace.pause);
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                    answer.fault = "reset by the gateway".to_owned();
                }
                Err(_) => answer.fault = "not there at the deadline".to_owned(),
            }
            return answer;
        }
    }
}

/// Decodes what has arrived of an answer.
fn decode(bytes: &[u8]) -> Answer {
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
        fault: String::new(),
    };
    let Some(end) = find(bytes, b"\r\n\r\n") else {
        return answer;
    };
    let (first, headers) = parse_head(&String::from_utf8_lossy(&bytes[..end]));
    answer.status = first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let value = |name: &str| {
        headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.clone())
    };
    let rest = &bytes[end + 4..];
    if let Some(length) =
        value("content-length").and_then(|text| text.parse::<usize>().ok())
    {
        answer.body = rest[..rest.len().min(length)].to_vec();
        answer.is_whole = rest.len() >= length;
    } else if value("transfer-encoding").is_some() {
        (answer.body, answer.is_whole) = decode_chunks(rest);
    }
    answer.headers = headers;
    answer
}

/// Returns the bytes of the chunks that have arrived, and whether the last one has.
fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(rest, b"\r\n") else {
            return (body, false);
        };
        let text = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(length) = usize::from_str_radix(text.trim(), 16) else {
            return (body, false);
        };
        let data = &rest[end + 2..];
        if data.len() < length + 2 {
            body.extend_from_slice(&data[..data.len().min(length)]);
            return (body, false);
        }
        if length == 0 {
            return (body, true);
        }
        body.extend_from_slice(&data[..length]);
        rest = &data[length + 2..];
    }
}
