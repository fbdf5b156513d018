//! A fake of the users' platform's keyed log, limited to what a gateway uses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::sync::watch;
use volo_http::{
    body::{Body, BodyConversion},
    request::Request,
    response::Response,
};

use crate::http::{any_port, empty, json as json_answer, query_number, serve};

/// Faults that the log simulates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KeyedLogFaults {
    /// Refuses all calls.
    pub down: bool,
    /// Accepts calls but never answers.
    pub hang: bool,
    /// Applies appends but never acknowledges them.
    pub lose_acks: bool,
    /// Refuses appends, but serves reads.
    pub read_only: bool,
}

/// Header with the number of restorations.
const EPOCH_HEADER: &str = "store-era";

/// A copy of the log's records; see [`KeyedLogService::restore`].
#[derive(Clone, Debug)]
pub struct KeyedLogCopy {
    topics: BTreeMap<String, Topic>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    /// Key and value by offset, without compacted records.
    records: BTreeMap<u64, (String, Bytes)>,
    /// Offset of the newest record of each key.
    newest: BTreeMap<String, u64>,
    /// Offset of the next record.
    end: u64,
    /// First offset that a read may start from.
    first: u64,
    /// Further items of each listing, as JSON text.
    also_listed: Vec<String>,
}

#[derive(Debug, Default)]
struct Inner {
    topics: BTreeMap<String, Topic>,
    faults: KeyedLogFaults,
    calls: u64,
    /// Number of restorations from a copy.
    epoch: u64,
}

