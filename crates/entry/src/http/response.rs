//! Responses in the format of the OpenAI-compatible chat API.

use ::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body::Frame;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use volo_http::{body::Body, response::Response};

use super::request::{REQUEST_ID, SESSION_TICKET};
use crate::{
    ErrorKind, RequestError,
    channel::{ResponseHead, ResponsePart, Usage},
    state::InProgressGuard,
};

/// Response header with the version that served the request.
const MODEL_VERSION: &str = "x-model-version";

/// Builds one chunk of a streamed response.
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

fn sse_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

/// Formats a response part as server-sent events. Only a complete response ends
/// with `[DONE]`.
fn sse_text(request_id: &str, version: &str, part: ResponsePart) -> String {
    match part {
        ResponsePart::Head(_) => String::new(),
        ResponsePart::Text(text) => {
            let delta = json!({"content": String::from_utf8_lossy(&text)});
            sse_event(&chunk(request_id, version, &delta, None))
        }
        ResponsePart::End(usage) => {
            let mut last = chunk(request_id, version, &json!({}), Some("stop"));
            last["usage"] = usage_json(&usage);
            format!("{}data: [DONE]\n\n", sse_event(&last))
        }
        ResponsePart::Error(err) => {
            let body = err.body(request_id);
            format!("data: {}\n\n", String::from_utf8_lossy(&body))
        }
    }
}

type BodyItem = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

pub(super) fn stream_response(
    request_id: &str,
    head: ResponseHead,
    receiver: mpsc::Receiver<ResponsePart>,
    guard: InProgressGuard,
) -> Response {
    let mut response = Response::new(Body::from_stream(stream_body(
        request_id.to_owned(),
        head.version.clone(),
        receiver,
        guard,
    )));
    set_header(
        response.headers_mut(),
        header::CONTENT_TYPE,
        "text/event-stream",
    );
    set_header(response.headers_mut(), header::CACHE_CONTROL, "no-cache");
    set_response_headers(response.headers_mut(), request_id, &head);
    response
}

/// Streams the response body. The guard is held by the stream, so that a
/// graceful shutdown waits until the last byte is read.
fn stream_body(
    request_id: String,
    version: String,
    receiver: mpsc::Receiver<ResponsePart>,
    guard: InProgressGuard,
) -> impl Stream<Item = BodyItem> + Send + Sync + 'static {
    let state = (receiver, guard);
    let parts = stream::unfold(state, |(mut receiver, guard)| async move {
        let part = receiver.recv().await?;
        Some((part, (receiver, guard)))
    });
    parts.map(move |part| {
        let text = sse_text(&request_id, &version, part);
        Ok(Frame::data(Bytes::from(text)))
    })
}

/// Collects the parts of a response that is not streamed.
pub(super) async fn collected_response(
    request_id: &str,
    head: ResponseHead,
    mut receiver: mpsc::Receiver<ResponsePart>,
) -> Result<Response, RequestError> {
    let mut content: Vec<u8> = Vec::new();
    while let Some(part) = receiver.recv().await {
        match part {
            ResponsePart::Head(_) => {}
            ResponsePart::Text(text) => content.extend_from_slice(&text),
            ResponsePart::Error(err) => return Err(err),
            ResponsePart::End(usage) => {
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
                set_response_headers(response.headers_mut(), request_id, &head);
                return Ok(response);
            }
        }
    }
    Err(ErrorKind::EndpointsFailed("the response ended early".into()).into())
}

pub(super) fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn set_response_headers(
    headers: &mut HeaderMap,
    request_id: &str,
    head: &ResponseHead,
) {
    set_header(headers, HeaderName::from_static(REQUEST_ID), request_id);
    set_header(
        headers,
        HeaderName::from_static(MODEL_VERSION),
        &head.version,
    );
    if let Some(ticket) = &head.ticket {
        set_header(headers, HeaderName::from_static(SESSION_TICKET), ticket);
    }
}

pub(super) fn json_response<T>(status: StatusCode, body: &T) -> Response
where
    T: Serialize,
{
    let body =
        serde_json::to_vec(body).expect("encoding a response as JSON cannot fail");
    raw_response(status, Bytes::from(body))
}

pub(super) fn raw_response(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    set_header(
        response.headers_mut(),
        header::CONTENT_TYPE,
        "application/json",
    );
    response
}

/// Value of the `retry-after` header in seconds, rounded up.
fn retry_after_s(retry_after_ms: u64) -> u64 {
    retry_after_ms.div_ceil(1_000)
}

pub(super) fn error_response(err: &RequestError, request_id: &str) -> Response {
    let mut response = raw_response(err.status(), Bytes::from(err.body(request_id)));
    let headers = response.headers_mut();
    if !request_id.is_empty() {
        set_header(headers, HeaderName::from_static(REQUEST_ID), request_id);
    }
    if let Some(retry_after_ms) = err.retry_after_ms() {
        let seconds = retry_after_s(retry_after_ms).to_string();
        set_header(headers, header::RETRY_AFTER, &seconds);
    }
    if err.kind == ErrorKind::Draining {
        set_header(headers, header::CONNECTION, "close");
    }
    response
}
