//! Calls of plain services, some of which may not be repeated.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bill::{Bill, LineItem};
use bytes::Bytes;
use claim::{ClaimEvent, ClaimStatus, Ending, KeyState, claim_id};
use clock::{Clock, Millis};
use config::{ServiceSpec, TeamSpec};
use log::info;
use route::{Outcome as RunnerOutcome, RouteError, Target};
use store::ConfigHealth;
use telemetry::Event;
use wire::{
    Assembled, Assembler, AttemptId, AttemptState, Dispatch, Execution, Failure,
    FrameReceiver, Refusal,
};

use crate::{
    Entry, RequestError, Stage, attempt::settle, outcomes::Outcome, pick::Picked,
};

/// Longest wait for a void to be read back, ms.
const VOID_MS: u64 = 1_000;

/// Time between two looks at a claim whose holder runs it, ms.
const LOOK_MS: u64 = 25;

/// A call of a plain service.
pub(crate) struct ServiceRequest {
    pub request_id: String,
    pub team: TeamSpec,
    pub service: ServiceSpec,
    pub path: String,
    pub key: String,
    pub body: Bytes,
    pub deadline: Millis,
    pub started: Millis,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct ServiceAnswer {
    pub status: u16,
    pub body: Bytes,
    /// Whether the key ran before and this is its earlier answer.
    pub replayed: bool,
}

/// What came of one attempt.
enum Attempted {
    Whole(ServiceAnswer),
    NotRun(Refusal),
    KeyTaken,
    /// The connection ended, or the answer did not come; it may have run.
    Lost(SocketAddr),
    /// The agent itself does not know.
    Unknown,
    Final(RequestError),
}

/// Runs a call to its end.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    request: ServiceRequest,
) -> Result<ServiceAnswer, RequestError> {
    let team = &request.team.name;
    if !entry.config().permits_service(team, &request.service.name) {
        let name = request.service.name.clone();
        return Err(Stage::Route(RouteError::NotAllowed(name)).into());
    }
    let now = entry.node.now();
    let share = entry.share(Some(Target::Service(&request.service.name)));
    entry
        .admission()
        .admit(&request.team, share, now)
        .map_err(Stage::Admission)?;
    if entry.node.bills().reserve().is_err() {
        entry.admission().release(team);
        return Err(Stage::BillsFull.into());
    }
    let mut agents = Vec::new();
    note(entry, &request, Outcome::Running);
    let result = run_attempts(entry, &request, &mut agents).await;
    finish(entry, &request, &result, agents).await;
    result
}

async fn finish(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    result: &Result<ServiceAnswer, RequestError>,
    agents: Vec<SocketAddr>,
) {
    match result {
        Ok(answer) => {
            if answer.replayed {
                settle(entry, &request.request_id, agents);
            } else {
                bill(entry, request, &agents).await;
            }
            note(entry, request, Outcome::Done);
        }
        Err(err) => {
            // A call whose outcome is unknown may still end well at its agent,
            // which then bills it.
            if err.ran != Execution::Unknown {
                settle(entry, &request.request_id, agents);
            }
            let code = err.code().to_owned();
            note(entry, request, Outcome::Failed { code, ran: err.ran });
        }
    }
    entry.admission().release(&request.team.name);
    entry.node.bills().unreserve();
    let event = Event::new("service_end")
        .with("request", &request.request_id)
        .with("team", &request.team.name)
        .with("service", &request.service.name)
        .with(
            "result",
            result.as_ref().map_or_else(RequestError::code, |_| "done"),
        )
        .with("took_ms", entry.node.now().since(request.started));
    info!("{event}");
}

async fn bill(entry: &Entry, request: &ServiceRequest, agents: &[SocketAddr]) {
    let line =
        LineItem::for_service(&request.service.name, request.service.cost_micros);
    let bill = Bill {
        request_id: request.request_id.clone(),
        team: request.team.name.clone(),
        at_ms: entry.node.clock.wall().0,
        lines: vec![line],
    };
    entry.node.hold_bill(bill, agents, false).await;
}

fn note(entry: &Entry, request: &ServiceRequest, outcome: Outcome) {
    entry
        .outcomes()
        .set(&request.team.name, &request.request_id, outcome);
}

