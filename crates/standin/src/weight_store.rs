//! A fake of the rate-limited weight store that engines load versions from.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::StatusCode;
use volo_http::{request::Request, response::Response};

use crate::http::{any_port, empty, serve};

/// A handle to a weight store that runs in this process.
#[derive(Clone, Debug)]
pub struct WeightStore {
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl WeightStore {
    /// Starts a store that serves one version per `interval_ms` milliseconds and
    /// refuses requests in between.
    pub async fn start(interval_ms: u64) -> WeightStore {
        let next_at = Arc::new(Mutex::new(Instant::now()));
        let handler = move |_request: Request| {
            let answer = answer(&next_at, Duration::from_millis(interval_ms));
            async move { answer }
        };
        WeightStore {
            address: serve(any_port(), handler).await,
        }
    }
}

fn answer(next_at: &Mutex<Instant>, interval: Duration) -> Response {
    let mut next_at = next_at.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    if now < *next_at {
        return empty(StatusCode::TOO_MANY_REQUESTS);
    }
    *next_at = now + interval;
    empty(StatusCode::OK)
}
