//! The model engine's protocol: chat completions, load, orders.

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

/// Time between two reads of the engine's load, ms.
const LOAD_EVERY_MS: u64 = 200;

/// Failed reads after which the engine counts as having nothing loaded.
const LOAD_FAILURES: u32 = 3;

/// Longest wait for a load report, ms.
const LOAD_TIMEOUT_MS: u64 = 1_000;

#[derive(Deserialize)]
struct LoadBody {
    versions: Vec<String>,
    running: u32,
    queued: u32,
    slots: u32,
    token_us: u32,
}

/// A piece of an engine's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Piece {
    /// Text of one or more tokens.
    Text(String),
    /// The answer ended whole.
    End {
        /// Prompt tokens read.
        prompt_tokens: u32,
        /// Output tokens generated, all told.
        output_tokens: u32,
    },
}

/// Why the engine gave no answer, or not all of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EngineError {
    /// The connection could not be made, or the engine refused the request.
    Refused(String),
    /// The answer broke off.
    Broken(String),
}

/// Longest wait for the end of a body whose last event has come, ms.
const TAIL_MS: u64 = 1_000;

/// An answer under way.
pub(crate) struct Answer {
    /// `None` once the end mark came.
    events: Option<SseReader<Body>>,
    usage: Option<(u32, u32)>,
}

impl Answer {
    /// Sends a request and waits for the head of its answer.
    pub async fn start(agent: &Agent, body: Bytes) -> Result<Answer, EngineError> {
        let address = agent.node.settings.agent.endpoint_address;
        let uri = format!("http://{address}/v1/chat/completions");
        let request = agent.client.post(uri).body(Body::from(body));
        let response: Response = request
            .send()
            .await
            .map_err(|err| EngineError::Refused(err.to_string()))?;
        if !response.status().is_success() {
            return Err(EngineError::Refused(response.status().to_string()));
        }
        let events = SseReader::into_sse(response)
            .map_err(|err| EngineError::Refused(err.to_string()))?;
        Ok(Answer {
            events: Some(events),
            usage: None,
        })
    }

    /// The next piece.  Only the engine's own end mark makes an answer whole.
    pub async fn next(&mut self) -> Result<Piece, EngineError> {
        loop {
            let Some(events) = &mut self.events else {
                return Err(EngineError::Broken("the answer has ended".into()));
            };
            let event = events.read().await;
            let event = event.map_err(|err| EngineError::Broken(err.to_string()))?;
            let Some(event) = event else {
                return Err(EngineError::Broken("the stream ended early".into()));
            };
            let data = event.data().unwrap_or_default();
            if data == "[DONE]" {
                let (prompt_tokens, output_tokens) =
                    self.usage.take().ok_or_else(|| {
                        EngineError::Broken("the answer ended without its usage".into())
                    })?;
                self.free_connection();
                return Ok(Piece::End {
                    prompt_tokens,
                    output_tokens,
                });
            }
            let value: Value = serde_json::from_str(data).map_err(|err| {
                EngineError::Broken(format!("unreadable chunk: {err}"))
            })?;
            self.take_usage(&value);
            let text = value
                .pointer("/choices/0/delta/content")
                .and_then(Value::as_str);
            if let Some(text) = text {
                return Ok(Piece::Text(text.to_owned()));
            }
        }
    }

    /// Reads the body to its end, so that the connection can be used again;
    /// a new one for each request would cost more than the request.
    fn free_connection(&mut self) {
        if let Some(mut events) = self.events.take() {
            tokio::task::spawn_local(async move {
                let limit = Duration::from_millis(TAIL_MS);
                let rest = async { while let Ok(Some(_)) = events.read().await {} };
                let _ = tokio::time::timeout(limit, rest).await;
            });
        }
    }

    fn take_usage(&mut self, value: &Value) {
        let count = |name: &str| {
            let found = value.get("usage").and_then(|usage| usage.get(name));
            found.and_then(Value::as_u64).map(|count| count as u32)
        };
        if let Some(output) = count("completion_tokens") {
            self.usage = Some((count("prompt_tokens").unwrap_or(0), output));
        }
    }
}

/// Reads the engine's load for ever.  A plain service publishes none.
pub(crate) async fn poll_load(agent: Rc<Agent>) {
    if !agent.node.settings.agent.service.is_empty() {
        return;
    }
    let mut failures = 0;
    loop {
        match refresh_load(&agent).await {
            Ok(()) => failures = 0,
            Err(why) => {
                failures += 1;
                debug!("event=load_unread failures={failures} why=\"{why}\"");
                if failures >= LOAD_FAILURES {
                    *agent.load.borrow_mut() = Load::default();
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(LOAD_EVERY_MS)).await;
    }
}

/// Reads the engine's load now.
pub(crate) async fn refresh_load(agent: &Agent) -> Result<(), String> {
    let load = read_load(agent).await?;
    *agent.load.borrow_mut() = load;
    Ok(())
}

async fn read_load(agent: &Agent) -> Result<Load, String> {
    let address = agent.node.settings.agent.endpoint_address;
    let read = async {
        let request = agent.client.get(format!("http://{address}/v1/load"));
        let response: Response = request.send().await.map_err(|err| err.to_string())?;
        response
            .into_body()
            .into_vec()
            .await
            .map_err(|err| err.to_string())
    };
    let limit = Duration::from_millis(LOAD_TIMEOUT_MS);
    let body = tokio::time::timeout(limit, read)
        .await
        .map_err(|err| err.to_string())??;
    let body: LoadBody =
        serde_json::from_slice(&body).map_err(|err| err.to_string())?;
    Ok(Load {
        versions: body.versions.into_iter().collect(),
        running: body.running,
        queued: body.queued,
        slots: body.slots,
        token_us: body.token_us,
    })
}
