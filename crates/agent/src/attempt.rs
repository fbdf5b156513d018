//! Execution of one attempt on a model engine.

use std::{rc::Rc, time::Duration};

use bill::{Bill, LineItem};
use bytes::Bytes;
use futures::future::{Fuse, FusedFuture, FutureExt, LocalBoxFuture};
use gate::{Admitted, Permit, Reason, Started};
use log::warn;
use serde_json::Value;
use telemetry::Event;
use tokio::sync::Notify;
use wire::{
    AttemptId, AttemptState, Dispatch, Execution, Failure, Frame, FrameKind, FrameSink,
    SinkClosed, StreamChecksum,
};

use crate::{
    Agent,
    engine::{EngineError, EngineResponse, ResponseEvent},
    service,
};

/// Spawns a task that runs the attempt and streams its frames to `sink`.
pub(crate) fn spawn(
    agent: Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: Dispatch,
    sink: FrameSink,
) {
    let cancel = Rc::new(Notify::new());
    agent
        .cancels
        .borrow_mut()
        .insert(dispatch.id.clone(), cancel.clone());
    tokio::task::spawn_local(async move {
        let out = FrameWriter::new(dispatch.id.clone(), sink);
        if dispatch.service.is_empty() {
            run_engine(&agent, permit, &dispatch, out, &cancel).await;
        } else {
            service::run(&agent, permit, &dispatch, out).await;
        }
        agent.cancels.borrow_mut().remove(&dispatch.id);
    });
}

/// Writes the frames of one attempt, with their sequence numbers and checksum.
pub(crate) struct FrameWriter {
    id: AttemptId,
    sink: FrameSink,
    checksum: StreamChecksum,
}

impl FrameWriter {
    fn new(id: AttemptId, sink: FrameSink) -> Self {
        FrameWriter {
            id,
            sink,
            checksum: StreamChecksum::default(),
        }
    }

    /// Sends a chunk of the response.
    pub async fn send_chunk(
        &mut self,
        payload: Bytes,
        tokens: u32,
    ) -> Result<(), SinkClosed> {
        self.start_chunk(payload, tokens).await
    }

    /// Assigns the next sequence number to a chunk and returns a future that
    /// sends it.
    ///
    /// The future does not borrow the writer, so the caller can read more of
    /// the response while the chunk is in flight.
    fn start_chunk(
        &mut self,
        payload: Bytes,
        tokens: u32,
    ) -> impl Future<Output = Result<(), SinkClosed>> + use<> {
        let frame = Frame {
            id: self.id.clone(),
            seq: self.checksum.count(),
            kind: FrameKind::Chunk,
            payload,
            tokens,
            ..Frame::default()
        };
        self.checksum.push(&frame.payload, tokens);
        let sink = self.sink.clone();
        async move { sink.push(&frame).await }
    }

    /// Sends the final frame of a complete response; `frame` supplies its status
    /// and token counts.
    pub async fn send_end(&self, frame: Frame) -> Result<(), SinkClosed> {
        let frame = Frame {
            id: self.id.clone(),
            seq: self.checksum.count(),
            kind: FrameKind::End,
            count: self.checksum.count(),
            checksum: self.checksum.checksum(),
            ..frame
        };
        self.sink.push(&frame).await
    }

    /// Sends the final frame of an attempt that produced no complete response.
    pub async fn send_failure(&self, failure: &Failure) -> Result<(), SinkClosed> {
        let frame = Frame {
            id: self.id.clone(),
            seq: self.checksum.count(),
            kind: FrameKind::Failed,
            payload: failure.encode(),
            ..Frame::default()
        };
        self.sink.push(&frame).await
    }

    /// Reports that the gate refused to start the attempt.
    pub async fn send_refusal(&self, reason: Reason) {
        let refusal = wire::Refusal::from(reason);
        let failure = Failure {
            reason: refusal.reason,
            remedy: refusal.remedy,
            ran: Execution::NotRun,
            retry_after_ms: refusal.retry_after_ms,
        };
        let _ = self.send_failure(&failure).await;
    }

