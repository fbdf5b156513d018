//! The little HTTP/1.1 that the stand-ins speak.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request as a runner or the store reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads bytes up to the empty line that ends a head; `None` at the end of the connection.
pub fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(head));
        }
        let mut part = [0; 4096];
        let length = stream.read(&mut part)?;
        if length == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&part[..length]);
    }
}

/// Splits the lines of a head into its first line and the headers, with names in lowercase.
pub fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()));
    (first, headers.collect())
}

/// Reads a request with a body of a stated length; `None` at the end of the connection.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let (first, headers) = parse_head(&head);
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    request.body = read_exactly(stream, buffer, length.unwrap_or(0))?;
    Ok(Some(request))
}

/// Takes `length` bytes from the buffer and the connection.
pub fn read_exactly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        let mut part = [0; 16 * 1024];
        let read = stream.read(&mut part)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&part[..read]);
    }
    Ok(buffer.drain(..length).collect())
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut answer = head.into_bytes();
    answer.extend_from_slice(body);
    stream.write_all(&answer)
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