async fn run_attempts(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    agents: &mut Vec<SocketAddr>,
) -> Result<ServiceAnswer, RequestError> {
    let mut tried = Vec::new();
    let mut last: Option<RequestError> = None;
    for number in 1..=entry.node.settings.entry.attempts_max {
        if entry.node.now() >= request.deadline {
            break;
        }
        let target = Target::Service(&request.service.name);
        let runner = match entry.pick(target, &mut tried) {
            Picked::Runner(runner) => runner,
            Picked::OverBudget => break,
            Picked::Nowhere(err) => {
                return Err(last.unwrap_or(Stage::NoRunner(err).into()));
            }
        };
        let id = AttemptId {
            request_id: request.request_id.clone(),
            attempt: number,
        };
        match counted_attempt(entry, request, runner, &id, agents).await {
            Attempted::Whole(answer) => return Ok(answer),
            Attempted::Final(mut err) => {
                // An earlier attempt may have run.
                err.ran = last.map_or(err.ran, |last| last.ran);
                return Err(err);
            }
            Attempted::KeyTaken => return await_other(entry, request).await,
            Attempted::Unknown => return Err(unknown(request)),
            Attempted::Lost(_) if !request.service.idempotent => {
                return Err(unknown(request));
            }
            Attempted::Lost(_) => {
                let stage = Stage::Failed("the connection ended".into());
                let ran = Execution::Unknown;
                last = Some(RequestError { stage, ran });
            }
            Attempted::NotRun(refusal) => {
                let ran = last.as_ref().map_or(Execution::NotRun, |err| err.ran);
                let stage = Stage::from(refusal);
                last = Some(RequestError { stage, ran });
            }
        }
    }
    Err(last.unwrap_or(Stage::Deadline.into()))
}

/// Makes one attempt, counts it for its runner, and finds out from the log
/// what became of a call that must not be repeated.
async fn counted_attempt(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    runner: SocketAddr,
    id: &AttemptId,
    agents: &mut Vec<SocketAddr>,
) -> Attempted {
    let holder = entry.runners().instance_of(runner);
    let started = entry.node.now();
    entry.runners().record_dispatch(runner);
    let attempted = attempt(entry, request, runner, id, agents).await;
    let now = entry.node.now();
    let outcome = match &attempted {
        Attempted::Whole(_) => RunnerOutcome::Success {
            took_ms: now.since(started),
        },
        Attempted::Lost(_) => RunnerOutcome::Failure,
        _ => RunnerOutcome::Neutral,
    };
    entry.runners().record_end(runner, outcome, now);
    match attempted {
        Attempted::Lost(agent) if !request.service.idempotent => {
            resolve(entry, request, id, agent, &holder).await
        }
        attempted => attempted,
    }
}

fn unknown(request: &ServiceRequest) -> RequestError {
    let place = format!("/v1/outcomes/{}", request.key);
    RequestError {
        stage: Stage::Unknown(place),
        ran: Execution::Unknown,
    }
}

fn key_taken(request: &ServiceRequest) -> RequestError {
    let stage = Stage::Refused {
        reason: "key_taken".into(),
        remedy: format!(
            "another request with this key runs or ran; ask for its outcome at /v1/outcomes/{}",
            request.key
        ),
        retry_after_ms: 0,
    };
    RequestError {
        stage,
        ran: Execution::Unknown,
    }
}

async fn attempt(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    runner: SocketAddr,
    id: &AttemptId,
    agents: &mut Vec<SocketAddr>,
) -> Attempted {
    let left_ms = request.deadline.since(entry.node.now());
    let dispatch = Dispatch {
        id: id.clone(),
        team: request.team.name.clone(),
        service: request.service.name.clone(),
        body: request.body.clone(),
        path: request.path.clone(),
        idempotent: request.service.idempotent,
        key: request.key.clone(),
        deadline_ms: left_ms.min(u64::from(u32::MAX)) as u32,
        config_offset: entry.node.view.offset(),
        owner: entry.node.instance.clone(),
        cost_micros: request.service.cost_micros,
        ..Dispatch::default()
    };
    match entry.node.hub.dispatch(runner, dispatch).await {
        Err(err) if err.never_sent() => Attempted::NotRun(unreachable()),
        Err(_) => match entry.node.hub.query(runner, id.clone(), true).await {
            Ok(AttemptState::Tombstoned) => {
                entry.runners().record_activity(runner, entry.node.now());
                Attempted::NotRun(unreachable())
            }
            _ => Attempted::Lost(runner),
        },
        Ok((verdict, frames)) => match verdict.refusal {
            Some(refusal) => {
                if verdict.config_offset > entry.node.view.offset() {
                    entry.node.catch_up(runner).await;
                }
                judge_refusal(entry, request, runner, refusal)
            }
            None => {
                agents.push(runner);
                receive(entry, request, frames, id, runner).await
            }
        },
    }
}

fn unreachable() -> Refusal {
    Refusal {
        reason: "unreachable".into(),
        remedy: "come back shortly".into(),
        retry_after_ms: 500,
    }
}

fn judge_refusal(
    entry: &Entry,
    request: &ServiceRequest,
    runner: SocketAddr,
    refusal: Refusal,
) -> Attempted {
    match refusal.reason.as_str() {
        "not_allowed" => {
            let route = RouteError::NotAllowed(request.service.name.clone());
            Attempted::Final(Stage::Route(route).into())
        }
        "leaving" => {
            entry.runners().mark_leaving(runner);
            Attempted::NotRun(refusal)
        }
        _ => Attempted::NotRun(refusal),
    }
}

