//! A fake of a plain service whose calls must not be repeated.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::StatusCode;
use serde::Serialize;
use volo_http::{body::BodyConversion, request::Request, response::Response};

use crate::http::{any_port, json, serve};

/// Faults that the service simulates.
#[derive(Clone, Debug, Default)]
pub struct PlainFaults {
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
    /// Runs calls but never answers.
    pub hang: bool,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u32>,
    faults: PlainFaults,
}

/// A handle to a service that runs in this process and counts the runs of each
/// idempotency key.
#[derive(Clone, Debug)]
pub struct PlainService {
    /// Address that it listens on.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Serialize)]
struct RunBody {
    key: String,
    run: u32,
    body: String,
}

impl PlainService {
    /// Starts the service.
    pub async fn start() -> PlainService {
        let inner: Arc<Mutex<Inner>> = Arc::default();
        let served = PlainService {
            address: any_port(),
            inner: inner.clone(),
        };
        let handler = move |request: Request| served.clone().handle(request);
        let address = serve(any_port(), handler).await;
        PlainService { address, inner }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the simulated faults.
    pub fn update_faults(&self, update: impl FnOnce(&mut PlainFaults)) {
        update(&mut self.lock().faults);
    }

    /// Number of runs of an idempotency key.
    pub fn runs(&self, key: &str) -> u32 {
        self.lock().runs.get(key).copied().unwrap_or(0)
    }

    /// Number of runs of each idempotency key.
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    async fn handle(self, request: Request) -> Response {
        let key = request.headers().get("idempotency-key");
        let key = key
            .and_then(|key| key.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let body = request.into_body().into_string().await.unwrap_or_default();
        let (run, faults) = {
            let mut inner = self.lock();
            let run = inner.runs.entry(key.clone()).or_default();
            *run += 1;
            (*run, inner.faults.clone())
        };
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        json(StatusCode::OK, &RunBody { key, run, body })
    }
}
