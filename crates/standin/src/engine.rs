//! A fake model engine: batching, a priority queue, token timing, resumption,
//! cancellation and fencing.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{Stream, stream};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json as json_value};
use tokio::sync::Notify;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    request::Request,
    response::Response,
};

use crate::http::{any_port, empty, json, serve};

/// Length of an answer whose request sets no `max_tokens`, in tokens.
const DEFAULT_TOKENS: u64 = 8;

/// Bytes of the prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum length of the prompt tag in an answer, in characters.
const TAG_MAX_CHARS: usize = 24;

/// Behaviour of the engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Maximum number of concurrent generations.
    pub slots: u32,
    /// Time to the first token, without queueing, in milliseconds.
    pub first_token_ms: u64,
    /// Time per token after the first, in milliseconds.
    pub token_ms: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Aborts each stream after this many tokens.
    pub disconnect_after_tokens: Option<u64>,
    /// Accepts requests but never answers.
    pub hang: bool,
    /// Marks each token of an answer with `bad:`, which the rater rates as bad.
    pub bad_answers: bool,
    /// Weight store from which versions are loaded, if any.
    pub weights: Option<SocketAddr>,
    /// Number of prompts whose prefixes are cached; a cached prompt has a shorter
    /// time to the first token.
    pub cached_prompts: usize,
    /// Delay of the reported load, in milliseconds.
    pub report_lag_ms: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            slots: 8,
            first_token_ms: 5,
            token_ms: 2,
            checks_fencing: true,
            disconnect_after_tokens: None,
            hang: false,
            bad_answers: false,
            weights: None,
            cached_prompts: 0,
            report_lag_ms: 0,
        }
    }
}

/// State and history of the engine.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// Loaded versions, in the form `model@version`.
    pub versions: BTreeSet<String>,
    /// Requests that are being generated.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Versions of the started requests, oldest first.
    pub started: Vec<String>,
    /// Highest fencing number received.
    pub fence: u64,
    /// Executed orders, as `FENCE ORDER VERSION`.
    pub orders: Vec<String>,
}

#[derive(Debug, Default)]
struct Inner {
    state: EngineState,
    /// Queued requests: priority, serial number, and notification of a slot.
    waiting: VecDeque<(u8, u64, Arc<Notify>)>,
    last_serial: u64,
    /// Tags of cached prompts, oldest first.
    cached: VecDeque<String>,
    /// Recent loads, oldest first: time, running, queued.
    load_history: VecDeque<(Instant, u32, u32)>,
}

/// A handle to an engine that runs in this process.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Address that it listens on.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    config: Arc<Mutex<EngineConfig>>,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    messages: Vec<Value>,
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_tokens: u64,
}

#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    order: String,
    version: String,
}

#[derive(Serialize)]
struct LoadBody {
    versions: BTreeSet<String>,
    running: u32,
    queued: u32,
    slots: u32,
    token_us: u64,
    fence: u64,
}

/// A slot in the batch.  Dropping it, which also happens on cancellation, passes
/// it to the queued request with the highest priority.
struct Slot(Engine);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.state.running -= 1;
        let next =
            inner.waiting.iter().enumerate().max_by_key(
                |(_, (priority, serial, _))| (*priority, u64::MAX - serial),
            );
        if let Some(index) = next.map(|(index, _)| index)
            && let Some((_, _, notify)) = inner.waiting.remove(index)
        {
            inner.state.running += 1;
            notify.notify_one();
        }
    }
}

