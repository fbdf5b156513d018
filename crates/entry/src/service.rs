//! Calls to plain services, including non-idempotent ones that must run at most
//! once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bill::{Bill, LineItem};
use bytes::Bytes;
use claim::{ClaimEvent, ClaimStatus, Ending, KeyState, claim_id};
use clock::{Clock, Millis};
use config::{ServiceSpec, TeamSpec};
use ingress::HeldBody;
use log::info;
use route::{RunnerOutcome, SelectionError, Target};
use store::ConfigHealth;
use telemetry::Event;
use wire::{
    Assembled, Assembler, AttemptId, AttemptState, Dispatch, Execution, Failure,
    FrameReceiver, Refusal,
};

use crate::{
    Entry, ErrorKind, RequestError, attempt::settle_agents, outcomes::Outcome,
    pick::PickOutcome,
};

/// Maximum time to append a void to the log and read it back, ms.
const VOID_TIMEOUT_MS: u64 = 1_000;

/// Interval at which a claim held by a running call is polled, ms.
const CLAIM_POLL_INTERVAL_MS: u64 = 25;

/// A call to a plain service.
pub(crate) struct ServiceRequest {
    pub request_id: String,
    pub team: TeamSpec,
    pub service: ServiceSpec,
    pub path: String,
    /// Idempotency key; the request id if the caller sent none.
    pub key: String,
    pub body: HeldBody,
    pub deadline: Millis,
    pub started: Millis,
}

/// Complete response of a service.
#[derive(Debug)]
pub(crate) struct ServiceResponse {
    pub status: u16,
    pub body: Bytes,
    /// Whether an earlier call with the same key ran and this is its response.
    pub replayed: bool,
}

/// Result of one attempt.
enum AttemptResult {
    Completed(ServiceResponse),
    NotRun(Refusal),
    KeyTaken,
    /// The connection closed or the response is missing; the call may have run.
    Lost(SocketAddr),
    /// Whether the call ran cannot be determined.
    OutcomeUnknown,
    Rejected(RequestError),
}

/// Admits a call, runs it and bills a new response.
///
/// # Errors
///
/// Returns why there is no response, and whether the call ran.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    request: ServiceRequest,
) -> Result<ServiceResponse, RequestError> {
    let team = &request.team.name;
    if !entry.config().permits_service(team, &request.service.name) {
        let name = request.service.name.clone();
        return Err(ErrorKind::Selection(SelectionError::NotAllowed(name)).into());
    }
    let now = entry.node.now();
    let capacity = entry.pool_capacity(Some(Target::Service(&request.service.name)));
    entry
        .admission()
        .admit(&request.team, capacity, now)
        .map_err(ErrorKind::Admission)?;
    if entry.node.bills().reserve().is_err() {
        entry.admission().release(team);
        return Err(ErrorKind::BillsFull.into());
    }
    let mut agents = Vec::new();
    record_outcome(entry, &request, Outcome::Running);
    let result = run_attempts(entry, &request, &mut agents).await;
    finish(entry, &request, &result, agents).await;
    result
}

