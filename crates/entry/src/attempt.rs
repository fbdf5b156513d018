//! Executes one step of a request, retrying on other runners until an attempt
//! returns a complete response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bill::LineItem;
use bytes::Bytes;
use clock::Millis;
use log::{debug, info};
use route::{RunnerKey, RunnerOutcome, SelectionError, Target};
use telemetry::Event;
use wire::{
    Assembled, Assembler, AttemptId, AttemptState, CallError, Dispatch, Execution,
    Failure, Frame, FrameReceiver, Refusal,
};

use crate::{
    Entry, ErrorKind, RequestError,
    channel::{CallerDisconnected, ResponseHead, ResponsePart, ResponseSender},
    pick::PickOutcome,
};

/// Destination of a step's text: the caller directly, or a buffer until the
/// rating decides whether the caller receives it.
pub(crate) struct StepSink {
    sender: ResponseSender,
    head: Option<ResponseHead>,
    buffer: Option<Vec<Bytes>>,
}

impl StepSink {
    /// Forwards text to the caller as it arrives.
    pub fn streaming(sender: ResponseSender, head: ResponseHead) -> Self {
        StepSink {
            sender,
            head: Some(head),
            buffer: None,
        }
    }

    /// Holds text back until [`StepSink::flush`].
    pub fn buffered(sender: ResponseSender, head: ResponseHead) -> Self {
        StepSink {
            sender,
            head: Some(head),
            buffer: Some(Vec::new()),
        }
    }

    async fn send_text(&mut self, text: Bytes) -> Result<(), CallerDisconnected> {
        if let Some(buffer) = &mut self.buffer {
            buffer.push(text);
            return if self.sender.is_closed() {
                Err(CallerDisconnected)
            } else {
                Ok(())
            };
        }
        self.send_head().await?;
        self.sender
            .send(ResponsePart::Text(text))
            .await
            .map_err(|_| CallerDisconnected)
    }

    async fn send_head(&mut self) -> Result<(), CallerDisconnected> {
        if let Some(head) = self.head.take() {
            self.sender
                .send(ResponsePart::Head(head))
                .await
                .map_err(|_| CallerDisconnected)?;
        }
        Ok(())
    }

    /// Sends the buffered text, preceded by the response head if it has not
    /// been sent yet.
    pub async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        self.send_head().await?;
        for text in self.buffer.take().unwrap_or_default() {
            self.sender
                .send(ResponsePart::Text(text))
                .await
                .map_err(|_| CallerDisconnected)?;
        }
        Ok(())
    }
}

/// Parameters of one step of a request, shared by all its attempts.
pub(crate) struct StepRequest<'a> {
    pub request_id: &'a str,
    pub team: &'a str,
    pub model: &'a str,
    pub version: &'a str,
    /// Whether the request continues a session that started on this version.
    pub continues: bool,
    pub body: &'a Bytes,
    pub deadline: Millis,
    /// Bill lines of the steps that ran before.
    pub prior_lines: &'a [LineItem],
    pub priority: u8,
    pub cost_micros_per_ktoken: u64,
}

/// Attempts made for a request so far, over all its steps.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts.
    pub attempts: u32,
    /// Agents that may hold a copy of the bill.
    pub agents: Vec<SocketAddr>,
    /// Whether an attempt without a known result may have run.
    pub may_have_run: bool,
    /// Whether a step completed, even if its response was not returned to the
    /// caller.
    pub step_completed: bool,
}

impl AttemptHistory {
    /// Whether the request ran, given the `ran` of its last step. Earlier steps
    /// and attempts count as well.
    pub fn overall_ran(&self, ran: Execution) -> Execution {
        match ran {
            Execution::NotRun if self.step_completed => Execution::Partial,
            Execution::NotRun if self.may_have_run => Execution::Unknown,
            ran => ran,
        }
    }
}

/// Complete response of one step.
pub(crate) struct StepOutput {
    pub line: LineItem,
    pub text: String,
    /// Whether the agent is in another failure domain than this entry.
    pub served_from_other_domain: bool,
}

/// Reason why a step returned no complete response.
pub(crate) enum StepError {
    Request(RequestError),
    /// The caller disconnected; the line covers the tokens sent so far.
    CallerDisconnected(LineItem),
}

impl From<RequestError> for StepError {
    fn from(err: RequestError) -> Self {
        StepError::Request(err)
    }
}