impl Engine {
    /// Starts an engine with the given versions loaded.
    pub async fn start(config: EngineConfig, versions: &[&str]) -> Engine {
        let inner: Arc<Mutex<Inner>> = Arc::default();
        let config = Arc::new(Mutex::new(config));
        let mut engine = Engine {
            address: any_port(),
            inner,
            config,
        };
        engine.lock().state.versions =
            versions.iter().map(|v| (*v).to_owned()).collect();
        let served = engine.clone();
        let handler = move |request: Request| served.clone().handle(request);
        engine.address = serve(any_port(), handler).await;
        engine
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The engine's behaviour.
    pub fn config(&self) -> EngineConfig {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes the engine's behaviour.
    pub fn update_config(&self, update: impl FnOnce(&mut EngineConfig)) {
        update(&mut self.config.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// A snapshot of the engine's state.
    pub fn state(&self) -> EngineState {
        self.lock().state.clone()
    }

    /// Loads or unloads a version directly, without an order.
    pub fn set_version(&self, version: &str, loaded: bool) {
        let versions = &mut self.lock().state.versions;
        if loaded {
            versions.insert(version.to_owned());
        } else {
            versions.remove(version);
        }
    }

    async fn handle(self, request: Request) -> Response {
        if self.config().hang {
            std::future::pending::<()>().await;
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/v1/load") => self.load(),
            (Method::POST, "/v1/orders") => self.order(request).await,
            (Method::POST, "/v1/chat/completions") => self.chat(request).await,
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Running and queued requests as of `lag_ms` ago, or as of the oldest record.
    fn delayed_load(&self, lag_ms: u64) -> (u32, u32) {
        let mut inner = self.lock();
        let now = Instant::now();
        let load = (now, inner.state.running, inner.state.queued);
        inner.load_history.push_back(load);
        let lag = Duration::from_millis(lag_ms);
        while inner.load_history.len() > 1 && inner.load_history[1].0 + lag <= now {
            inner.load_history.pop_front();
        }
        let (_, running, queued) = inner.load_history[0];
        (running, queued)
    }

    fn load(&self) -> Response {
        let config = self.config();
        let state = self.state();
        let (running, queued) = self.delayed_load(config.report_lag_ms);
        json(
            StatusCode::OK,
            &LoadBody {
                versions: state.versions,
                running,
                queued,
                slots: config.slots,
                token_us: config.token_ms * 1_000,
                fence: state.fence,
            },
        )
    }

    async fn order(&self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<OrderBody>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let config = self.config();
        if order.order == "load" && !fetch_weights(config.weights, &order.version).await
        {
            return empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let mut inner = self.lock();
        if config.checks_fencing && order.fence < inner.state.fence {
            return empty(StatusCode::CONFLICT);
        }
        inner.state.fence = inner.state.fence.max(order.fence);
        match order.order.as_str() {
            "load" => inner.state.versions.insert(order.version.clone()),
            _ => inner.state.versions.remove(&order.version),
        };
        inner
            .state
            .orders
            .push(format!("{} {} {}", order.fence, order.order, order.version));
        empty(StatusCode::OK)
    }

    async fn chat(self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        let Ok(chat) = serde_json::from_slice::<ChatBody>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if !self.lock().state.versions.contains(&chat.model) {
            return empty(StatusCode::NOT_FOUND);
        }
        let slot = self.clone().acquire_slot(chat.priority).await;
        self.lock().state.started.push(chat.model.clone());
        let mut response = Response::new(Body::from_stream(generate(self, slot, chat)));
        let content_type = "text/event-stream".parse().expect("a valid header value");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        response
    }

    /// Waits for a slot; higher priorities go first.
    async fn acquire_slot(self, priority: u8) -> Slot {
        let slots = self.config().slots;
        let notify = {
            let mut inner = self.lock();
            if inner.state.running < slots {
                inner.state.running += 1;
                None
            } else {
                inner.last_serial += 1;
                inner.state.queued += 1;
                let notify = Arc::new(Notify::new());
                let serial = inner.last_serial;
                inner.waiting.push_back((priority, serial, notify.clone()));
                Some(notify)
            }
        };
        if let Some(notify) = notify {
            let mut queued = QueuedRequest {
                engine: self.clone(),
                notify,
                acquired: false,
            };
            queued.notify.notified().await;
            queued.acquired = true;
            drop(queued);
        }
        Slot(self)
    }
}

/// Downloads a version from the weight store.  Returns whether it succeeded;
/// without a weight store it always does.
async fn fetch_weights(weights: Option<SocketAddr>, version: &str) -> bool {
    let Some(address) = weights else {
        return true;
    };
    let request =
        Client::default().get(format!("http://{address}/v1/weights/{version}"));
    let answer: Result<Response, _> = request.send().await;
    answer.is_ok_and(|response| response.status().is_success())
}

/// A place in the queue, given up when the request is cancelled.
struct QueuedRequest {
    engine: Engine,
    notify: Arc<Notify>,
    acquired: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let slot_assigned = {
            let mut inner = self.engine.lock();
            inner.state.queued -= 1;
            let before = inner.waiting.len();
            inner
                .waiting
                .retain(|(_, _, notify)| !Arc::ptr_eq(notify, &self.notify));
            before == inner.waiting.len()
        };
        // The slot was assigned while the request was being cancelled: free it.
        if slot_assigned && !self.acquired {
            drop(Slot(self.engine.clone()));
        }
    }
}

type Chunk = Result<http_body::Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

struct Generation {
    engine: Engine,
    _slot: Slot,
    chat: ChatBody,
    /// Start of the prompt without white space, echoed in each token.
    tag: String,
    prompt_tokens: u64,
    /// Index of the next token.
    position: u64,
    total: u64,
}

fn generate(
    engine: Engine,
    slot: Slot,
    chat: ChatBody,
) -> impl Stream<Item = Chunk> + Send + Sync + 'static {
    let prompt: String = chat
        .messages
        .iter()
        .filter_map(|message| message.get("content").and_then(Value::as_str))
        .collect::<Vec<_>>()
        .join(" ");
    let tag = prompt
        .chars()
        .filter(|c| !c.is_whitespace())
        .take(TAG_MAX_CHARS)
        .collect();
    let total = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let generation = Generation {
        engine,
        _slot: slot,
        prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
        position: chat.resume_tokens,
        tag,
        total,
        chat,
    };
    let steps = stream::unfold(Some(generation), |state| async move {
        let mut state = state?;
        let step = state.step().await;
        Some(match step {
            Step::Token(text) => (frame(&text), Some(state)),
            Step::End(text) => (frame(&text), None),
            Step::Abort => {
                let err =
                    Box::<dyn std::error::Error + Send + Sync>::from("stream aborted");
                (Err(err), None)
            }
        })
    });
    SyncStream(Mutex::new(Box::pin(steps)))
}

enum Step {
    Token(String),
    End(String),
    Abort,
}

/// Divisor of the time to the first token for a cached prompt.
const CACHED_DIVISOR: u64 = 4;

impl Generation {
    /// Returns whether the prompt was cached, and makes it the newest entry of a
    /// cache of `capacity` prompts.
    fn touch_cache(&self, capacity: usize) -> bool {
        let mut inner = self.engine.lock();
        let found = inner.cached.iter().position(|tag| *tag == self.tag);
        if let Some(index) = found {
            inner.cached.remove(index);
        }
        inner.cached.push_back(self.tag.clone());
        while inner.cached.len() > capacity {
            inner.cached.pop_front();
        }
        found.is_some()
    }

    async fn step(&mut self) -> Step {
        let config = self.engine.config();
        if config.hang {
            std::future::pending::<()>().await;
        }
        if config
            .disconnect_after_tokens
            .is_some_and(|after| self.position >= after)
        {
            return Step::Abort;
        }
        if self.position >= self.total {
            let usage = json_value!({
                "choices": [{"delta": {}, "finish_reason": "stop"}],
                "usage": {
                    "prompt_tokens": self.prompt_tokens,
                    "completion_tokens": self.total,
                },
            });
            return Step::End(format!("data: {usage}\n\ndata: [DONE]\n\n"));
        }
        let first = self.position == self.chat.resume_tokens;
        let delay_ms = match first {
            true if self.touch_cache(config.cached_prompts) => {
                config.first_token_ms / CACHED_DIVISOR
            }
            true => config.first_token_ms,
            false => config.token_ms,
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let prefix = if config.bad_answers { "bad:" } else { "" };
        let text = format!(
            "{prefix}{}:{}:{} ",
            self.chat.model, self.tag, self.position
        );
        self.position += 1;
        let delta = json_value!({"choices": [{"delta": {"content": text}}]});
        Step::Token(format!("data: {delta}\n\n"))
    }
}

fn frame(text: &str) -> Chunk {
    Ok(http_body::Frame::data(Bytes::from(text.to_owned())))
}

/// Makes a stream `Sync`, which the HTTP library requires.
struct SyncStream<S>(Mutex<std::pin::Pin<Box<S>>>);

impl<S> Stream for SyncStream<S>
where
    S: Stream,
{
    type Item = S::Item;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        inner.as_mut().poll_next(cx)
    }
}
