//! A fake of the service that rates answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::{body::BodyConversion, request::Request, response::Response};

use crate::http::{any_port, empty, json, serve};

/// Rating of an answer that contains `bad`.
const BAD_RATING: f64 = 0.1;

/// Rating of a `small...` model's answer to a prompt that contains `hard`.
const WEAK_RATING: f64 = 0.3;

/// Rating of any other answer.
const GOOD_RATING: f64 = 0.9;

#[derive(Debug, Default)]
struct State {
    hang: AtomicBool,
    delay_ms: AtomicU64,
}

/// A handle to a rater that runs in this process.
///
/// Ratings depend on marker words: an answer that contains `bad` is rated as bad,
/// and the answer of a model named `small...` to a prompt that contains `hard` as
/// weak.
#[derive(Clone, Debug)]
pub struct RaterService {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Deserialize)]
struct RateBody {
    model: String,
    prompt: String,
    answer: String,
}

#[derive(Serialize)]
struct RatedBody {
    rating: f64,
}

impl RaterService {
    /// Starts the rater.
    pub async fn start() -> RaterService {
        let state: Arc<State> = Arc::default();
        let served = state.clone();
        let handler = move |request: Request| handle(served, request);
        let address = serve(any_port(), handler).await;
        RaterService { address, state }
    }

    /// Sets whether calls hang without an answer.
    pub fn set_hang(&self, hang: bool) {
        self.state.hang.store(hang, Ordering::Relaxed);
    }

    /// Sets the duration of a rating, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::Relaxed);
    }
}

async fn handle(state: Arc<State>, request: Request) -> Response {
    if state.hang.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let delay_ms = state.delay_ms.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let body = request.into_body().into_vec().await.unwrap_or_default();
    let Ok(rate) = serde_json::from_slice::<RateBody>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let rating = if rate.answer.contains("bad") {
        BAD_RATING
    } else if rate.model.starts_with("small") && rate.prompt.contains("hard") {
        WEAK_RATING
    } else {
        GOOD_RATING
    };
    json(StatusCode::OK, &RatedBody { rating })
}