/// Result of one attempt.
enum AttemptResult {
    Completed {
        prompt_tokens: u32,
        output_tokens: u32,
    },
    /// The attempt is known not to have run.
    NotRun(Refusal),
    /// The attempt failed or stopped responding and may have run.
    Lost(String),
    /// Not retried, because the error concerns the version or the team rather
    /// than the runner.
    Rejected(RequestError),
    DeadlineExceeded,
    CallerDisconnected,
}

/// Output of the step that the caller has received or, for a buffered step,
/// will receive on flush. A retry resumes after it.
#[derive(Default)]
struct Delivered {
    text: String,
    tokens: u32,
}

/// Runs attempts until one completes, or until the deadline, the attempt limit
/// or the retry budget is reached.
pub(crate) async fn run_step(
    entry: &Arc<Entry>,
    step: &StepRequest<'_>,
    sink: &mut StepSink,
    history: &mut AttemptHistory,
) -> Result<StepOutput, StepError> {
    let name = format!("{}@{}", step.model, step.version);
    let mut tried: Vec<RunnerKey> = Vec::new();
    let mut delivered = Delivered::default();
    let mut last_error: Option<RequestError> = None;
    for _ in 0..entry.node.settings.entry.attempts_max {
        if entry.node.now() >= step.deadline {
            return Err(
                step_error(ErrorKind::DeadlineExceeded, history, &delivered).into()
            );
        }
        let runner = match entry.pick(Target::Version(&name), &mut tried) {
            PickOutcome::Runner(runner) => runner,
            PickOutcome::RetryBudgetExhausted => break,
            PickOutcome::NoRunner(err) => {
                let err = step_error(ErrorKind::NoRunner(err), history, &delivered);
                return Err(last_error.unwrap_or(err).into());
            }
        };
        history.attempts += 1;
        let result =
            run_attempt(entry, step, sink, history, runner, &mut delivered).await;
        let kind = match result {
            AttemptResult::Completed {
                prompt_tokens,
                output_tokens,
            } => {
                let line = line_item(step, prompt_tokens, output_tokens);
                return Ok(step_output(entry, runner, line, delivered));
            }
            AttemptResult::CallerDisconnected => {
                return Err(StepError::CallerDisconnected(line_item(
                    step,
                    0,
                    delivered.tokens,
                )));
            }
            AttemptResult::Rejected(err) => return Err(err.into()),
            AttemptResult::DeadlineExceeded => {
                return Err(step_error(
                    ErrorKind::DeadlineExceeded,
                    history,
                    &delivered,
                )
                .into());
            }
            AttemptResult::NotRun(refusal) => ErrorKind::from(refusal),
            AttemptResult::Lost(reason) => {
                history.may_have_run = true;
                ErrorKind::EndpointsFailed(reason)
            }
        };
        last_error = Some(step_error(kind, history, &delivered));
    }
    let fallback = step_error(
        ErrorKind::EndpointsFailed("no attempts are left".into()),
        history,
        &delivered,
    );
    Err(last_error.unwrap_or(fallback).into())
}

fn step_error(
    kind: ErrorKind,
    history: &AttemptHistory,
    delivered: &Delivered,
) -> RequestError {
    let ran = if delivered.tokens > 0 {
        Execution::Partial
    } else if history.may_have_run {
        Execution::Unknown
    } else {
        Execution::NotRun
    };
    RequestError { kind, ran }
}

fn line_item(
    step: &StepRequest<'_>,
    prompt_tokens: u32,
    output_tokens: u32,
) -> LineItem {
    let price = step.cost_micros_per_ktoken;
    LineItem::for_model(
        step.model,
        step.version,
        prompt_tokens,
        output_tokens,
        price,
    )
}

fn step_output(
    entry: &Entry,
    runner: RunnerKey,
    line: LineItem,
    delivered: Delivered,
) -> StepOutput {
    let failure_domain = &entry.node.settings.process.failure_domain;
    let runners = entry.runners();
    let known = runners.get(runner);
    StepOutput {
        line,
        text: delivered.text,
        served_from_other_domain: known
            .is_some_and(|r| r.report.locality.failure_domain != *failure_domain),
    }
}

