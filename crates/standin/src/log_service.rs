//! A fake of the platform's append-only log.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use serde::Serialize;
use tokio::sync::watch;
use volo_http::{body::BodyConversion, request::Request, response::Response};

use crate::http::{any_port, empty, json, query_number, serve};

/// Faults that the log simulates.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Refuses all calls.
    pub down: bool,
    /// Accepts calls but never answers.
    pub hang: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Number of appends that are applied but never acknowledged.
    pub lose_acks: u32,
    /// Refuses appends to streams whose name starts with this prefix; reads
    /// still work.
    pub refuse_appends: Option<String>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first record that is still held.
    first: u64,
    records: VecDeque<String>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Stream>,
    faults: LogFaults,
    appends: u64,
}

/// A handle to a log that runs in this process.
#[derive(Clone, Debug)]
pub struct LogService {
    /// Address that it listens on.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

#[derive(Serialize)]
struct RecordBody {
    offset: u64,
    body: String,
}

#[derive(Serialize)]
struct PageBody {
    first: u64,
    next: u64,
    records: Vec<RecordBody>,
}

#[derive(Serialize)]
struct AppendedBody {
    offset: u64,
}

#[derive(Serialize)]
struct TrimmedBody {
    first: u64,
}

impl LogService {
    /// Starts an empty log.
    pub async fn start() -> LogService {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let changed = watch::Sender::new(0);
        let served = LogService {
            address: any_port(),
            inner: inner.clone(),
            changed: changed.clone(),
        };
        let handler = move |request: Request| served.clone().handle(request);
        let address = serve(any_port(), handler).await;
        LogService {
            address,
            inner,
            changed,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the simulated faults.
    pub fn update_faults(&self, update: impl FnOnce(&mut LogFaults)) {
        update(&mut self.lock().faults);
    }

    /// Appends a record directly, without HTTP, and returns its offset.
    pub fn append(&self, stream: &str, body: &str) -> u64 {
        let mut inner = self.lock();
        inner.appends += 1;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back(body.to_owned());
        drop(inner);
        self.changed.send_modify(|count| *count += 1);
        offset
    }

    /// Drops records before offset `first`, as retention does.
    pub fn trim(&self, stream: &str, first: u64) {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        while stream.first < first && stream.records.pop_front().is_some() {
            stream.first += 1;
        }
    }

    /// Returns the records that a stream holds, with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        let inner = self.lock();
        inner.streams.get(stream).map_or_else(Vec::new, |stream| {
            let bodies = stream.records.iter().cloned();
            bodies
                .enumerate()
                .map(|(index, body)| (stream.first + index as u64, body))
                .collect()
        })
    }

    /// Number of appends to all streams.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    async fn handle(self, request: Request) -> Response {
        let faults = self.lock().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.uri().path().to_owned();
        let stream = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
            .map(str::to_owned);
        let Some(stream) = stream else {
            return empty(StatusCode::NOT_FOUND);
        };
        match *request.method() {
            Method::POST => self.handle_append(&stream, request).await,
            Method::GET => self.handle_read(&stream, &request).await,
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn handle_append(&self, stream: &str, request: Request) -> Response {
        let refused_prefix = self.lock().faults.refuse_appends.clone();
        if refused_prefix.is_some_and(|prefix| stream.starts_with(&prefix)) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let Ok(body) = request.into_body().into_string().await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let offset = self.append(stream, &body);
        let lost = {
            let mut inner = self.lock();
            let lost = inner.faults.lose_acks > 0;
            inner.faults.lose_acks = inner.faults.lose_acks.saturating_sub(1);
            lost
        };
        if lost {
            std::future::pending::<()>().await;
        }
        json(StatusCode::OK, &AppendedBody { offset })
    }

    async fn handle_read(&self, stream: &str, request: &Request) -> Response {
        let from = query_number(request, "from").unwrap_or(0);
        let max = query_number(request, "max").unwrap_or(100) as usize;
        let wait_ms = query_number(request, "wait_ms").unwrap_or(0);
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            changed.mark_unchanged();
            let page = self.page(stream, from, max);
            match page {
                Err(first) => return json(StatusCode::GONE, &TrimmedBody { first }),
                Ok(page) if !page.records.is_empty() => {
                    return json(StatusCode::OK, &page);
                }
                Ok(page) => {
                    let waited =
                        tokio::time::timeout_at(deadline, changed.changed()).await;
                    if waited.is_err() {
                        return json(StatusCode::OK, &page);
                    }
                }
            }
            if self.lock().faults.down {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }

    /// Reads up to `max` records from offset `from` on.
    ///
    /// # Errors
    ///
    /// The record at `from` has been trimmed; the error is the first held offset.
    fn page(&self, stream: &str, from: u64, max: usize) -> Result<PageBody, u64> {
        let inner = self.lock();
        let Some(stream) = inner.streams.get(stream) else {
            return Ok(PageBody {
                first: 0,
                next: 0,
                records: Vec::new(),
            });
        };
        if from < stream.first {
            return Err(stream.first);
        }
        let skip = (from - stream.first) as usize;
        let bodies = stream.records.iter().skip(skip).take(max);
        let records = bodies
            .enumerate()
            .map(|(index, body)| RecordBody {
                offset: from + index as u64,
                body: body.clone(),
            })
            .collect();
        Ok(PageBody {
            first: stream.first,
            next: stream.next(),
            records,
        })
    }
}
