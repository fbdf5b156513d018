//! Runs one step of a request: attempts on one version until one is whole.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bill::LineItem;
use bytes::Bytes;
use clock::Millis;
use log::{debug, info};
use route::{Outcome, RouteError, RunnerKey, Target};
use telemetry::Event;
use wire::{
    Assembled, Assembler, AttemptId, AttemptState, CallError, Dispatch, Execution,
    Failure, Frame, FrameReceiver, Refusal,
};

use crate::{
    Entry, RequestError, Stage,
    answer::{CallerGone, Head, Piece, Pieces},
    pick::Picked,
};

/// Where a step's text goes: straight to the caller, or kept until a rating
/// decides whether the caller gets it.
pub(crate) struct Emit {
    pieces: Pieces,
    head: Option<Head>,
    kept: Option<Vec<Bytes>>,
}

impl Emit {
    /// Sends text on as it comes.
    pub fn through(pieces: Pieces, head: Head) -> Self {
        Emit {
            pieces,
            head: Some(head),
            kept: None,
        }
    }

    /// Keeps the text.
    pub fn keep(pieces: Pieces, head: Head) -> Self {
        Emit {
            pieces,
            head: Some(head),
            kept: Some(Vec::new()),
        }
    }

    async fn text(&mut self, text: Bytes) -> Result<(), CallerGone> {
        if let Some(kept) = &mut self.kept {
            kept.push(text);
            return if self.pieces.is_closed() {
                Err(CallerGone)
            } else {
                Ok(())
            };
        }
        self.send_head().await?;
        self.pieces
            .send(Piece::Text(text))
            .await
            .map_err(|_| CallerGone)
    }

    async fn send_head(&mut self) -> Result<(), CallerGone> {
        if let Some(head) = self.head.take() {
            self.pieces
                .send(Piece::Head(head))
                .await
                .map_err(|_| CallerGone)?;
        }
        Ok(())
    }

    /// Sends what was kept, and a head that no text has sent yet.
    pub async fn release(&mut self) -> Result<(), CallerGone> {
        self.send_head().await?;
        for text in self.kept.take().unwrap_or_default() {
            self.pieces
                .send(Piece::Text(text))
                .await
                .map_err(|_| CallerGone)?;
        }
        Ok(())
    }
}

/// One step of a request.
pub(crate) struct Job<'a> {
    pub request_id: &'a str,
    pub team: &'a str,
    pub model: &'a str,
    pub version: &'a str,
    pub continues: bool,
    pub body: &'a Bytes,
    pub deadline: Millis,
    pub prior: &'a [LineItem],
    pub priority: u8,
    pub cost_micros_per_ktoken: u64,
}

/// What a request did so far, over all its steps.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    /// Attempts so far.
    pub attempts: u32,
    /// Agents that may hold a copy of the bill.
    pub agents: Vec<SocketAddr>,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
    /// Whether a step gave a whole answer, returned or not.
    pub has_run: bool,
}

impl Trail {
    /// Whether the request ran, where its last step says `ran`: an earlier
    /// step or attempt counts as well.
    pub fn ran(&self, ran: Execution) -> Execution {
        match ran {
            Execution::NotRun if self.has_run => Execution::Partial,
            Execution::NotRun if self.may_have_run => Execution::Unknown,
            ran => ran,
        }
    }
}

/// A whole answer of one step.
pub(crate) struct StepDone {
    pub line: LineItem,
    pub text: String,
    /// Whether the agent stands in another room than this entry.
    pub served_outside: bool,
}

/// Why a step gave no whole answer.
pub(crate) enum StepError {
    Request(RequestError),
    /// The caller is gone; it had this much.
    CallerGone(LineItem),
}

impl From<RequestError> for StepError {
    fn from(err: RequestError) -> Self {
        StepError::Request(err)
    }
}