async fn run_attempt(
    entry: &Arc<Entry>,
    step: &StepRequest<'_>,
    sink: &mut StepSink,
    history: &mut AttemptHistory,
    runner: RunnerKey,
    delivered: &mut Delivered,
) -> AttemptResult {
    let id = AttemptId {
        request_id: step.request_id.to_owned(),
        attempt: history.attempts,
    };
    let started = entry.node.now();
    entry.runners().record_dispatch(runner);
    let result =
        dispatch_attempt(entry, step, sink, history, runner, &id, delivered).await;
    let now = entry.node.now();
    let outcome = match &result {
        AttemptResult::Completed { .. } => RunnerOutcome::Success {
            took_ms: now.since(started),
        },
        AttemptResult::Lost(_) => RunnerOutcome::Failure,
        _ => RunnerOutcome::Neutral,
    };
    entry.runners().record_end(runner, outcome, now);
    let needs_cancel = matches!(
        result,
        AttemptResult::Lost(_)
            | AttemptResult::DeadlineExceeded
            | AttemptResult::CallerDisconnected
    );
    if needs_cancel {
        cancel_attempt(entry, runner, id.clone());
    }
    if let AttemptResult::Lost(reason) = &result {
        let event = Event::new("attempt_lost")
            .with("request", &id.request_id)
            .with("attempt", id.attempt)
            .with("runner", runner)
            .with("why", reason);
        info!("{event}");
    }
    result
}

async fn dispatch_attempt(
    entry: &Arc<Entry>,
    step: &StepRequest<'_>,
    sink: &mut StepSink,
    history: &mut AttemptHistory,
    runner: RunnerKey,
    id: &AttemptId,
    delivered: &mut Delivered,
) -> AttemptResult {
    let left_ms = step.deadline.since(entry.node.now());
    let dispatch = Dispatch {
        id: id.clone(),
        team: step.team.to_owned(),
        model: step.model.to_owned(),
        version: step.version.to_owned(),
        body: step.body.clone(),
        idempotent: true,
        deadline_ms: left_ms.min(u64::from(u32::MAX)) as u32,
        config_offset: entry.node.view.offset(),
        prior_lines: serde_json::to_string(step.prior_lines).unwrap_or_default(),
        resume_text: delivered.text.clone(),
        resume_tokens: delivered.tokens,
        priority: step.priority,
        continues: step.continues,
        owner: entry.node.instance.clone(),
        cost_micros: step.cost_micros_per_ktoken,
        ..Dispatch::default()
    };
    let timeout = Duration::from_millis(left_ms);
    let sent =
        tokio::time::timeout(timeout, entry.node.hub.dispatch(runner, dispatch)).await;
    match sent {
        Err(_) => AttemptResult::DeadlineExceeded,
        Ok(Err(err)) => resolve_unanswered(entry, runner, id, err).await,
        Ok(Ok((verdict, frames))) => match verdict.refusal {
            Some(refusal) => {
                handle_refusal(entry, step, runner, refusal, verdict.config_offset)
                    .await
            }
            None => {
                history.agents.push(runner);
                receive_frames(entry, step, sink, frames, id, delivered).await
            }
        },
    }
}

/// Handles a dispatch without a response. Only a tombstone proves that the
/// attempt did not run and never will.
async fn resolve_unanswered(
    entry: &Entry,
    runner: RunnerKey,
    id: &AttemptId,
    err: CallError,
) -> AttemptResult {
    let reason = err.to_string();
    let not_run = Refusal {
        reason: "unreachable".into(),
        remedy: "try another endpoint".into(),
        retry_after_ms: 0,
    };
    if err.never_sent() {
        return AttemptResult::NotRun(not_run);
    }
    match entry.node.hub.query(runner, id.clone(), true).await {
        Ok(AttemptState::Tombstoned) => {
            entry.runners().record_activity(runner, entry.node.now());
            AttemptResult::NotRun(not_run)
        }
        _ => AttemptResult::Lost(reason),
    }
}

/// Classifies an agent's refusal: some reasons reject the request on every
/// runner, the others only on this one.
async fn handle_refusal(
    entry: &Entry,
    step: &StepRequest<'_>,
    runner: RunnerKey,
    refusal: Refusal,
    agent_offset: u64,
) -> AttemptResult {
    debug!(
        "event=refused request={} reason={}",
        step.request_id, refusal.reason
    );
    if agent_offset > entry.node.view.offset() {
        entry.node.fetch_config_from(runner).await;
    }
    let name = || format!("{}@{}", step.model, step.version);
    let error = match refusal.reason.as_str() {
        "not_allowed" => SelectionError::NotAllowed(name()),
        "version_withdrawn" => SelectionError::Withdrawn(name()),
        "version_retiring" => SelectionError::Retiring(name()),
        "unknown_version" => SelectionError::UnknownVersion(name()),
        "leaving" => {
            entry.runners().mark_draining(runner);
            return AttemptResult::NotRun(refusal);
        }
        _ => return AttemptResult::NotRun(refusal),
    };
    AttemptResult::Rejected(ErrorKind::Selection(error).into())
}