/// A handle to a keyed log that runs in this process.
#[derive(Clone, Debug)]
pub struct KeyedLogService {
    /// Address that it listens on.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

impl KeyedLogService {
    /// Starts an empty log.
    pub async fn start() -> Self {
        let mut service = KeyedLogService {
            address: any_port(),
            inner: Arc::default(),
            changed: watch::Sender::new(0),
        };
        let served = service.clone();
        let handler = move |request: Request| served.clone().handle(request);
        service.address = serve(any_port(), handler).await;
        service
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the simulated faults.
    pub fn set_faults(&self, faults: KeyedLogFaults) {
        self.lock().faults = faults;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Number of calls received.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Appends a record, as operators and endpoints do; an empty value deletes
    /// the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key, Bytes::copy_from_slice(value.as_bytes()));
    }

    /// Adds an item, as JSON text of any form, to each listing of a topic.
    pub fn list_also(&self, topic: &str, item: &str) {
        let mut inner = self.lock();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        topic.also_listed.push(item.to_owned());
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let inner = self.lock();
        let topic = inner.topics.get(topic)?;
        let offset = topic.newest.get(key)?;
        let (_, value) = topic.records.get(offset)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Compacts a topic to the newest record of each key.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.lock().topics.get_mut(topic) {
            let newest: Vec<u64> = topic.newest.values().copied().collect();
            topic.records.retain(|offset, _| newest.contains(offset));
            topic.first = topic.end;
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> KeyedLogCopy {
        KeyedLogCopy {
            topics: self.lock().topics.clone(),
        }
    }

    /// Loses all records since `copy` was taken, as in a recovery drill.  Their
    /// offsets are assigned again, and the epoch rises by one.
    pub fn restore(&self, copy: &KeyedLogCopy) {
        let mut inner = self.lock();
        inner.topics = copy.topics.clone();
        inner.epoch += 1;
        drop(inner);
        self.changed.send_modify(|count| *count += 1);
    }

    fn append(&self, topic: &str, key: &str, value: Bytes) -> u64 {
        let end = {
            let mut inner = self.lock();
            let topic = inner.topics.entry(topic.to_owned()).or_default();
            let offset = topic.end;
            topic.end += 1;
            if value.is_empty() {
                topic.newest.remove(key);
            } else {
                topic.newest.insert(key.to_owned(), offset);
            }
            topic.records.insert(offset, (key.to_owned(), value));
            topic.end
        };
        self.changed.send_modify(|count| *count += 1);
        end
    }

    async fn handle(self, request: Request) -> Response {
        let mut response = self.answer(request).await;
        let epoch = HeaderValue::from(self.lock().epoch);
        response.headers_mut().insert(EPOCH_HEADER, epoch);
        response
    }

    async fn answer(&self, request: Request) -> Response {
        let faults = {
            let mut inner = self.lock();
            inner.calls += 1;
            inner.faults
        };
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let topic = query_text(&request, "topic").unwrap_or_default();
        match request.uri().path() {
            "/v1/log-read" => self.handle_read(&topic, &request).await,
            "/v1/log-newest" => self.handle_newest(&topic),
            "/v1/log-append" if faults.read_only => {
                empty(StatusCode::SERVICE_UNAVAILABLE)
            }
            "/v1/log-append" => self.handle_append(&topic, request, faults).await,
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_read(&self, topic: &str, request: &Request) -> Response {
        let from = query_number(request, "from").unwrap_or(0);
        let wait_ms = query_number(request, "wait_ms").unwrap_or(0);
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if self.lock().faults.hang {
                std::future::pending::<()>().await;
            }
            if let Some(answer) = self.page(topic, from, false) {
                return answer;
            }
            if tokio::time::timeout_at(deadline, changed.changed())
                .await
                .is_err()
            {
                let page = self.page(topic, from, true);
                return page.unwrap_or_else(|| empty(StatusCode::NOT_FOUND));
            }
        }
    }

    /// Encodes the records from an offset on; `None` if there are none and
    /// `allow_empty` is not set.
    fn page(&self, topic: &str, from: u64, allow_empty: bool) -> Option<Response> {
        let mut inner = self.lock();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        if from < topic.first || from > topic.end {
            let body = json!({ "first": topic.first });
            return Some(json_answer(StatusCode::GONE, &body));
        }
        if from >= topic.end && !allow_empty {
            return None;
        }
        let mut page = BytesMut::new();
        page.put_u64(topic.end);
        page.put_u64(topic.first);
        for (key, value) in topic.records.range(from..).map(|(_, record)| record) {
            page.put_u32((1 + key.len() + value.len()) as u32);
            page.put_u8(key.len() as u8);
            page.put_slice(key.as_bytes());
            page.put_slice(value);
        }
        Some(Response::new(Body::from(page.freeze())))
    }

    fn handle_newest(&self, topic: &str) -> Response {
        let mut inner = self.lock();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        let items = topic.newest.iter().map(|(key, offset)| {
            let (_, value) = &topic.records[offset];
            let value = STANDARD.encode(value);
            json!({ "key": key, "value": value, "offset": offset }).to_string()
        });
        let items: Vec<String> = items.chain(topic.also_listed.clone()).collect();
        let body = format!(
            r#"{{"items":[{}],"truncated":false,"end":{}}}"#,
            items.join(","),
            topic.end
        );
        Response::new(Body::from(body))
    }

    async fn handle_append(
        &self,
        topic: &str,
        request: Request,
        faults: KeyedLogFaults,
    ) -> Response {
        let expected_end = query_number(&request, "at");
        let body = request.into_body().into_bytes().await.unwrap_or_default();
        let end = self.lock().topics.entry(topic.to_owned()).or_default().end;
        if expected_end.is_some_and(|expected| expected != end) {
            let body = json!({ "end": end });
            return json_answer(StatusCode::PRECONDITION_FAILED, &body);
        }
        let Some((key, value)) = parse_record(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let end = self.append(topic, &key, value);
        if faults.lose_acks {
            std::future::pending::<()>().await;
        }
        let body = json!({ "offset": end - 1, "end": end });
        json_answer(StatusCode::OK, &body)
    }
}

/// Parses the key and value of the single record in an append's body.
fn parse_record(body: &Bytes) -> Option<(String, Bytes)> {
    let key_length = usize::from(*body.get(4)?);
    let key = body.get(5..5 + key_length)?;
    let value = body.slice(5 + key_length..);
    Some((String::from_utf8_lossy(key).into_owned(), value))
}

fn query_text(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1.to_owned())
}
