//! Runs one attempt on a model engine.

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
    engine::{Answer, EngineError, Piece},
    service,
};

/// Runs an attempt in a task of its own.
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
        let out = Output::new(dispatch.id.clone(), sink);
        if dispatch.service.is_empty() {
            run_engine(&agent, permit, &dispatch, out, &cancel).await;
        } else {
            service::run(&agent, permit, &dispatch, out).await;
        }
        agent.cancels.borrow_mut().remove(&dispatch.id);
    });
}

/// Numbers, counts and sends the frames of one attempt.
pub(crate) struct Output {
    id: AttemptId,
    sink: FrameSink,
    checker: StreamChecksum,
}

impl Output {
    fn new(id: AttemptId, sink: FrameSink) -> Self {
        Output {
            id,
            sink,
            checker: StreamChecksum::default(),
        }
    }

    /// Sends a piece of the answer.
    pub async fn chunk(
        &mut self,
        payload: Bytes,
        tokens: u32,
    ) -> Result<(), SinkClosed> {
        self.begin_chunk(payload, tokens).await
    }

    /// Numbers and counts a piece; the returned future sends it and does not
    /// borrow, so that more of the answer can be read meanwhile.
    fn begin_chunk(
        &mut self,
        payload: Bytes,
        tokens: u32,
    ) -> impl Future<Output = Result<(), SinkClosed>> + use<> {
        let frame = Frame {
            id: self.id.clone(),
            seq: self.checker.count(),
            kind: FrameKind::Chunk,
            payload,
            tokens,
            ..Frame::default()
        };
        self.checker.push(&frame.payload, tokens);
        let sink = self.sink.clone();
        async move { sink.push(&frame).await }
    }

    /// Sends the end mark of a whole answer; `mark` says what the answer used.
    pub async fn end(&self, mark: Frame) -> Result<(), SinkClosed> {
        let frame = Frame {
            id: self.id.clone(),
            seq: self.checker.count(),
            kind: FrameKind::End,
            count: self.checker.count(),
            checksum: self.checker.checksum(),
            ..mark
        };
        self.sink.push(&frame).await
    }

    /// Sends the end of an attempt without a whole answer.
    pub async fn failed(&self, failure: &Failure) -> Result<(), SinkClosed> {
        let frame = Frame {
            id: self.id.clone(),
            seq: self.checker.count(),
            kind: FrameKind::Failed,
            payload: failure.encode(),
            ..Frame::default()
        };
        self.sink.push(&frame).await
    }

    /// Tells that the gate did not let the attempt start.
    pub async fn refused(&self, reason: Reason) {
        let refusal = wire::Refusal::from(reason);
        let failure = Failure {
            reason: refusal.reason,
            remedy: refusal.remedy,
            ran: Execution::NotRun,
            retry_after_ms: refusal.retry_after_ms,
        };
        let _ = self.failed(&failure).await;
    }

    /// Whether anything of the answer was sent.
    fn has_begun(&self) -> bool {
        self.checker.count() > 0
    }
}

/// How an engine's answer ended.
enum Ended {
    Whole {
        prompt_tokens: u32,
        output_tokens: u32,
    },
    Cancelled,
    Engine(EngineError),
    EntryGone,
    TooLate,
}

async fn run_engine(
    agent: &Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: &Dispatch,
    mut out: Output,
    cancel: &Notify,
) {
    let permit = match agent.with_gate(|gate, cx| gate.start(permit, cx)) {
        Ok(permit) => permit,
        Err(reason) => return out.refused(reason).await,
    };
    let left_ms = permit.work().deadline.since(agent.now());
    let limit = Duration::from_millis(left_ms);
    let ended = tokio::select! {
        ended = stream(agent, &permit, dispatch, &mut out) => ended,
        () = cancel.notified() => Ended::Cancelled,
        () = tokio::time::sleep(limit) => Ended::TooLate,
    };
    finish(agent, dispatch, &out, ended).await;
}