/// Receives the frames of an accepted attempt.
async fn receive_frames(
    entry: &Entry,
    step: &StepRequest<'_>,
    sink: &mut StepSink,
    mut frames: FrameReceiver,
    id: &AttemptId,
    delivered: &mut Delivered,
) -> AttemptResult {
    let stall_ms = entry.node.settings.entry.stall_ms;
    let mut assembler = Assembler::new(id.clone());
    loop {
        let left_ms = step.deadline.since(entry.node.now());
        let timeout = Duration::from_millis(left_ms.min(stall_ms));
        let frame = tokio::select! {
            frame = tokio::time::timeout(timeout, frames.recv()) => frame,
            () = sink.sender.closed() => return AttemptResult::CallerDisconnected,
        };
        let frame = match frame {
            Err(_) if left_ms <= stall_ms => return AttemptResult::DeadlineExceeded,
            Err(_) => {
                return AttemptResult::Lost(
                    "no token arrived within the stall timeout".into(),
                );
            }
            Ok(None) => return AttemptResult::Lost("the connection closed".into()),
            Ok(Some(frame)) => frame,
        };
        let (chunks, final_result) = match assembler.push(frame) {
            Assembled::Chunks(chunks) => (chunks, None),
            Assembled::Complete(chunks, end) => {
                let (prompt_tokens, output_tokens) = (end.prompt_tokens, end.tokens);
                (
                    chunks,
                    Some(AttemptResult::Completed {
                        prompt_tokens,
                        output_tokens,
                    }),
                )
            }
            Assembled::Failed(chunks, end) => (chunks, Some(failure_result(&end))),
            Assembled::Corrupt => {
                return AttemptResult::Lost("response frames are missing".into());
            }
        };
        if forward_chunks(sink, chunks, delivered).await.is_err() {
            return AttemptResult::CallerDisconnected;
        }
        if let Some(result) = final_result {
            return result;
        }
    }
}

async fn forward_chunks(
    sink: &mut StepSink,
    chunks: Vec<Frame>,
    delivered: &mut Delivered,
) -> Result<(), CallerDisconnected> {
    for chunk in chunks {
        delivered.tokens += chunk.tokens;
        delivered
            .text
            .push_str(&String::from_utf8_lossy(&chunk.payload));
        sink.send_text(chunk.payload).await?;
    }
    Ok(())
}

fn failure_result(end: &Frame) -> AttemptResult {
    let failure = Failure::decode(&end.payload);
    if failure.ran == Execution::NotRun {
        return AttemptResult::NotRun(Refusal {
            reason: failure.reason,
            remedy: failure.remedy,
            retry_after_ms: failure.retry_after_ms,
        });
    }
    AttemptResult::Lost(failure.reason)
}

/// Cancels an attempt whose result is no longer needed.
fn cancel_attempt(entry: &Arc<Entry>, runner: RunnerKey, id: AttemptId) {
    let hub = entry.node.hub.clone();
    tokio::spawn(async move {
        let _ = hub.cancel(runner, id).await;
    });
}

/// Tells the agents in the background to drop their copies of the bill of a
/// request that ended without one. Retried while an agent may still be alive,
/// because it would append a remaining copy to the log.
pub(crate) fn settle_agents(
    entry: &Arc<Entry>,
    request_id: &str,
    agents: Vec<SocketAddr>,
) {
    for agent in agents {
        let (hub, request_id) = (entry.node.hub.clone(), request_id.to_owned());
        tokio::spawn(async move {
            for _ in 0..SETTLE_ATTEMPTS_MAX {
                if hub.settle(agent, vec![request_id.clone()]).await.is_ok() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(SETTLE_RETRY_DELAY_MS)).await;
            }
        });
    }
}

/// Maximum number of settlement calls to one agent.
const SETTLE_ATTEMPTS_MAX: u32 = 5;

/// Delay between settlement calls, ms.
const SETTLE_RETRY_DELAY_MS: u64 = 500;
