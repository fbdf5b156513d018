//! HTTP client for the callers' API of an entry.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::sync::watch;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    response::Response,
};

/// Parameters of a chat completion request.
#[derive(Clone, Debug, Default)]
pub struct ChatCall {
    pub token: String,
    pub model: String,
    pub prompt: String,
    pub tokens: Option<u64>,
    pub stream: bool,
    pub session: Option<String>,
    pub ticket: Option<String>,
    pub deadline_ms: Option<u64>,
    pub priority: Option<u64>,
}

/// Response to a chat or service call.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    pub status: u16,
    pub version: String,
    pub ticket: Option<String>,
    pub retry_after: Option<String>,
    /// Text of the response; `None` unless the response is complete.
    pub text: Option<String>,
    /// Streamed text received so far, complete or not.
    pub partial: String,
    /// `code/ran` of an error response.
    pub error: Option<String>,
}

impl CallResult {
    /// One line for a scenario's output, without ids and times.
    pub fn summary(&self) -> String {
        match (&self.error, &self.text) {
            (Some(error), _) => {
                let retry = if self.retry_after.is_some() {
                    " retry-after"
                } else {
                    ""
                };
                format!("{} {error}{retry}", self.status)
            }
            (None, Some(text)) => {
                format!("{} {} {}", self.status, self.version, text.trim())
            }
            (None, None) => format!("{} broken off", self.status),
        }
    }
}

/// Sends a chat request and reads the complete response.
///
/// `progress` receives the text streamed so far.
pub async fn chat(
    entry: SocketAddr,
    call: &ChatCall,
    progress: watch::Sender<String>,
) -> CallResult {
    let mut body = json!({
        "model": call.model,
        "messages": [{"role": "user", "content": call.prompt}],
        "stream": call.stream,
    });
    if let Some(tokens) = call.tokens {
        body["max_tokens"] = tokens.into();
    }
    let mut request = Client::default()
        .post(format!("http://{entry}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", call.token));
    let number_headers = [
        ("x-deadline-ms", call.deadline_ms),
        ("x-priority", call.priority),
    ];
    for (name, value) in number_headers {
        if let Some(value) = value {
            request = request.header(name, value.to_string());
        }
    }
    let text_headers = [
        ("x-session-id", &call.session),
        ("x-session-ticket", &call.ticket),
    ];
    for (name, value) in text_headers {
        if let Some(value) = value {
            request = request.header(name, value.as_str());
        }
    }
    let sent = request
        .body(Body::from(Bytes::from(body.to_string())))
        .send()
        .await;
    let response: Response = match sent {
        Ok(response) => response,
        Err(err) => {
            return CallResult {
                error: Some(format!("unreachable {err}")),
                ..CallResult::default()
            };
        }
    };
    let mut result = result_from_head(&response);
    if call.stream && result.status == 200 {
        read_stream(response, &mut result, progress).await;
    } else {
        read_body(response, &mut result).await;
    }
    result
}

/// Calls a plain service; an empty `key` sends no idempotency key.
pub async fn service(
    entry: SocketAddr,
    token: &str,
    path: &str,
    key: &str,
    body: &str,
    deadline_ms: Option<u64>,
) -> CallResult {
    let mut request = Client::default()
        .post(format!("http://{entry}/v1/services/{path}"))
        .header("authorization", format!("Bearer {token}"));
    if !key.is_empty() {
        request = request.header("idempotency-key", key.to_owned());
    }
    if let Some(deadline_ms) = deadline_ms {
        request = request.header("x-deadline-ms", deadline_ms.to_string());
    }
    let sent = request
        .body(Body::from(Bytes::from(body.to_owned())))
        .send()
        .await;
    let response: Response = match sent {
        Ok(response) => response,
        Err(err) => {
            return CallResult {
                error: Some(format!("unreachable {err}")),
                ..CallResult::default()
            };
        }
    };
    let mut result = result_from_head(&response);
    let replayed = header(&response, "x-replayed").unwrap_or_default();
    let body = response.into_body().into_string().await.unwrap_or_default();
    match parse_error(&body) {
        Some(error) => result.error = Some(error),
        None => result.text = Some(format!("replayed={replayed} {body}")),
    }
    result
}

/// Sends a GET request and returns the status and the body; the status is 0
/// if the entry is unreachable.
pub async fn get(entry: SocketAddr, token: &str, path: &str) -> (u16, String) {
    let sent = Client::default()
        .get(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .send()
        .await;
    let response: Response = match sent {
        Ok(response) => response,
        Err(err) => return (0, format!("unreachable {err}")),
    };
    let status = response.status().as_u16();
    (
        status,
        response.into_body().into_string().await.unwrap_or_default(),
    )
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn result_from_head(response: &Response) -> CallResult {
    CallResult {
        status: response.status().as_u16(),
        version: header(response, "x-model-version").unwrap_or_default(),
        ticket: header(response, "x-session-ticket"),
        retry_after: header(response, "retry-after"),
        ..CallResult::default()
    }
}

fn parse_error(body: &str) -> Option<String> {
    let value: Value = serde_json::from_str(body).ok()?;
    let error = value.get("error")?;
    let code = error.get("code")?.as_str()?;
    let ran = error.get("ran")?.as_str()?;
    Some(format!("{code}/{ran}"))
}

async fn read_body(response: Response, result: &mut CallResult) {
    let body = response.into_body().into_string().await.unwrap_or_default();
    if let Some(error) = parse_error(&body) {
        result.error = Some(error);
        return;
    }
    let value: Value = serde_json::from_str(&body).unwrap_or_default();
    let content = value
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    result.text = content.map(str::to_owned);
}

async fn read_stream(
    response: Response,
    result: &mut CallResult,
    progress: watch::Sender<String>,
) {
    let mut body = response.into_body();
    let mut buffer = String::new();
    let mut done = false;
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            let event = event.to_owned();
            buffer = rest.to_owned();
            done |= apply_event(&event, result);
            progress.send_replace(result.partial.clone());
        }
    }
    if done && result.error.is_none() {
        result.text = Some(result.partial.clone());
    }
}

/// Applies one server-sent event; returns true for the end marker `[DONE]`.
fn apply_event(event: &str, result: &mut CallResult) -> bool {
    let Some(data) = event.strip_prefix("data: ") else {
        return false;
    };
    if data == "[DONE]" {
        return true;
    }
    if let Some(error) = parse_error(data) {
        result.error = Some(error);
        return false;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(text) = value
        .pointer("/choices/0/delta/content")
        .and_then(Value::as_str)
    {
        result.partial.push_str(text);
    }
    false
}