/// Passes the engine's answer on.  Dropping this future closes the engine's
/// connection, which cancels the generation there.
async fn stream(
    agent: &Agent,
    _permit: &Permit<Started>,
    dispatch: &Dispatch,
    out: &mut Output,
) -> Ended {
    let mut answer = match Answer::start(agent, engine_body(dispatch)).await {
        Ok(answer) => answer,
        Err(err) => return Ended::Engine(err),
    };
    let mut sending: Fuse<LocalBoxFuture<'static, Result<(), SinkClosed>>> =
        Fuse::terminated();
    let mut gathered = Gathered::default();
    let ended = loop {
        tokio::select! {
            sent = &mut sending => {
                if sent.is_err() {
                    return Ended::EntryGone;
                }
            }
            piece = answer.next() => match piece {
                Ok(Piece::Text(text)) => gathered.push(&text),
                Ok(Piece::End { prompt_tokens, output_tokens }) => {
                    break Ended::Whole { prompt_tokens, output_tokens };
                }
                Err(err) => break Ended::Engine(err),
            },
        }
        if sending.is_terminated()
            && let Some((text, tokens)) = gathered.take()
        {
            sending = out.begin_chunk(text, tokens).boxed_local().fuse();
        }
    };
    if !sending.is_terminated() && sending.await.is_err() {
        return Ended::EntryGone;
    }
    if let Some((text, tokens)) = gathered.take()
        && out.chunk(text, tokens).await.is_err()
    {
        return Ended::EntryGone;
    }
    ended
}

/// Tokens that came while the last frame was on its way: they share the next
/// one, so that a fast engine costs a frame a round trip, not a token.
#[derive(Default)]
struct Gathered {
    text: String,
    tokens: u32,
}

impl Gathered {
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

async fn finish(agent: &Agent, dispatch: &Dispatch, out: &Output, ended: Ended) {
    let id = &dispatch.id;
    let now = agent.now();
    let state = match ended {
        Ended::Whole {
            prompt_tokens,
            output_tokens,
        } => {
            // The copy stands here before the entry can tell anyone.
            hold_copy(
                agent,
                dispatch,
                line(dispatch, prompt_tokens, output_tokens),
            );
            let mark = Frame {
                tokens: output_tokens,
                prompt_tokens,
                status: 200,
                ..Frame::default()
            };
            let _ = out.end(mark).await;
            AttemptState::Done
        }
        Ended::Cancelled => AttemptState::Failed("cancelled".into()),
        Ended::EntryGone => {
            // A live entry bills or settles the request; a dead one's caller
            // had this much.
            if out.has_begun() {
                hold_copy(agent, dispatch, line(dispatch, 0, out.checker.tokens()));
            }
            AttemptState::Failed("the entry is gone".into())
        }
        Ended::TooLate => {
            let failure = failure(out, "deadline", "allow more time");
            let _ = out.failed(&failure).await;
            AttemptState::Failed("deadline".into())
        }
        Ended::Engine(err) => {
            let (reason, why) = match err {
                EngineError::Refused(why) => ("engine_refused", why),
                EngineError::Broken(why) => ("engine_broken", why),
            };
            let event = Event::new(reason)
                .with("request", &id.request_id)
                .with("why", &why);
            warn!("{event}");
            let failure = failure(out, reason, "try another endpoint");
            let _ = out.failed(&failure).await;
            AttemptState::Failed(why)
        }
    };
    agent.gate.borrow_mut().end(id, state, now);
}

fn failure(out: &Output, reason: &str, remedy: &str) -> Failure {
    Failure {
        reason: reason.into(),
        remedy: remedy.into(),
        ran: if out.has_begun() {
            Execution::Partial
        } else {
            Execution::Unknown
        },
        retry_after_ms: 0,
    }
}

/// What the attempt used, for the bill.
fn line(dispatch: &Dispatch, prompt_tokens: u32, output_tokens: u32) -> LineItem {
    let Dispatch {
        model,
        version,
        cost_micros,
        ..
    } = dispatch;
    LineItem::for_model(model, version, prompt_tokens, output_tokens, *cost_micros)
}

/// Holds a copy of the request's bill until its owner settles it, or for the
/// owner's sake if that is gone by then.
pub(crate) fn hold_copy(agent: &Agent, dispatch: &Dispatch, line: LineItem) {
    let mut lines: Vec<LineItem> =
        serde_json::from_str(&dispatch.prior_steps).unwrap_or_default();
    lines.push(line);
    let bill = Bill {
        request_id: dispatch.id.request_id.clone(),
        team: dispatch.team.clone(),
        at_ms: clock::Clock::wall(&agent.node.clock).0,
        lines,
    };
    let due = agent.now().plus(agent.node.settings.entry.bill_handover_ms);
    agent.node.bills().hold(bill, due, &dispatch.owner);
}

/// The caller's body, with what the engine needs set by us: the version, the
/// stream, the priority, and where to resume.
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