async fn finish(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    result: &Result<ServiceResponse, RequestError>,
    agents: Vec<SocketAddr>,
) {
    match result {
        Ok(response) => {
            if response.replayed {
                settle_agents(entry, &request.request_id, agents);
            } else {
                hold_bill(entry, request, &agents).await;
            }
            record_outcome(entry, request, Outcome::Done);
        }
        Err(err) => {
            // A call with an unknown outcome may still complete at its agent,
            // which then appends the bill.
            if err.ran != Execution::Unknown {
                settle_agents(entry, &request.request_id, agents);
            }
            let code = err.code().to_owned();
            record_outcome(entry, request, Outcome::Failed { code, ran: err.ran });
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

async fn hold_bill(entry: &Entry, request: &ServiceRequest, agents: &[SocketAddr]) {
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

fn record_outcome(entry: &Entry, request: &ServiceRequest, outcome: Outcome) {
    entry
        .outcomes()
        .set(&request.team.name, &request.request_id, outcome);
}

async fn run_attempts(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    agents: &mut Vec<SocketAddr>,
) -> Result<ServiceResponse, RequestError> {
    let mut tried = Vec::new();
    let mut last_error: Option<RequestError> = None;
    for attempt in 1..=entry.node.settings.entry.attempts_max {
        if entry.node.now() >= request.deadline {
            break;
        }
        let target = Target::Service(&request.service.name);
        let runner = match entry.pick(target, &mut tried) {
            PickOutcome::Runner(runner) => runner,
            PickOutcome::RetryBudgetExhausted => break,
            PickOutcome::NoRunner(err) => {
                return Err(last_error.unwrap_or(ErrorKind::NoRunner(err).into()));
            }
        };
        let id = AttemptId {
            request_id: request.request_id.clone(),
            attempt,
        };
        match run_attempt(entry, request, runner, &id, agents).await {
            AttemptResult::Completed(response) => return Ok(response),
            AttemptResult::Rejected(mut err) => {
                // An earlier attempt may have run.
                err.ran = last_error.map_or(err.ran, |last_error| last_error.ran);
                return Err(err);
            }
            AttemptResult::KeyTaken => return await_claim_holder(entry, request).await,
            AttemptResult::OutcomeUnknown => return Err(outcome_unknown(request)),
            AttemptResult::Lost(_) if !request.service.idempotent => {
                return Err(outcome_unknown(request));
            }
            AttemptResult::Lost(_) => {
                let kind = ErrorKind::EndpointsFailed("the connection closed".into());
                let ran = Execution::Unknown;
                last_error = Some(RequestError { kind, ran });
            }
            AttemptResult::NotRun(refusal) => {
                let ran = last_error.as_ref().map_or(Execution::NotRun, |err| err.ran);
                let kind = ErrorKind::from(refusal);
                last_error = Some(RequestError { kind, ran });
            }
        }
    }
    Err(last_error.unwrap_or(ErrorKind::DeadlineExceeded.into()))
}

/// Makes one attempt and records its result for the runner. If a non-idempotent
/// call was lost, reads its outcome from the log.
async fn run_attempt(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    runner: SocketAddr,
    id: &AttemptId,
    agents: &mut Vec<SocketAddr>,
) -> AttemptResult {
    let holder = entry.runners().instance_of(runner);
    let started = entry.node.now();
    entry.runners().record_dispatch(runner);
    let result = dispatch_attempt(entry, request, runner, id, agents).await;
    let now = entry.node.now();
    let outcome = match &result {
        AttemptResult::Completed(_) => RunnerOutcome::Success {
            took_ms: now.since(started),
        },
        AttemptResult::Lost(_) => RunnerOutcome::Failure,
        _ => RunnerOutcome::Neutral,
    };
    entry.runners().record_end(runner, outcome, now);
    match result {
        AttemptResult::Lost(agent) if !request.service.idempotent => {
            resolve_lost_call(entry, request, id, agent, &holder).await
        }
        result => result,
    }
}

fn outcome_unknown(request: &ServiceRequest) -> RequestError {
    let path = format!("/v1/outcomes/{}", request.key);
    RequestError {
        kind: ErrorKind::OutcomeUnknown(path),
        ran: Execution::Unknown,
    }
}

fn key_taken(request: &ServiceRequest) -> RequestError {
    let kind = ErrorKind::Refused {
        reason: "key_taken".into(),
        remedy: format!(
            "another request with this key is running or has run; query its outcome at /v1/outcomes/{}",
            request.key
        ),
        retry_after_ms: 0,
    };
    RequestError {
        kind,
        ran: Execution::Unknown,
    }
}

async fn dispatch_attempt(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    runner: SocketAddr,
    id: &AttemptId,
    agents: &mut Vec<SocketAddr>,
) -> AttemptResult {
    let left_ms = request.deadline.since(entry.node.now());
    let dispatch = Dispatch {
        id: id.clone(),
        team: request.team.name.clone(),
        service: request.service.name.clone(),
        body: Bytes::clone(&request.body),
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
        Err(err) if err.never_sent() => AttemptResult::NotRun(unreachable_refusal()),
        Err(_) => match entry.node.hub.query(runner, id.clone(), true).await {
            Ok(AttemptState::Tombstoned) => {
                entry.runners().record_activity(runner, entry.node.now());
                AttemptResult::NotRun(unreachable_refusal())
            }
            _ => AttemptResult::Lost(runner),
        },
        Ok((verdict, frames)) => match verdict.refusal {
            Some(refusal) => {
                if verdict.config_offset > entry.node.view.offset() {
                    entry.node.fetch_config_from(runner).await;
                }
                handle_refusal(entry, request, runner, refusal)
            }
            None => {
                agents.push(runner);
                receive_frames(entry, request, frames, id, runner).await
            }
        },
    }
}

fn unreachable_refusal() -> Refusal {
    Refusal {
        reason: "unreachable".into(),
        remedy: "retry shortly".into(),
        retry_after_ms: 500,
    }
}

fn handle_refusal(
    entry: &Entry,
    request: &ServiceRequest,
    runner: SocketAddr,
    refusal: Refusal,
) -> AttemptResult {
    match refusal.reason.as_str() {
        "not_allowed" => {
            let error = SelectionError::NotAllowed(request.service.name.clone());
            AttemptResult::Rejected(ErrorKind::Selection(error).into())
        }
        "leaving" => {
            entry.runners().mark_draining(runner);
            AttemptResult::NotRun(refusal)
        }
        _ => AttemptResult::NotRun(refusal),
    }
}

async fn receive_frames(
    entry: &Entry,
    request: &ServiceRequest,
    mut frames: FrameReceiver,
    id: &AttemptId,
    runner: SocketAddr,
) -> AttemptResult {
    let mut assembler = Assembler::new(id.clone());
    let mut body: Vec<u8> = Vec::new();
    loop {
        let left_ms = request.deadline.since(entry.node.now());
        let timeout = Duration::from_millis(left_ms);
        let frame = match tokio::time::timeout(timeout, frames.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return AttemptResult::Lost(runner),
            // The caller stops waiting, but the call continues at the agent.
            Err(_) => return AttemptResult::OutcomeUnknown,
        };
        let (chunks, end) = match assembler.push(frame) {
            Assembled::Chunks(chunks) => (chunks, None),
            Assembled::Complete(chunks, end) => (chunks, Some(end)),
            Assembled::Failed(_, end) => return failure_result(&end.payload),
            Assembled::Corrupt => return AttemptResult::Lost(runner),
        };
        for chunk in chunks {
            body.extend_from_slice(&chunk.payload);
        }
        if let Some(end) = end {
            let body = Bytes::from(body);
            let response = ServiceResponse {
                status: end.status,
                body,
                replayed: end.replayed,
            };
            return AttemptResult::Completed(response);
        }
    }
}

fn failure_result(payload: &[u8]) -> AttemptResult {
    let failure = Failure::decode(payload);
    match (failure.ran, failure.reason.as_str()) {
        (_, "key_taken") => AttemptResult::KeyTaken,
        (Execution::NotRun, _) => AttemptResult::NotRun(Refusal {
            reason: failure.reason,
            remedy: failure.remedy,
            retry_after_ms: failure.retry_after_ms,
        }),
        _ => AttemptResult::OutcomeUnknown,
    }
}

/// Determines from the log the outcome of a non-idempotent call whose agent was
/// lost.
///
/// A void that precedes the claim proves that the call did not run. While the
/// claim is in force, polling continues only as long as its holder sends
/// heartbeats; after that the outcome cannot be learned in time, so the caller
/// is told at once that it is unknown.
async fn resolve_lost_call(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
    id: &AttemptId,
    agent: SocketAddr,
    holder: &str,
) -> AttemptResult {
    let (team, key) = (&request.team.name, &request.key);
    let claims = &entry.node.claims;
    let own_claim_id = claim_id(&id.request_id, id.attempt);
    loop {
        match claims.claim_status(team, key, &own_claim_id) {
            ClaimStatus::Voided => return AttemptResult::NotRun(unreachable_refusal()),
            ClaimStatus::Won => {
                let reachable = is_holder_reachable(entry, agent, holder);
                if !reachable || entry.node.now() >= request.deadline {
                    return AttemptResult::OutcomeUnknown;
                }
                tokio::time::sleep(Duration::from_millis(CLAIM_POLL_INTERVAL_MS)).await;
            }
            ClaimStatus::Ended {
                ending: Ending::Done,
                status,
                answer,
            } if !answer.is_empty() => {
                let body = Bytes::from(answer);
                let response = ServiceResponse {
                    status,
                    body,
                    replayed: false,
                };
                return AttemptResult::Completed(response);
            }
            ClaimStatus::Ended { .. } => return AttemptResult::OutcomeUnknown,
            ClaimStatus::Pending | ClaimStatus::Taken => {
                let void = ClaimEvent::Void {
                    team: team.clone(),
                    key: key.clone(),
                    claim_id: own_claim_id.clone(),
                };
                if claims
                    .submit(team, key, void, VOID_TIMEOUT_MS)
                    .await
                    .is_err()
                {
                    return AttemptResult::OutcomeUnknown;
                }
            }
        }
    }
}

/// Waits for the call that holds the key to end and returns its response. Gives
/// up when the claim's holder is unreachable or the deadline passes.
async fn await_claim_holder(
    entry: &Arc<Entry>,
    request: &ServiceRequest,
) -> Result<ServiceResponse, RequestError> {
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
                return Ok(ServiceResponse {
                    status,
                    body,
                    replayed: true,
                });
            }
            KeyState::Ended { .. } => return Err(key_taken(request)),
            KeyState::Running { claim } => {
                let agent = entry.runners().address_of(&claim.holder);
                let reachable = agent.is_some_and(|agent| {
                    is_holder_reachable(entry, agent, &claim.holder)
                });
                if !reachable || entry.node.now() >= request.deadline {
                    return Err(key_taken(request));
                }
            }
            // The agent has read more of the log than this entry, or the claim
            // was released in the meantime.
            KeyState::Free => {
                let expired = entry.node.now() >= request.deadline;
                if expired || entry.node.health() != ConfigHealth::Fresh {
                    return Err(key_taken(request));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(CLAIM_POLL_INTERVAL_MS)).await;
    }
}

/// Whether the claim's holder replied to a heartbeat within `silence_ms` under
/// the same instance id. A restarted agent has a new id and no record of the
/// call.
fn is_holder_reachable(entry: &Entry, agent: SocketAddr, holder: &str) -> bool {
    let now = entry.node.now();
    let runners = entry.runners();
    runners.get(agent).is_some_and(|runner| {
        runner.report.instance == holder
            && now.since(runner.last_seen_at) <= entry.pick_settings.silence_ms
    })
}
