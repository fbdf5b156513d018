//! Callers' HTTP interface.

use std::{sync::Arc, time::Duration};

use ::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use bytes::Bytes;
use claim::{ClaimState, Ending};
use config::{TeamSpec, check_name};
use futures::{Stream, StreamExt, stream};
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde_json::{Value, json};
use store::Health;
use tokio::sync::mpsc;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        Router,
        route::{get, post},
    },
};

use crate::{
    Entry, RequestError, Stage,
    answer::{Head, Piece, Usage},
    chat::{self, ChatBody, RequestHead},
    service::{self, ServiceRequest},
    session::SessionState,
    state::InProgress,
};

/// Header with the caller's own request id.
const REQUEST_ID: &str = "x-request-id";

/// Header with the session's name.
const SESSION_ID: &str = "x-session-id";

/// Header with the session's ticket.
const SESSION_TICKET: &str = "x-session-ticket";

/// Header with the time that the caller waits, ms.
const DEADLINE_MS: &str = "x-deadline-ms";

/// Header with the request's priority, 0 to 9.
const PRIORITY: &str = "x-priority";

/// Header with the key of non-idempotent work.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that tells which version answered.
const MODEL_VERSION: &str = "x-model-version";

/// Longest id that a caller may give, bytes.
const ID_MAX_BYTES: usize = 128;

/// Highest priority that a caller may give.
const PRIORITY_MAX: u64 = 9;

/// The routes.
pub(crate) fn router(entry: Arc<Entry>) -> Router {
    let handler = |entry: &Arc<Entry>| entry.clone();
    let (chat, services) = (handler(&entry), handler(&entry));
    let (requests, outcomes) = (handler(&entry), handler(&entry));
    let (models, ready) = (handler(&entry), handler(&entry));
    Router::new()
        .route(
            "/v1/chat/completions",
            post(move |req: Request| chat_call(chat, req)),
        )
        .route(
            "/v1/services/{*rest}",
            post(move |req: Request| service_call(services, req)),
        )
        .route(
            "/v1/requests/{id}",
            get(move |req: Request| request_state(requests, req)),
        )
        .route(
            "/v1/outcomes/{key}",
            get(move |req: Request| key_outcome(outcomes, req)),
        )
        .route(
            "/v1/models",
            get(move |req: Request| list_models(models, req)),
        )
        .route("/ready", get(move |_req: Request| readiness(ready)))
        .fallback(|_req: Request| async { error_response(&Stage::NotFound.into(), "") })
}

fn fresh_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// A header's text; one that is not plain ASCII is refused.
fn text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        Stage::BadRequest(format!("header {name} is not plain ASCII; correct it"))
    })?;
    Ok(Some(text))
}

/// An id that a caller chose: short, and safe in logs and paths.
fn id<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, RequestError> {
    let Some(text) = text(headers, name)? else {
        return Ok("");
    };
    let plain =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    if text.is_empty() || text.len() > ID_MAX_BYTES || !text.bytes().all(plain) {
        return Err(Stage::BadRequest(format!(
            "header {name} must be 1 to {ID_MAX_BYTES} letters, digits, '.', '_', '-' or ':'"
        ))
        .into());
    }
    Ok(text)
}

fn number(
    headers: &HeaderMap,
    name: &str,
    min: u64,
    max: u64,
) -> Result<Option<u64>, RequestError> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(Some(number)),
        _ => Err(Stage::BadRequest(format!(
            "header {name} must be a whole number from {min} to {max}"
        ))
        .into()),
    }
}

fn bearer(entry: &Entry, headers: &HeaderMap) -> Result<TeamSpec, RequestError> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let team = token.and_then(|token| entry.authenticate(token));
    team.ok_or_else(|| Stage::Unauthorized.into())
}

/// What must hold before any request is looked at.
fn check_ready(entry: &Entry) -> Result<(), RequestError> {
    if entry.node.is_leaving() {
        return Err(Stage::Leaving.into());
    }
    match entry.node.health() {
        Health::Fresh | Health::StoreDown => Ok(()),
        Health::Empty | Health::CutOff => Err(Stage::NotReady.into()),
    }
}

