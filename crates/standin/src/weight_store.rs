//! The rate-limited weight store that engines load versions from.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::StatusCode;
use volo_http::{request::Request, response::Response};

use crate::http::{any_port, empty, serve};

/// A weight store in this process.
#[derive(Clone, Debug)]
pub struct WeightStore {
    /// Where it listens.
    pub address: SocketAddr,
}

impl WeightStore {
    /// Starts a store that gives one version out each `every_ms`, and refuses
    /// who asks sooner.
    pub async fn start(every_ms: u64) -> WeightStore {
        let free_at = Arc::new(Mutex::new(Instant::now()));
        let handler = move |_request: Request| {
            let answer = answer(&free_at, Duration::from_millis(every_ms));
            async move { answer }
        };
        WeightStore {
            address: serve(any_port(), handler).await,
        }
    }
}

fn answer(free_at: &Mutex<Instant>, every: Duration) -> Response {
    let mut free_at = free_at.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    if now < *free_at {
        return empty(StatusCode::TOO_MANY_REQUESTS);
    }
    *free_at = now + every;
    empty(StatusCode::OK)
}
