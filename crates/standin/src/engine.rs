//! A model engine: batching, queue, token pace, resume, cancel, fencing.

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

/// Tokens of an answer whose request names no bound.
const DEFAULT_TOKENS: u64 = 8;

/// Characters that count as one prompt token.
const CHARS_PER_TOKEN: usize = 4;

/// Longest tag of a prompt in an answer, characters.
const TAG_CHARS: usize = 24;

/// How the engine behaves; times in ms.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Requests generated at once.
    pub slots: u32,
    /// Time to the first token without a queue, ms.
    pub first_token_ms: u64,
    /// Time per token after the first, ms.
    pub token_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Ends streams without a word after so many tokens.
    pub disconnect_after_tokens: Option<u64>,
    /// Takes requests and answers none.
    pub hang: bool,
    /// Answers say that they are bad.
    pub bad_answers: bool,
    /// Weight store that a version is loaded from, if any.
    pub weights: Option<SocketAddr>,
    /// Prompts whose prefixes stay cached; a cached one starts sooner.
    pub cached_prompts: usize,
    /// Age of the load that is reported, ms.
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

/// What the engine did and does.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// Loaded versions, as `model@version`.
    pub versions: BTreeSet<String>,
    /// Requests in generation.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests started, by version.
    pub started: Vec<String>,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Orders carried out, as text.
    pub orders: Vec<String>,
}

#[derive(Debug, Default)]
struct Inner {
    state: EngineState,
    waiting: VecDeque<(u8, u64, Arc<Notify>)>,
    serial: u64,
    /// Tags of cached prompts, oldest first.
    cached: VecDeque<String>,
    /// Loads of before, oldest first: when, running, queued.
    loads: VecDeque<(Instant, u32, u32)>,
}

/// An engine in this process.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Where it listens.
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

/// A place in the batch; given back when dropped, also by a cancel.
struct Slot(Engine);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.state.running -= 1;
        let best =
            inner.waiting.iter().enumerate().max_by_key(
                |(_, (priority, serial, _))| (*priority, u64::MAX - serial),
            );
        if let Some(at) = best.map(|(at, _)| at)
            && let Some((_, _, notify)) = inner.waiting.remove(at)
        {
            inner.state.running += 1;
            notify.notify_one();
        }
    }
}

impl Engine {
    /// Starts an engine with some versions loaded.
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