fn read_head(
    entry: &Entry,
    headers: &HeaderMap,
    request_id: &str,
) -> Result<RequestHead, RequestError> {
    check_ready(entry)?;
    let team = bearer(entry, headers)?;
    let settings = &entry.node.settings.entry;
    let deadline_ms = number(headers, DEADLINE_MS, 1, settings.deadline_max_ms)?;
    let ticket = text(headers, SESSION_TICKET)?;
    let session = id(headers, SESSION_ID)?;
    let session = SessionState::read(entry, &team.name, session, ticket)?;
    let priority = number(headers, PRIORITY, 0, PRIORITY_MAX)?.unwrap_or(0);
    let started = entry.node.now();
    Ok(RequestHead {
        request_id: request_id.to_owned(),
        client_id: id(headers, REQUEST_ID)?.to_owned(),
        deadline: started.plus(deadline_ms.unwrap_or(settings.deadline_ms)),
        session,
        team,
        started,
        priority: priority as u8,
    })
}

async fn read_body(entry: &Entry, body: Body) -> Result<Bytes, RequestError> {
    let settings = &entry.node.settings.entry;
    let max = settings.body_max_bytes;
    let limit = Duration::from_millis(settings.body_timeout_ms);
    let collected =
        tokio::time::timeout(limit, Limited::new(body, max).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(Stage::BodyTooLarge(max).into())
        }
        Ok(Err(_)) | Err(_) => Err(Stage::BodyBroken.into()),
    }
}

async fn chat_call(entry: Arc<Entry>, request: Request) -> Response {
    let request_id = fresh_id();
    let guard = entry.begin();
    entry.node.metrics.count("request");
    match chat_answer(&entry, request, &request_id, guard).await {
        Ok(response) => response,
        Err(err) => {
            entry.node.metrics.count("refused");
            error_response(&err, &request_id)
        }
    }
}

async fn chat_answer(
    entry: &Arc<Entry>,
    request: Request,
    request_id: &str,
    guard: InProgress,
) -> Result<Response, RequestError> {
    let (parts, body) = request.into_parts();
    let head = read_head(entry, &parts.headers, request_id)?;
    let started = head.started;
    let body = read_body(entry, body).await?;
    let chat = ChatBody::parse(&body)?;
    let mut pieces = chat::start(entry, head, &chat, body)?;
    let first = pieces.recv().await;
    let answer_head = match first {
        Some(Piece::Head(head)) => head,
        Some(Piece::Error(err)) => return Err(err),
        _ => return Err(Stage::Failed("the answer did not start".into()).into()),
    };
    let waited_ms = entry.node.now().since(started);
    entry.node.metrics.time_ms("first_token", waited_ms);
    if chat.stream {
        Ok(stream_response(request_id, answer_head, pieces, guard))
    } else {
        whole_response(request_id, answer_head, pieces).await
    }
}

/// One chunk of a streamed answer, as the callers' clients expect it.
fn chunk(
    request_id: &str,
    version: &str,
    delta: &Value,
    finish: Option<&str>,
) -> Value {
    json!({
        "id": format!("chatcmpl-{request_id}"),
        "object": "chat.completion.chunk",
        "model": version,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    })
}

fn usage_json(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    })
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

/// Text of one piece on the stream.  Only a whole answer ends with `[DONE]`.
fn piece_text(request_id: &str, version: &str, piece: Piece) -> String {
    match piece {
        Piece::Head(_) => String::new(),
        Piece::Text(text) => {
            let delta = json!({"content": String::from_utf8_lossy(&text)});
            event(&chunk(request_id, version, &delta, None))
        }
        Piece::End(usage) => {
            let mut last = chunk(request_id, version, &json!({}), Some("stop"));
            last["usage"] = usage_json(&usage);
            format!("{}data: [DONE]\n\n", event(&last))
        }
        Piece::Error(err) => {
            let body = err.body(request_id);
            format!("data: {}\n\n", String::from_utf8_lossy(&body))
        }
    }
}

type BodyItem = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

fn stream_response(
    request_id: &str,
    head: Head,
    pieces: mpsc::Receiver<Piece>,
    guard: InProgress,
) -> Response {
    let mut response = Response::new(Body::from_stream(stream_body(
        request_id.to_owned(),
        head.version.clone(),
        pieces,
        guard,
    )));
    set(
        response.headers_mut(),
        header::CONTENT_TYPE,
        "text/event-stream",
    );
    set(response.headers_mut(), header::CACHE_CONTROL, "no-cache");
    set_head(response.headers_mut(), request_id, &head);
    response
}