    /// Returns whether any part of the response was sent.
    fn has_sent_chunk(&self) -> bool {
        self.checksum.count() > 0
    }
}

/// Result of an attempt on an engine.
enum Outcome {
    /// The engine sent a complete response.
    Complete {
        prompt_tokens: u32,
        output_tokens: u32,
    },
    /// The entry cancelled the attempt.
    Cancelled,
    /// The engine failed.
    Engine(EngineError),
    /// A frame could not be delivered to the entry.
    EntryDisconnected,
    /// The caller's deadline passed.
    DeadlineExceeded,
}

async fn run_engine(
    agent: &Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: &Dispatch,
    mut out: FrameWriter,
    cancel: &Notify,
) {
    let permit = match agent.with_gate(|gate, cx| gate.start(permit, cx)) {
        Ok(permit) => permit,
        Err(reason) => return out.send_refusal(reason).await,
    };
    let left_ms = permit.work().deadline.since(agent.now());
    let limit = Duration::from_millis(left_ms);
    let outcome = tokio::select! {
        outcome = stream_response(agent, &permit, dispatch, &mut out) => outcome,
        () = cancel.notified() => Outcome::Cancelled,
        () = tokio::time::sleep(limit) => Outcome::DeadlineExceeded,
    };
    finish(agent, dispatch, &out, outcome).await;
}

/// Forwards the engine's response to the entry.
///
/// Dropping this future closes the connection to the engine, which cancels the
/// generation.
async fn stream_response(
    agent: &Agent,
    _permit: &Permit<Started>,
    dispatch: &Dispatch,
    out: &mut FrameWriter,
) -> Outcome {
    let mut response = match EngineResponse::start(agent, engine_body(dispatch)).await {
        Ok(response) => response,
        Err(err) => return Outcome::Engine(err),
    };
    let mut sending: Fuse<LocalBoxFuture<'static, Result<(), SinkClosed>>> =
        Fuse::terminated();
    let mut batch = TokenBatch::default();
    let outcome = loop {
        tokio::select! {
            sent = &mut sending => {
                if sent.is_err() {
                    return Outcome::EntryDisconnected;
                }
            }
            event = response.next() => match event {
                Ok(ResponseEvent::Text(text)) => batch.push(&text),
                Ok(ResponseEvent::End { prompt_tokens, output_tokens }) => {
                    break Outcome::Complete { prompt_tokens, output_tokens };
                }
                Err(err) => break Outcome::Engine(err),
            },
        }
        if sending.is_terminated()
            && let Some((text, tokens)) = batch.take()
        {
            sending = out.start_chunk(text, tokens).boxed_local().fuse();
        }
    };
    if !sending.is_terminated() && sending.await.is_err() {
        return Outcome::EntryDisconnected;
    }
    if let Some((text, tokens)) = batch.take()
        && out.send_chunk(text, tokens).await.is_err()
    {
        return Outcome::EntryDisconnected;
    }
    outcome
}

/// Tokens received while the previous frame was in flight.
///
/// They are sent together, so a fast engine costs one frame per round trip
/// instead of one per token.
#[derive(Default)]
struct TokenBatch {
    text: String,
    tokens: u32,
}

impl TokenBatch {
    fn push(&mut self, text: &str) {
        self.text.push_str(text);
        self.tokens += 1;
    }

    fn take(&mut self) -> Option<(Bytes, u32)> {
        if self.tokens == 0 {
            return None;
        }
        let tokens = std::mem::take(&mut self.tokens);
        Some((Bytes::from(std::mem::take(&mut self.text)), tokens))
    }
}