/// What came of one attempt.
enum Attempted {
    Whole {
        prompt_tokens: u32,
        output_tokens: u32,
    },
    /// It surely did not run.
    NotRun(Refusal),
    /// It failed or fell silent after it may have run.
    Lost(String),
    /// It will not be tried again: the version or the team is the reason.
    Final(RequestError),
    Deadline,
    CallerGone,
}

/// Text that the caller has, or will have, of this step.
#[derive(Default)]
struct Delivered {
    text: String,
    tokens: u32,
}

/// Runs attempts until one is whole or the step is given up.
pub(crate) async fn run_step(
    entry: &Arc<Entry>,
    job: &Job<'_>,
    emit: &mut Emit,
    trail: &mut Trail,
) -> Result<StepDone, StepError> {
    let name = format!("{}@{}", job.model, job.version);
    let mut tried: Vec<RunnerKey> = Vec::new();
    let mut delivered = Delivered::default();
    let mut last: Option<RequestError> = None;
    for _ in 0..entry.node.settings.entry.attempts_max {
        if entry.node.now() >= job.deadline {
            return Err(ended(Stage::Deadline, trail, &delivered).into());
        }
        let runner = match entry.pick(Target::Version(&name), &mut tried) {
            Picked::Runner(runner) => runner,
            Picked::OverBudget => break,
            Picked::Nowhere(err) => {
                let err = ended(Stage::NoRunner(err), trail, &delivered);
                return Err(last.unwrap_or(err).into());
            }
        };
        trail.attempts += 1;
        let attempted = attempt(entry, job, emit, trail, runner, &mut delivered).await;
        let stage = match attempted {
            Attempted::Whole {
                prompt_tokens,
                output_tokens,
            } => {
                let line = line(job, prompt_tokens, output_tokens);
                return Ok(done(entry, runner, line, delivered));
            }
            Attempted::CallerGone => {
                return Err(StepError::CallerGone(line(job, 0, delivered.tokens)));
            }
            Attempted::Final(err) => return Err(err.into()),
            Attempted::Deadline => {
                return Err(ended(Stage::Deadline, trail, &delivered).into());
            }
            Attempted::NotRun(refusal) => Stage::from(refusal),
            Attempted::Lost(why) => {
                trail.may_have_run = true;
                Stage::Failed(why)
            }
        };
        last = Some(ended(stage, trail, &delivered));
    }
    let fallback = ended(
        Stage::Failed("no attempt is left".into()),
        trail,
        &delivered,
    );
    Err(last.unwrap_or(fallback).into())
}

fn ended(stage: Stage, trail: &Trail, delivered: &Delivered) -> RequestError {
    let ran = if delivered.tokens > 0 {
        Execution::Partial
    } else if trail.may_have_run {
        Execution::Unknown
    } else {
        Execution::NotRun
    };
    RequestError { stage, ran }
}

fn line(job: &Job<'_>, prompt_tokens: u32, output_tokens: u32) -> LineItem {
    let price = job.cost_micros_per_ktoken;
    LineItem::for_model(job.model, job.version, prompt_tokens, output_tokens, price)
}

fn done(
    entry: &Entry,
    runner: RunnerKey,
    line: LineItem,
    delivered: Delivered,
) -> StepDone {
    let room = &entry.node.settings.process.room;
    let runners = entry.runners();
    let known = runners.get(runner);
    StepDone {
        line,
        text: delivered.text,
        served_outside: known
            .is_some_and(|r| r.report.locality.failure_domain != *room),
    }
}