/// The stream of a body; the guard goes with it, so that a planned stop waits
/// until the last byte is taken.
fn stream_body(
    request_id: String,
    version: String,
    pieces: mpsc::Receiver<Piece>,
    guard: InProgress,
) -> impl Stream<Item = BodyItem> + Send + Sync + 'static {
    let state = (pieces, guard);
    let texts = stream::unfold(state, |(mut pieces, guard)| async move {
        let piece = pieces.recv().await?;
        Some((piece, (pieces, guard)))
    });
    let frames = texts.map(move |piece| {
        Ok(Frame::data(Bytes::from(piece_text(
            &request_id,
            &version,
            piece,
        ))))
    });
    frames.boxed_sync()
}

/// Boxes a stream that is also `Sync`, which the HTTP library asks for.
trait BoxedSync: Stream + Sized {
    fn boxed_sync(
        self,
    ) -> std::pin::Pin<Box<dyn Stream<Item = Self::Item> + Send + Sync>>
    where
        Self: Send + Sync + 'static,
    {
        Box::pin(self)
    }
}

impl<S> BoxedSync for S where S: Stream {}

async fn whole_response(
    request_id: &str,
    head: Head,
    mut pieces: mpsc::Receiver<Piece>,
) -> Result<Response, RequestError> {
    let mut content: Vec<u8> = Vec::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Head(_) => {}
            Piece::Text(text) => content.extend_from_slice(&text),
            Piece::Error(err) => return Err(err),
            Piece::End(usage) => {
                let body = json!({
                    "id": format!("chatcmpl-{request_id}"),
                    "object": "chat.completion",
                    "model": head.version,
                    "choices": [{
                        "index": 0,
                        "message": {
                            "role": "assistant",
                            "content": String::from_utf8_lossy(&content),
                        },
                        "finish_reason": "stop",
                    }],
                    "usage": usage_json(&usage),
                });
                let mut response = json_response(StatusCode::OK, &body);
                set_head(response.headers_mut(), request_id, &head);
                return Ok(response);
            }
        }
    }
    Err(Stage::Failed("the answer broke off".into()).into())
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn set_head(headers: &mut HeaderMap, request_id: &str, head: &Head) {
    set(headers, HeaderName::from_static(REQUEST_ID), request_id);
    set(
        headers,
        HeaderName::from_static(MODEL_VERSION),
        &head.version,
    );
    if let Some(ticket) = &head.ticket {
        set(headers, HeaderName::from_static(SESSION_TICKET), ticket);
    }
}

fn json_response<T>(status: StatusCode, body: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).expect("an answer always encodes");
    raw_response(status, Bytes::from(body))
}

fn raw_response(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    set(
        response.headers_mut(),
        header::CONTENT_TYPE,
        "application/json",
    );
    response
}

/// Seconds of a `retry-after` header, rounded up.
fn retry_after_s(retry_after_ms: u64) -> u64 {
    retry_after_ms.div_ceil(1_000)
}

fn error_response(err: &RequestError, request_id: &str) -> Response {
    let mut response = raw_response(err.status(), Bytes::from(err.body(request_id)));
    let headers = response.headers_mut();
    if !request_id.is_empty() {
        set(headers, HeaderName::from_static(REQUEST_ID), request_id);
    }
    if let Some(retry_after_ms) = err.retry_after_ms() {
        let seconds = retry_after_s(retry_after_ms).to_string();
        set(headers, header::RETRY_AFTER, &seconds);
    }
    if err.stage == Stage::Leaving {
        set(headers, header::CONNECTION, "close");
    }
    response
}

async fn service_call(entry: Arc<Entry>, request: Request) -> Response {
    let request_id = fresh_id();
    let _guard = entry.begin();
    entry.node.metrics.count("request");
    match service_answer(&entry, request, &request_id).await {
        Ok(response) => response,
        Err(err) => error_response(&err, &request_id),
    }
}

