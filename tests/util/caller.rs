//! Calls as a team's program makes them.

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

/// What a caller sends.
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

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub version: String,
    pub ticket: Option<String>,
    pub retry_after: Option<String>,
    /// Text of the answer, if it is whole.
    pub text: Option<String>,
    /// Whatever text came.
    pub partial: String,
    /// `code/ran` of an error.
    pub error: Option<String>,
}

impl Answer {
    /// One line for a scenario's output; ids and times are left out.
    pub fn line(&self) -> String {
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

/// Makes a chat call and takes its whole answer.
///
/// `seen` is told of the text that came so far.
pub async fn chat(
    entry: SocketAddr,
    call: &ChatCall,
    seen: watch::Sender<String>,
) -> Answer {
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
    let numbers = [
        ("x-deadline-ms", call.deadline_ms),
        ("x-priority", call.priority),
    ];
    for (name, value) in numbers {
        if let Some(value) = value {
            request = request.header(name, value.to_string());
        }
    }
    let texts = [
        ("x-session-id", &call.session),
        ("x-session-ticket", &call.ticket),
    ];
    for (name, value) in texts {
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
            return Answer {
                error: Some(format!("unreachable {err}")),
                ..Answer::default()
            };
        }
    };
    let mut answer = head(&response);
    if call.stream && answer.status == 200 {
        read_stream(response, &mut answer, seen).await;
    } else {
        read_whole(response, &mut answer).await;
    }
    answer
}

/// Calls a plain service.
pub async fn service(
    entry: SocketAddr,
    token: &str,
    path: &str,
    key: &str,
    body: &str,
    deadline_ms: Option<u64>,
) -> Answer {
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
            return Answer {
                error: Some(format!("unreachable {err}")),
                ..Answer::default()
            };
        }
    };
    let mut answer = head(&response);
    let replayed = header(&response, "x-replayed").unwrap_or_default();
    let body = response.into_body().into_string().await.unwrap_or_default();
    match error_of(&body) {
        Some(error) => answer.error = Some(error),
        None => answer.text = Some(format!("replayed={replayed} {body}")),
    }
    answer
}

/// Gets a path and returns status and body.
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

fn head(response: &Response) -> Answer {
    Answer {
        status: response.status().as_u16(),
        version: header(response, "x-model-version").unwrap_or_default(),
        ticket: header(response, "x-session-ticket"),
        retry_after: header(response, "retry-after"),
        ..Answer::default()
    }
}

fn error_of(body: &str) -> Option<String> {
    let value: Value = serde_json::from_str(body).ok()?;
    let error = value.get("error")?;
    let code = error.get("code")?.as_str()?;
    let ran = error.get("ran")?.as_str()?;
    Some(format!("{code}/{ran}"))
}

async fn read_whole(response: Response, answer: &mut Answer) {
    let body = response.into_body().into_string().await.unwrap_or_default();
    if let Some(error) = error_of(&body) {
        answer.error = Some(error);
        return;
    }
    let value: Value = serde_json::from_str(&body).unwrap_or_default();
    let content = value
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    answer.text = content.map(str::to_owned);
}

async fn read_stream(
    response: Response,
    answer: &mut Answer,
    seen: watch::Sender<String>,
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
            done |= take_event(&event, answer);
            seen.send_replace(answer.partial.clone());
        }
    }
    if done && answer.error.is_none() {
        answer.text = Some(answer.partial.clone());
    }
}

/// Takes one event; tells whether it was the end mark.
fn take_event(event: &str, answer: &mut Answer) -> bool {
    let Some(data) = event.strip_prefix("data: ") else {
        return false;
    };
    if data == "[DONE]" {
        return true;
    }
    if let Some(error) = error_of(data) {
        answer.error = Some(error);
        return false;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(text) = value
        .pointer("/choices/0/delta/content")
        .and_then(Value::as_str)
    {
        answer.partial.push_str(text);
    }
    false
}