async fn attempt(
    entry: &Arc<Entry>,
    job: &Job<'_>,
    emit: &mut Emit,
    trail: &mut Trail,
    runner: RunnerKey,
    delivered: &mut Delivered,
) -> Attempted {
    let id = AttemptId {
        request_id: job.request_id.to_owned(),
        attempt: trail.attempts,
    };
    let started = entry.node.now();
    entry.runners().record_dispatch(runner);
    let attempted = send(entry, job, emit, trail, runner, &id, delivered).await;
    let now = entry.node.now();
    let outcome = match &attempted {
        Attempted::Whole { .. } => Outcome::Success {
            took_ms: now.since(started),
        },
        Attempted::Lost(_) => Outcome::Failure,
        _ => Outcome::Neutral,
    };
    entry.runners().record_end(runner, outcome, now);
    let stops = matches!(
        attempted,
        Attempted::Lost(_) | Attempted::Deadline | Attempted::CallerGone
    );
    if stops {
        cancel(entry, runner, id.clone());
    }
    if let Attempted::Lost(why) = &attempted {
        let event = Event::new("attempt_lost")
            .with("request", &id.request_id)
            .with("attempt", id.attempt)
            .with("runner", runner)
            .with("why", why);
        info!("{event}");
    }
    attempted
}

async fn send(
    entry: &Arc<Entry>,
    job: &Job<'_>,
    emit: &mut Emit,
    trail: &mut Trail,
    runner: RunnerKey,
    id: &AttemptId,
    delivered: &mut Delivered,
) -> Attempted {
    let left_ms = job.deadline.since(entry.node.now());
    let dispatch = Dispatch {
        id: id.clone(),
        team: job.team.to_owned(),
        model: job.model.to_owned(),
        version: job.version.to_owned(),
        body: job.body.clone(),
        idempotent: true,
        deadline_ms: left_ms.min(u64::from(u32::MAX)) as u32,
        config_offset: entry.node.view.offset(),
        prior_steps: serde_json::to_string(job.prior).unwrap_or_default(),
        resume_text: delivered.text.clone(),
        resume_tokens: delivered.tokens,
        priority: job.priority,
        continues: job.continues,
        owner: entry.node.instance.clone(),
        cost_micros: job.cost_micros_per_ktoken,
        ..Dispatch::default()
    };
    let limit = Duration::from_millis(left_ms);
    let sent =
        tokio::time::timeout(limit, entry.node.hub.dispatch(runner, dispatch)).await;
    match sent {
        Err(_) => Attempted::Deadline,
        Ok(Err(err)) => settle_unanswered(entry, runner, id, err).await,
        Ok(Ok((verdict, frames))) => match verdict.refusal {
            Some(refusal) => {
                refused(entry, job, runner, refusal, verdict.config_offset).await
            }
            None => {
                trail.agents.push(runner);
                receive(entry, job, emit, frames, id, delivered).await
            }
        },
    }
}

/// A dispatch without an answer: only a tombstone proves that it did not run.
async fn settle_unanswered(
    entry: &Entry,
    runner: RunnerKey,
    id: &AttemptId,
    err: CallError,
) -> Attempted {
    let why = err.to_string();
    let not_run = Refusal {
        reason: "unreachable".into(),
        remedy: "try another endpoint".into(),
        retry_after_ms: 0,
    };
    if err.never_sent() {
        return Attempted::NotRun(not_run);
    }
    match entry.node.hub.query(runner, id.clone(), true).await {
        Ok(AttemptState::Tombstoned) => {
            entry.runners().record_activity(runner, entry.node.now());
            Attempted::NotRun(not_run)
        }
        _ => Attempted::Lost(why),
    }
}

/// Judges an agent's refusal: some hold for the request, some for the agent.
async fn refused(
    entry: &Entry,
    job: &Job<'_>,
    runner: RunnerKey,
    refusal: Refusal,
    agent_offset: u64,
) -> Attempted {
    debug!(
        "event=refused request={} reason={}",
        job.request_id, refusal.reason
    );
    if agent_offset > entry.node.view.offset() {
        entry.node.catch_up(runner).await;
    }
    let name = || format!("{}@{}", job.model, job.version);
    let route = match refusal.reason.as_str() {
        "not_allowed" => RouteError::NotAllowed(name()),
        "version_withdrawn" => RouteError::Withdrawn(name()),
        "version_retiring" => RouteError::Retiring(name()),
        "unknown_version" => RouteError::UnknownVersion(name()),
        "leaving" => {
            entry.runners().mark_leaving(runner);
            return Attempted::NotRun(refusal);
        }
        _ => return Attempted::NotRun(refusal),
    };
    Attempted::Final(Stage::Route(route).into())
}