async fn service_answer(
    entry: &Arc<Entry>,
    request: Request,
    request_id: &str,
) -> Result<Response, RequestError> {
    let (parts, body) = request.into_parts();
    let head = read_head(entry, &parts.headers, request_id)?;
    let key = id(&parts.headers, IDEMPOTENCY_KEY)?.to_owned();
    let rest = parts
        .uri
        .path()
        .strip_prefix("/v1/services/")
        .unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    check_name("service", name).map_err(|err| Stage::BadRequest(err.to_string()))?;
    let config = entry.config();
    let service = config.services.get(name).map(|entity| entity.value.clone());
    let unknown = || Stage::Route(route::RouteError::UnknownModel(name.to_owned()));
    let service = service.ok_or_else(unknown)?;
    let body = read_body(entry, body).await?;
    let request = ServiceRequest {
        request_id: request_id.to_owned(),
        key: if key.is_empty() {
            request_id.to_owned()
        } else {
            key
        },
        path: format!("/{path}"),
        team: head.team,
        service,
        body,
        deadline: head.deadline,
        started: head.started,
    };
    // A call that may not be repeated goes on when its caller is gone.
    let task = tokio::spawn({
        let entry = entry.clone();
        async move { service::run(&entry, request).await }
    });
    let answer = task
        .await
        .map_err(|_| Stage::Failed("the call broke off".into()))??;
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = raw_response(status, answer.body);
    set(
        response.headers_mut(),
        HeaderName::from_static(REQUEST_ID),
        request_id,
    );
    let replayed = if answer.replayed { "yes" } else { "no" };
    set(
        response.headers_mut(),
        HeaderName::from_static("x-replayed"),
        replayed,
    );
    Ok(response)
}

fn last_segment(request: &Request) -> String {
    let path = request.uri().path();
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

/// The state of a request, by our id or the caller's own.
async fn request_state(entry: Arc<Entry>, request: Request) -> Response {
    let team = match bearer(&entry, request.headers()) {
        Ok(team) => team,
        Err(err) => return error_response(&err, ""),
    };
    let request_id = last_segment(&request);
    // Another team's request looks like one that never was.
    match entry.outcomes().get(&team.name, &request_id) {
        Some(outcome) => json_response(StatusCode::OK, &outcome),
        None => json_response(
            StatusCode::NOT_FOUND,
            &json!({
                "state": "unknown",
                "remedy": "this entry does not know the request; ask by idempotency key, or another entry",
            }),
        ),
    }
}

#[derive(Serialize)]
struct KeyOutcome {
    state: &'static str,
    request_id: String,
    status: Option<u16>,
    answer: Option<String>,
}

/// The outcome of a key of non-idempotent work, from the log's claims.
async fn key_outcome(entry: Arc<Entry>, request: Request) -> Response {
    let team = match bearer(&entry, request.headers()) {
        Ok(team) => team,
        Err(err) => return error_response(&err, ""),
    };
    let key = last_segment(&request);
    if !entry.node.claims.is_read(&team.name, &key) {
        return error_response(&Stage::NotReady.into(), "");
    }
    let outcome = match entry.node.claims.state(&team.name, &key) {
        ClaimState::Free => KeyOutcome {
            state: "not_run",
            request_id: String::new(),
            status: None,
            answer: None,
        },
        ClaimState::Running { claim } => KeyOutcome {
            state: "unknown",
            request_id: claim.request_id,
            status: None,
            answer: None,
        },
        ClaimState::Ended {
            claim,
            ending,
            status,
            answer,
        } => KeyOutcome {
            state: if ending == Ending::Done {
                "done"
            } else {
                "unknown"
            },
            request_id: claim.request_id,
            status: (ending == Ending::Done).then_some(status),
            answer: (!answer.is_empty()).then_some(answer),
        },
    };
    json_response(StatusCode::OK, &outcome)
}

/// Models and cascades that the team may name.
async fn list_models(entry: Arc<Entry>, request: Request) -> Response {
    let team = match bearer(&entry, request.headers()) {
        Ok(team) => team,
        Err(err) => return error_response(&err, ""),
    };
    let config = entry.config();
    let may_use = |model: &str| {
        let versions = config.versions.get(model);
        versions
            .is_some_and(|all| all.keys().any(|v| config.permits(&team.name, model, v)))
    };
    let models = config.models.keys().filter(|model| may_use(model));
    let names = models.chain(config.cascades.keys());
    let data: Vec<Value> = names
        .map(|id| json!({"id": id, "object": "model"}))
        .collect();
    json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
}

/// Whether the balancer should send requests here.
async fn readiness(entry: Arc<Entry>) -> Response {
    match check_ready(&entry) {
        Ok(()) => json_response(StatusCode::OK, &json!({"ready": true})),
        Err(err) => error_response(&err, ""),
    }
}
