//! Answers, as callers' clients expect them.

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
    answer::{Head, Piece, Usage},
    state::InProgress,
};

/// Header that tells which version answered.
const MODEL_VERSION: &str = "x-model-version";

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

pub(super) fn stream_response(
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
    texts.map(move |piece| {
        let text = piece_text(&request_id, &version, piece);
        Ok(Frame::data(Bytes::from(text)))
    })
}

/// Gathers the pieces of an answer that is not streamed.
pub(super) async fn whole_response(
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
    Err(ErrorKind::EndpointsFailed("the answer broke off".into()).into())
}

pub(super) fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
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

pub(super) fn json_response<T>(status: StatusCode, body: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).expect("an answer always encodes");
    raw_response(status, Bytes::from(body))
}

pub(super) fn raw_response(status: StatusCode, body: Bytes) -> Response {
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

pub(super) fn error_response(err: &RequestError, request_id: &str) -> Response {
    let mut response = raw_response(err.status(), Bytes::from(err.body(request_id)));
    let headers = response.headers_mut();
    if !request_id.is_empty() {
        set(headers, HeaderName::from_static(REQUEST_ID), request_id);
    }
    if let Some(retry_after_ms) = err.retry_after_ms() {
        let seconds = retry_after_s(retry_after_ms).to_string();
        set(headers, header::RETRY_AFTER, &seconds);
    }
    if err.kind == ErrorKind::Leaving {
        set(headers, header::CONNECTION, "close");
    }
    response
}