async fn receive(
    entry: &Entry,
    request: &ServiceRequest,
    mut frames: FrameReceiver,
    id: &AttemptId,
    runner: SocketAddr,
) -> Attempted {
    let mut assembler = Assembler::new(id.clone());
    let mut body: Vec<u8> = Vec::new();
    loop {
        let left_ms = request.deadline.since(entry.node.now());
        let limit = Duration::from_millis(left_ms);
        let frame = match tokio::time::timeout(limit, frames.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Attempted::Lost(runner),
            // The caller stops waiting; the call itself goes on.
            Err(_) => return Attempted::Unknown,
        };
        let (chunks, end) = match assembler.push(frame) {
            Assembled::Chunks(chunks) => (chunks, None),
            Assembled::Complete(chunks, end) => (chunks, Some(end)),
            Assembled::Failed(_, end) => return failed(&end.payload),
            Assembled::Corrupt => return Attempted::Lost(runner),
        };
        for chunk in chunks {
            body.extend_from_slice(&chunk.payload);
        }
        if let Some(end) = end {
            let body = Bytes::from(body);
            let answer = ServiceAnswer {
                status: end.status,
                body,
                replayed: end.replayed,
            };
            return Attempted::Whole(answer);
        }
    }
}

fn failed(payload: &[u8]) -> Attempted {
    let failure = Failure::decode(payload);
    match (failure.ran, failure.reason.as_str()) {
        (_, "key_taken") => Attempted::KeyTaken,
        (Execution::NotRun, _) => Attempted::NotRun(Refusal {
            reason: failure.reason,
            remedy: failure.remedy,
            retry_after_ms: failure.retry_after_ms,
        }),
        _ => Attempted::Unknown,
    }
}

/// Finds out from the log what became of a call whose agent was lost.
///
/// A void that stands before the claim proves that it did not run.  A claim
/// that stands is waited for only while its holder is heard: the answer to a
/// caller that nobody can help is given at once.
async fn resolve(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    id: &AttemptId,
    agent: SocketAddr,
    holder: &str,
) -> Attempted {
    let (team, key) = (&request.team.name, &request.key);
    let claims = &entry.node.claims;
    let own = claim_id(&id.request_id, id.attempt);
    loop {
        match claims.standing(team, key, &own) {
            ClaimStatus::Voided => return Attempted::NotRun(unreachable()),
            ClaimStatus::Won => {
                let reachable = is_heard(entry, agent, holder);
                if !reachable || entry.node.now() >= request.deadline {
                    return Attempted::Unknown;
                }
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
            ClaimStatus::Ended {
                ending: Ending::Done,
                status,
                answer,
            } if !answer.is_empty() => {
                let body = Bytes::from(answer);
                let answer = ServiceAnswer {
                    status,
                    body,
                    replayed: false,
                };
                return Attempted::Whole(answer);
            }
            ClaimStatus::Ended { .. } => return Attempted::Unknown,
            ClaimStatus::Unseen | ClaimStatus::Taken => {
                let void = ClaimEvent::Void {
                    team: team.clone(),
                    key: key.clone(),
                    claim_id: own.clone(),
                };
                if claims.submit(team, key, void, VOID_MS).await.is_err() {
                    return Attempted::Unknown;
                }
            }
        }
    }
}

/// Waits for the outcome of the request that has the key, while its holder is
/// heard, and gives the same answer.
async fn await_other(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
) -> Result<ServiceAnswer, RequestError> {
    let (team, key) = (&request.team.name, &request.key);
    loop {
        match entry.node.claims.state(team, key) {
            KeyState::Ended {
                ending: Ending::Done,
                status,
                answer,
                ..
            } if !answer.is_empty() => {
                let body = Bytes::from(answer);
                return Ok(ServiceAnswer {
                    status,
                    body,
                    replayed: true,
                });
            }
            KeyState::Ended { .. } => return Err(key_taken(request)),
            KeyState::Running { claim } => {
                let agent = entry.runners().address_of(&claim.holder);
                let heard =
                    agent.is_some_and(|agent| is_heard(entry, agent, &claim.holder));
                if !heard || entry.node.now() >= request.deadline {
                    return Err(key_taken(request));
                }
            }
            // The agent has read further than this entry, or the key was
            // given up meanwhile.
            KeyState::Free => {
                let late = entry.node.now() >= request.deadline;
                if late || entry.node.health() != ConfigHealth::Fresh {
                    return Err(key_taken(request));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Whether a claim's holder answered a heartbeat lately, under the same
/// instance id: a restarted agent does not know the call.
fn is_heard(entry: &Entry, agent: SocketAddr, holder: &str) -> bool {
    let now = entry.node.now();
    let runners = entry.runners();
    runners.get(agent).is_some_and(|runner| {
        runner.report.instance == holder
            && now.since(runner.last_seen_at) <= entry.pick.silence_ms
    })
}