/// Takes the frames of an accepted attempt.
async fn receive(
    entry: &Entry,
    job: &Job<'_>,
    emit: &mut Emit,
    mut frames: FrameReceiver,
    id: &AttemptId,
    delivered: &mut Delivered,
) -> Attempted {
    let stall_ms = entry.node.settings.entry.stall_ms;
    let mut assembler = Assembler::new(id.clone());
    loop {
        let left_ms = job.deadline.since(entry.node.now());
        let limit = Duration::from_millis(left_ms.min(stall_ms));
        let frame = tokio::select! {
            frame = tokio::time::timeout(limit, frames.recv()) => frame,
            () = emit.pieces.closed() => return Attempted::CallerGone,
        };
        let frame = match frame {
            Err(_) if left_ms <= stall_ms => return Attempted::Deadline,
            Err(_) => return Attempted::Lost("no token came for too long".into()),
            Ok(None) => return Attempted::Lost("the connection ended".into()),
            Ok(Some(frame)) => frame,
        };
        let (chunks, last) = match assembler.push(frame) {
            Assembled::Chunks(chunks) => (chunks, None),
            Assembled::Complete(chunks, end) => {
                let (prompt_tokens, output_tokens) = (end.prompt_tokens, end.tokens);
                (
                    chunks,
                    Some(Attempted::Whole {
                        prompt_tokens,
                        output_tokens,
                    }),
                )
            }
            Assembled::Failed(chunks, end) => (chunks, Some(failed(&end))),
            Assembled::Corrupt => return Attempted::Lost("frames are missing".into()),
        };
        if pass_on(emit, chunks, delivered).await.is_err() {
            return Attempted::CallerGone;
        }
        if let Some(last) = last {
            return last;
        }
    }
}

async fn pass_on(
    emit: &mut Emit,
    chunks: Vec<Frame>,
    delivered: &mut Delivered,
) -> Result<(), CallerGone> {
    for chunk in chunks {
        delivered.tokens += chunk.tokens;
        delivered
            .text
            .push_str(&String::from_utf8_lossy(&chunk.payload));
        emit.text(chunk.payload).await?;
    }
    Ok(())
}

fn failed(end: &Frame) -> Attempted {
    let failure = Failure::decode(&end.payload);
    if failure.ran == Execution::NotRun {
        return Attempted::NotRun(Refusal {
            reason: failure.reason,
            remedy: failure.remedy,
            retry_after_ms: failure.retry_after_ms,
        });
    }
    Attempted::Lost(failure.reason)
}

/// Stops an attempt that nobody waits for any more.
fn cancel(entry: &Arc<Entry>, runner: RunnerKey, id: AttemptId) {
    let hub = entry.node.hub.clone();
    tokio::spawn(async move {
        let _ = hub.cancel(runner, id).await;
    });
}

/// Tells the agents that this entry answers for the request's bill.  Repeated
/// while an agent may be there, since a copy must not outlive a request that
/// ended without a bill.
pub(crate) fn settle(entry: &Arc<Entry>, request_id: &str, agents: Vec<SocketAddr>) {
    for agent in agents {
        let (hub, request_id) = (entry.node.hub.clone(), request_id.to_owned());
        tokio::spawn(async move {
            for _ in 0..SETTLE_TRIES {
                if hub.settle(agent, vec![request_id.clone()]).await.is_ok() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(SETTLE_PAUSE_MS)).await;
            }
        });
    }
}

/// Tries to reach an agent with a settlement.
const SETTLE_TRIES: u32 = 5;

/// Pause between them, ms.
const SETTLE_PAUSE_MS: u64 = 500;
