//! HTTP interface for callers.

mod request;
mod response;

use std::sync::Arc;

use ::http::{HeaderName, StatusCode};
use claim::{Ending, KeyState};
use config::check_name;
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::{
    request::Request,
    response::Response,
    server::{
        Router,
        route::{get, post},
    },
};

use self::{
    request::{
        IDEMPOTENCY_KEY, REQUEST_ID, authenticate, check_ready, header_id, read_body,
        read_context,
    },
    response::{
        collected_response, error_response, json_response, raw_response, set_header,
        stream_response,
    },
};
use crate::{
    Entry, ErrorKind, RequestError,
    channel::ResponsePart,
    chat::{self, ChatBody},
    service::{self, ServiceRequest},
    state::InProgressGuard,
};

/// Creates the router of the interface.
pub(crate) fn router(entry: Arc<Entry>) -> Router {
    let (chat, services) = (entry.clone(), entry.clone());
    let (requests, outcomes) = (entry.clone(), entry.clone());
    let (models, ready) = (entry.clone(), entry);
    Router::new()
        .route(
            "/v1/chat/completions",
            post(move |req: Request| handle_chat(chat, req)),
        )
        .route(
            "/v1/services/{*rest}",
            post(move |req: Request| handle_service(services, req)),
        )
        .route(
            "/v1/requests/{id}",
            get(move |req: Request| handle_request_state(requests, req)),
        )
        .route(
            "/v1/outcomes/{key}",
            get(move |req: Request| handle_key_outcome(outcomes, req)),
        )
        .route(
            "/v1/models",
            get(move |req: Request| handle_models(models, req)),
        )
        .route("/ready", get(move |_req: Request| handle_ready(ready)))
        .fallback(|_req: Request| async {
            error_response(&ErrorKind::NotFound.into(), "")
        })
}

fn new_request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

async fn handle_chat(entry: Arc<Entry>, request: Request) -> Response {
    let request_id = new_request_id();
    let guard = entry.track_request();
    entry.node.metrics.count("request");
    match chat_response(&entry, request, &request_id, guard).await {
        Ok(response) => response,
        Err(err) => {
            entry.node.metrics.count("refused");
            error_response(&err, &request_id)
        }
    }
}

async fn chat_response(
    entry: &Arc<Entry>,
    request: Request,
    request_id: &str,
    guard: InProgressGuard,
) -> Result<Response, RequestError> {
    let (parts, body) = request.into_parts();
    let context = read_context(entry, &parts.headers, request_id)?;
    let started = context.started;
    let body = read_body(entry, body, context.deadline).await?;
    let chat = ChatBody::parse(&body)?;
    let mut receiver = chat::start(entry, context, &chat, body)?;
    let first = receiver.recv().await;
    let head = match first {
        Some(ResponsePart::Head(head)) => head,
        Some(ResponsePart::Error(err)) => return Err(err),
        _ => {
            return Err(ErrorKind::EndpointsFailed(
                "the response did not start".into(),
            )
            .into());
        }
    };
    let waited_ms = entry.node.now().since(started);
    entry.node.metrics.time_ms("first_token", waited_ms);
    if chat.stream {
        Ok(stream_response(request_id, head, receiver, guard))
    } else {
        collected_response(request_id, head, receiver).await
    }
}

async fn handle_service(entry: Arc<Entry>, request: Request) -> Response {
    let request_id = new_request_id();
    let _guard = entry.track_request();
    entry.node.metrics.count("request");
    match service_response(&entry, request, &request_id).await {
        Ok(response) => response,
        Err(err) => error_response(&err, &request_id),
    }
}

async fn service_response(
    entry: &Arc<Entry>,
    request: Request,
    request_id: &str,
) -> Result<Response, RequestError> {
    let (parts, body) = request.into_parts();
    let context = read_context(entry, &parts.headers, request_id)?;
    let key = header_id(&parts.headers, IDEMPOTENCY_KEY)?.to_owned();
    let rest = parts
        .uri
        .path()
        .strip_prefix("/v1/services/")
        .unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    check_name("service", name)
        .map_err(|err| ErrorKind::BadRequest(err.to_string()))?;
    let config = entry.config();
    let service = config.services.get(name).map(|object| object.value.clone());
    let unknown =
        || ErrorKind::Selection(route::SelectionError::UnknownModel(name.to_owned()));
    let service = service.ok_or_else(unknown)?;
    let body = read_body(entry, body, context.deadline).await?;
    let request = ServiceRequest {
        request_id: request_id.to_owned(),
        key: if key.is_empty() {
            request_id.to_owned()
        } else {
            key
        },
        path: format!("/{path}"),
        team: context.team,
        service,
        body,
        deadline: context.deadline,
        started: context.started,
    };
    // A non-idempotent call continues when its caller disconnects.
    let task = tokio::spawn({
        let entry = entry.clone();
        async move { service::run(&entry, request).await }
    });
    let reply = task
        .await
        .map_err(|_| ErrorKind::EndpointsFailed("the call was aborted".into()))??;
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK);
    let mut response = raw_response(status, reply.body);
    set_header(
        response.headers_mut(),
        HeaderName::from_static(REQUEST_ID),
        request_id,
    );
    let replayed = if reply.replayed { "yes" } else { "no" };
    set_header(
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

/// Returns the state of a request by its assigned id or the caller's own id.
async fn handle_request_state(entry: Arc<Entry>, request: Request) -> Response {
    let team = match authenticate(&entry, request.headers()) {
        Ok(team) => team,
        Err(err) => return error_response(&err, ""),
    };
    let request_id = last_segment(&request);
    // A request of another team is reported as unknown.
    match entry.outcomes().get(&team.name, &request_id) {
        Some(outcome) => json_response(StatusCode::OK, &outcome),
        None => json_response(
            StatusCode::NOT_FOUND,
            &json!({
                "state": "unknown",
                "remedy": "this entry has no record of the request; query by idempotency key, or ask another entry",
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

/// Returns the outcome of an idempotency key from the claims in the log.
async fn handle_key_outcome(entry: Arc<Entry>, request: Request) -> Response {
    let team = match authenticate(&entry, request.headers()) {
        Ok(team) => team,
        Err(err) => return error_response(&err, ""),
    };
    let key = last_segment(&request);
    if !entry.node.claims.is_caught_up(&team.name, &key) {
        return error_response(&ErrorKind::NotReady.into(), "");
    }
    let outcome = match entry.node.claims.state(&team.name, &key) {
        KeyState::Free => KeyOutcome {
            state: "not_run",
            request_id: String::new(),
            status: None,
            answer: None,
        },
        KeyState::Running { claim } => KeyOutcome {
            state: "unknown",
            request_id: claim.request_id,
            status: None,
            answer: None,
        },
        KeyState::Ended {
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

/// Lists the models and cascades that the team may use.
async fn handle_models(entry: Arc<Entry>, request: Request) -> Response {
    let team = match authenticate(&entry, request.headers()) {
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

/// Reports to the load balancer whether this entry accepts requests.
async fn handle_ready(entry: Arc<Entry>) -> Response {
    match check_ready(&entry) {
        Ok(()) => json_response(StatusCode::OK, &json!({"ready": true})),
        Err(err) => error_response(&err, ""),
    }
}