async fn finish(
    agent: &Agent,
    dispatch: &Dispatch,
    out: &FrameWriter,
    outcome: Outcome,
) {
    let id = &dispatch.id;
    let now = agent.now();
    let state = match outcome {
        Outcome::Complete {
            prompt_tokens,
            output_tokens,
        } => {
            // The copy must exist before the entry can report the result.
            hold_bill_copy(
                agent,
                dispatch,
                line_item(dispatch, prompt_tokens, output_tokens),
            );
            let frame = Frame {
                tokens: output_tokens,
                prompt_tokens,
                status: 200,
                ..Frame::default()
            };
            let _ = out.send_end(frame).await;
            AttemptState::Done
        }
        Outcome::Cancelled => AttemptState::Failed("cancelled".into()),
        Outcome::EntryDisconnected => {
            // A live entry bills or settles the request itself.  If the entry
            // died, its caller received the tokens counted so far.
            if out.has_sent_chunk() {
                hold_bill_copy(
                    agent,
                    dispatch,
                    line_item(dispatch, 0, out.checksum.tokens()),
                );
            }
            AttemptState::Failed("the connection to the entry was lost".into())
        }
        Outcome::DeadlineExceeded => {
            let failure = failure(out, "deadline", "use a longer deadline");
            let _ = out.send_failure(&failure).await;
            AttemptState::Failed("deadline".into())
        }
        Outcome::Engine(err) => {
            let (reason, detail) = match err {
                EngineError::Rejected(detail) => ("engine_refused", detail),
                EngineError::Interrupted(detail) => ("engine_broken", detail),
            };
            let event = Event::new(reason)
                .with("request", &id.request_id)
                .with("why", &detail);
            warn!("{event}");
            let failure = failure(out, reason, "try another endpoint");
            let _ = out.send_failure(&failure).await;
            AttemptState::Failed(detail)
        }
    };
    agent.gate.borrow_mut().end(id, state, now);
}

fn failure(out: &FrameWriter, reason: &str, remedy: &str) -> Failure {
    Failure {
        reason: reason.into(),
        remedy: remedy.into(),
        ran: if out.has_sent_chunk() {
            Execution::Partial
        } else {
            Execution::Unknown
        },
        retry_after_ms: 0,
    }
}

/// Creates the line item that bills the attempt.
fn line_item(dispatch: &Dispatch, prompt_tokens: u32, output_tokens: u32) -> LineItem {
    let Dispatch {
        model,
        version,
        cost_micros,
        ..
    } = dispatch;
    LineItem::for_model(model, version, prompt_tokens, output_tokens, *cost_micros)
}

/// Holds a copy of the request's bill until the owning entry settles it.
///
/// If the owner is gone after the handover time, this agent appends the copy
/// to the log instead.
pub(crate) fn hold_bill_copy(agent: &Agent, dispatch: &Dispatch, line_item: LineItem) {
    let mut line_items: Vec<LineItem> =
        serde_json::from_str(&dispatch.prior_lines).unwrap_or_default();
    line_items.push(line_item);
    let bill = Bill {
        request_id: dispatch.id.request_id.clone(),
        team: dispatch.team.clone(),
        at_ms: clock::Clock::wall(&agent.node.clock).0,
        lines: line_items,
    };
    let append_at = agent.now().plus(agent.node.settings.entry.bill_handover_ms);
    agent.node.bills().hold(bill, append_at, &dispatch.owner);
}

/// Builds the engine's request body from the caller's: sets the version,
/// streaming, the priority and, after an interrupted attempt, the text to resume
/// from.
fn engine_body(dispatch: &Dispatch) -> Bytes {
    let mut body: Value = serde_json::from_slice(&dispatch.body)
        .unwrap_or_else(|_| Value::Object(Default::default()));
    if let Value::Object(fields) = &mut body {
        let version = format!("{}@{}", dispatch.model, dispatch.version);
        fields.insert("model".into(), version.into());
        fields.insert("stream".into(), true.into());
        fields.insert("priority".into(), dispatch.priority.into());
        if dispatch.resume_tokens > 0 {
            fields.insert("resume_text".into(), dispatch.resume_text.as_str().into());
            fields.insert("resume_tokens".into(), dispatch.resume_tokens.into());
        }
    }
    Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
}
