//! Client for a model engine's chat completions and load reports.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use log::debug;
use serde::Deserialize;
use serde_json::Value;
use volo_http::{
    body::{Body, BodyConversion},
    client::sse::SseReader,
    response::Response,
};

use crate::{Agent, state::Load};

/// Interval between reads of the engine's load, ms.
const LOAD_INTERVAL_MS: u64 = 200;

/// Consecutive failed reads after which the engine is treated as having no
/// version loaded.
const LOAD_FAILURES_MAX: u32 = 3;

/// Timeout for a load report, ms.
const LOAD_TIMEOUT_MS: u64 = 1_000;

#[derive(Deserialize)]
struct LoadResponse {
    versions: Vec<String>,
    running: u32,
    queued: u32,
    slots: u32,
    token_us: u32,
}

/// An event in an engine's response stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ResponseEvent {
    /// Text of one or more tokens.
    Text(String),
    /// End of a complete response.
    End {
        /// Number of prompt tokens processed.
        prompt_tokens: u32,
        /// Total number of output tokens generated.
        output_tokens: u32,
    },
}

/// Reason why the engine gave no response or only part of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EngineError {
    /// The connection could not be made, or the engine refused the request.
    Rejected(String),
    /// The response stream failed or closed before its end.
    Interrupted(String),
}

/// Timeout for reading the rest of a body after its last event, ms.
const BODY_END_TIMEOUT_MS: u64 = 1_000;

/// A response that is being received.
pub(crate) struct EngineResponse {
    /// `None` after the `[DONE]` event.
    events: Option<SseReader<Body>>,
    usage: Option<(u32, u32)>,
}

impl EngineResponse {
    /// Sends a request and waits for the response head.
    pub async fn start(
        agent: &Agent,
        body: Bytes,
    ) -> Result<EngineResponse, EngineError> {
        let address = agent.node.settings.agent.endpoint_address;
        let uri = format!("http://{address}/v1/chat/completions");
        let request = agent.client.post(uri).body(Body::from(body));
        let response: Response = request
            .send()
            .await
            .map_err(|err| EngineError::Rejected(err.to_string()))?;
        if !response.status().is_success() {
            return Err(EngineError::Rejected(response.status().to_string()));
        }
        let events = SseReader::into_sse(response)
            .map_err(|err| EngineError::Rejected(err.to_string()))?;
        Ok(EngineResponse {
            events: Some(events),
            usage: None,
        })
    }

    /// Reads the next event.
    ///
    /// A response is complete only if the engine sent `[DONE]`; a closed
    /// connection alone is an error.
    pub async fn next(&mut self) -> Result<ResponseEvent, EngineError> {
        loop {
            let Some(events) = &mut self.events else {
                return Err(EngineError::Interrupted(
                    "read after the end of the response".into(),
                ));
            };
            let event = events.read().await;
            let event =
                event.map_err(|err| EngineError::Interrupted(err.to_string()))?;
            let Some(event) = event else {
                return Err(EngineError::Interrupted(
                    "the stream closed before the [DONE] event".into(),
                ));
            };
            let data = event.data().unwrap_or_default();
            if data == "[DONE]" {
                let (prompt_tokens, output_tokens) =
                    self.usage.take().ok_or_else(|| {
                        EngineError::Interrupted(
                            "the [DONE] event came without token usage".into(),
                        )
                    })?;
                self.drain_body();
                return Ok(ResponseEvent::End {
                    prompt_tokens,
                    output_tokens,
                });
            }
            let value: Value = serde_json::from_str(data).map_err(|err| {
                EngineError::Interrupted(format!("cannot parse stream event: {err}"))
            })?;
            self.record_usage(&value);
            let text = value
                .pointer("/choices/0/delta/content")
                .and_then(Value::as_str);
            if let Some(text) = text {
                return Ok(ResponseEvent::Text(text.to_owned()));
            }
        }
    }

    /// Reads the body to its end in the background, so that the connection
    /// returns to the pool.
    ///
    /// Opening a connection for each request would cost more than the request
    /// itself.
    fn drain_body(&mut self) {
        if let Some(mut events) = self.events.take() {
            tokio::task::spawn_local(async move {
                let limit = Duration::from_millis(BODY_END_TIMEOUT_MS);
                let rest = async { while let Ok(Some(_)) = events.read().await {} };
                let _ = tokio::time::timeout(limit, rest).await;
            });
        }
    }

    fn record_usage(&mut self, value: &Value) {
        let count = |name: &str| {
            let found = value.get("usage").and_then(|usage| usage.get(name));
            found.and_then(Value::as_u64).map(|count| count as u32)
        };
        if let Some(output) = count("completion_tokens") {
            self.usage = Some((count("prompt_tokens").unwrap_or(0), output));
        }
    }
}

/// Polls the engine's load forever.  Returns at once for a plain service, which
/// does not report its load.
pub(crate) async fn poll_load(agent: Rc<Agent>) {
    if !agent.node.settings.agent.service.is_empty() {
        return;
    }
    let mut failures = 0;
    loop {
        match refresh_load(&agent).await {
            Ok(()) => failures = 0,
            Err(message) => {
                failures += 1;
                debug!("event=load_unread failures={failures} why=\"{message}\"");
                if failures >= LOAD_FAILURES_MAX {
                    *agent.load.borrow_mut() = Load::default();
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(LOAD_INTERVAL_MS)).await;
    }
}

/// Reads the engine's load once and stores it.
pub(crate) async fn refresh_load(agent: &Agent) -> Result<(), String> {
    let load = fetch_load(agent).await?;
    *agent.load.borrow_mut() = load;
    Ok(())
}

async fn fetch_load(agent: &Agent) -> Result<Load, String> {
    let address = agent.node.settings.agent.endpoint_address;
    let fetch = async {
        let request = agent.client.get(format!("http://{address}/v1/load"));
        let response: Response = request.send().await.map_err(|err| err.to_string())?;
        response
            .into_body()
            .into_vec()
            .await
            .map_err(|err| err.to_string())
    };
    let limit = Duration::from_millis(LOAD_TIMEOUT_MS);
    let body = tokio::time::timeout(limit, fetch)
        .await
        .map_err(|err| err.to_string())??;
    let body: LoadResponse =
        serde_json::from_slice(&body).map_err(|err| err.to_string())?;
    Ok(Load {
        versions: body.versions.into_iter().collect(),
        running: body.running,
        queued: body.queued,
        slots: body.slots,
        token_us: body.token_us,
    })
}
