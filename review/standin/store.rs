//! A stand-in for the platform's store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_request, write_answer, Request};

#[derive(Default)]
struct Topic {
    /// Key and value by offset; the offsets have no gaps.
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
}

/// A store that runs in this process.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(store)
    }

    /// Appends a record, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key, value.as_bytes());
    }

    fn append(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut state = self.state.0.lock().unwrap();
        let records = &mut state.topics.entry(topic.to_owned()).or_default().records;
        records.push((key.to_owned(), value.to_vec()));
        let end = records.len();
        self.state.1.notify_all();
        end
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if write_answer(&mut stream, status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let topic = request.query_value("topic").unwrap_or_default();
        let number =
            |name: &str| request.query_value(name).and_then(|text| text.parse().ok());
        match request.path.as_str() {
            "/v1/log-newest" => ("200 OK", self.list(topic)),
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                self.read(topic, number("from").unwrap_or(0), wait)
            }
            "/v1/log-append" => self.append_record(topic, number("at"), &request.body),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn list(&self, topic: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let empty = Topic::default();
        let records = &state.topics.get(topic).unwrap_or(&empty).records;
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let items = items.join(",");
        format!(
            r#"{{"items":[{items}],"truncated":false,"end":{}}}"#,
            records.len()
        )
        .into_bytes()
    }

    fn read(
        &self,
        topic: &str,
        from: usize,
        wait: Duration,
    ) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = &state.topics.entry(topic.to_owned()).or_default().records;
            if from > records.len() {
                return ("410 Gone", br#"{"first":0}"#.to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    page.extend_from_slice(
                        &((1 + key.len() + value.len()) as u32).to_be_bytes(),
                    );
                    page.push(key.len() as u8);
                    page.extend_from_slice(key.as_bytes());
                    page.extend_from_slice(value);
                }
                return ("200 OK", page);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn append_record(
        &self,
        topic: &str,
        at: Option<usize>,
        body: &[u8],
    ) -> (&'static str, Vec<u8>) {
        let end = {
            let state = self.state.0.lock().unwrap();
            state
                .topics
                .get(topic)
                .map_or(0, |topic| topic.records.len())
        };
        if at.is_some_and(|at| at != end) {
            return (
                "412 Precondition Failed",
                format!(r#"{{"end":{end}}}"#).into_bytes(),
            );
        }
        let Some(key_length) = body.get(4).map(|length| usize::from(*length)) else {
            return ("400 Bad Request", Vec::new());
        };
        let key = String::from_utf8_lossy(&body[5..5 + key_length]).into_owned();
        let end = self.append(topic, &key, &body[5 + key_length..]);
        (
            "200 OK",
            format!(r#"{{"offset":{},"end":{end}}}"#, end - 1).into_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index > group.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