    /// How it behaves.
    pub fn config(&self) -> EngineConfig {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes how it behaves.
    pub fn update_config(&self, update: impl FnOnce(&mut EngineConfig)) {
        update(&mut self.config.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// What it did and does.
    pub fn state(&self) -> EngineState {
        self.lock().state.clone()
    }

    /// Loads or unloads a version as a person at its console would.
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

    /// Running and queued as they were `lag_ms` ago, as far as is known.
    fn lagging_load(&self, lag_ms: u64) -> (u32, u32) {
        let mut inner = self.lock();
        let now = Instant::now();
        let load = (now, inner.state.running, inner.state.queued);
        inner.loads.push_back(load);
        let lag = Duration::from_millis(lag_ms);
        while inner.loads.len() > 1 && inner.loads[1].0 + lag <= now {
            inner.loads.pop_front();
        }
        let (_, running, queued) = inner.loads[0];
        (running, queued)
    }

    fn load(&self) -> Response {
        let config = self.config();
        let state = self.state();
        let (running, queued) = self.lagging_load(config.report_lag_ms);
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
        let slot = self.clone().enter(chat.priority).await;
        self.lock().state.started.push(chat.model.clone());
        let mut response = Response::new(Body::from_stream(generate(self, slot, chat)));
        let content_type = "text/event-stream".parse().expect("a valid header value");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        response
    }

    /// Waits for a place in the batch; higher priority goes first.
    async fn enter(self, priority: u8) -> Slot {
        let slots = self.config().slots;
        let notify = {
            let mut inner = self.lock();
            if inner.state.running < slots {
                inner.state.running += 1;
                None
            } else {
                inner.serial += 1;
                inner.state.queued += 1;
                let notify = Arc::new(Notify::new());
                let serial = inner.serial;
                inner.waiting.push_back((priority, serial, notify.clone()));
                Some(notify)
            }
        };
        if let Some(notify) = notify {
            let mut queued = Queued {
                engine: self.clone(),
                notify,
                entered: false,
            };
            queued.notify.notified().await;
            queued.entered = true;
            drop(queued);
        }
        Slot(self)
    }
}

/// Whether the weight store gave a version out; without one it is at hand.
async fn fetch_weights(weights: Option<SocketAddr>, version: &str) -> bool {
    let Some(address) = weights else {
        return true;
    };
    let request =
        Client::default().get(format!("http://{address}/v1/weights/{version}"));
    let answer: Result<Response, _> = request.send().await;
    answer.is_ok_and(|response| response.status().is_success())
}

/// A place in the queue; left again when the request is cancelled.
struct Queued {
    engine: Engine,
    notify: Arc<Notify>,
    entered: bool,
}

impl Drop for Queued {
    fn drop(&mut self) {
        let handed_over = {
            let mut inner = self.engine.lock();
            inner.state.queued -= 1;
            let before = inner.waiting.len();
            inner
                .waiting
                .retain(|(_, _, notify)| !Arc::ptr_eq(notify, &self.notify));
            before == inner.waiting.len()
        };
        // The slot came while the request was being cancelled: pass it on.
        if handed_over && !self.entered {
            drop(Slot(self.engine.clone()));
        }
    }
}

type Chunk = Result<http_body::Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

struct Generation {
    engine: Engine,
    _slot: Slot,
    chat: ChatBody,
    tag: String,
    prompt_tokens: u64,
    at: u64,
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
        .take(TAG_CHARS)
        .collect();
    let total = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let generation = Generation {
        engine,
        _slot: slot,
        prompt_tokens: prompt.len().div_ceil(CHARS_PER_TOKEN) as u64,
        at: chat.resume_tokens,
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
            Step::Cut => {
                let err = Box::<dyn std::error::Error + Send + Sync>::from("cut");
                (Err(err), None)
            }
        })
    });
    SyncStream(Mutex::new(Box::pin(steps)))
}

enum Step {
    Token(String),
    End(String),
    Cut,
}

/// A cached prompt starts so many times sooner.
const CACHED_DIVISOR: u64 = 4;

impl Generation {
    /// Whether the prompt was cached; it is from now on, among `most`.
    fn is_cached(&self, most: usize) -> bool {
        let mut inner = self.engine.lock();
        let known = inner.cached.iter().position(|tag| *tag == self.tag);
        if let Some(at) = known {
            inner.cached.remove(at);
        }
        inner.cached.push_back(self.tag.clone());
        while inner.cached.len() > most {
            inner.cached.pop_front();
        }
        known.is_some()
    }

    async fn step(&mut self) -> Step {
        let config = self.engine.config();
        if config.hang {
            std::future::pending::<()>().await;
        }
        if config
            .disconnect_after_tokens
            .is_some_and(|after| self.at >= after)
        {
            return Step::Cut;
        }
        if self.at >= self.total {
            let usage = json_value!({
                "choices": [{"delta": {}, "finish_reason": "stop"}],
                "usage": {
                    "prompt_tokens": self.prompt_tokens,
                    "completion_tokens": self.total,
                },
            });
            return Step::End(format!("data: {usage}\n\ndata: [DONE]\n\n"));
        }
        let first = self.at == self.chat.resume_tokens;
        let pause_ms = match first {
            true if self.is_cached(config.cached_prompts) => {
                config.first_token_ms / CACHED_DIVISOR
            }
            true => config.first_token_ms,
            false => config.token_ms,
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let mark = if config.bad_answers { "bad:" } else { "" };
        let text = format!("{mark}{}:{}:{} ", self.chat.model, self.tag, self.at);
        self.at += 1;
        let delta = json_value!({"choices": [{"delta": {"content": text}}]});
        Step::Token(format!("data: {delta}\n\n"))
    }
}

fn frame(text: &str) -> Chunk {
    Ok(http_body::Frame::data(Bytes::from(text.to_owned())))
}

/// Makes a stream shareable between threads, as the HTTP library asks.
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
