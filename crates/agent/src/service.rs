//! Execution of one attempt on a plain service, including services whose calls
//! must not be repeated.

use std::{rc::Rc, time::Duration};

use bill::LineItem;
use bytes::Bytes;
use claim::{Claim, ClaimEvent, ClaimStatus, Ending, KeyState, claim_id};
use gate::{Admitted, Permit, Reason, Started};
use log::warn;
use node::ClaimError;
use telemetry::Event;
use volo_http::{
    body::{Body, BodyConversion},
    response::Response,
};
use wire::{AttemptState, Dispatch, Execution, Failure, Frame};

use crate::{
    Agent,
    attempt::{FrameWriter, hold_bill_copy},
};

/// Maximum size of a response body that is stored in the log and replayed for a
/// repeated key, bytes.
const STORED_RESPONSE_MAX_BYTES: usize = 4 * 1024;

/// Time to wait for a non-idempotent call after the caller's deadline, so that
/// its outcome can still be recorded, ms.
const OUTCOME_WAIT_MS: u64 = 120_000;

/// Result of a call to the service.
enum CallOutcome {
    /// The service returned a complete response.
    Responded { status: u16, body: Bytes },
    /// No connection could be opened, so the call did not run.
    NotSent(String),
    /// The call may have run.
    Unknown(String),
}

/// Runs an attempt; a non-idempotent one must first win the claim on its key.
pub(crate) async fn run(
    agent: &Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: &Dispatch,
    out: FrameWriter,
) {
    if dispatch.idempotent {
        match agent.with_gate(|gate, cx| gate.start(permit, cx)) {
            Ok(permit) => call_and_reply(agent, &permit, dispatch, out).await,
            Err(reason) => out.send_refusal(reason).await,
        }
        return;
    }
    match claim_key(agent, permit, dispatch).await {
        Ok(permit) => call_and_reply(agent, &permit, dispatch, out).await,
        Err(ClaimFailure::Refused(reason)) => out.send_refusal(reason).await,
        Err(ClaimFailure::KeyUsed(state)) => {
            reply_for_used_key(agent, dispatch, out, state).await
        }
    }
}

/// Reason why an attempt did not win the claim on its key.
enum ClaimFailure {
    /// The gate or the log refused the attempt.
    Refused(Reason),
    /// Another request has claimed the key.
    KeyUsed(KeyState),
}

/// Appends a claim on the key and waits until the log shows which claim won.
async fn claim_key(
    agent: &Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: &Dispatch,
) -> Result<Permit<Started>, ClaimFailure> {
    let claims = &agent.node.claims;
    let (team, key) = (&dispatch.team, &dispatch.key);
    let state = claims.state(team, key);
    if state != KeyState::Free {
        return Err(ClaimFailure::KeyUsed(state));
    }
    let claim = Claim {
        team: team.clone(),
        key: key.clone(),
        request_id: dispatch.id.request_id.clone(),
        holder: agent.node.instance.clone(),
        attempt: dispatch.id.attempt,
    };
    let requested_at = agent.now();
    let timeout_ms = agent.node.settings.agent.start_within_ms;
    let event = ClaimEvent::Claim(claim.clone());
    if let Err(err) = claims.submit(team, key, event, timeout_ms).await {
        if err == ClaimError::Unconfirmed {
            abandon_claim(agent, dispatch);
        }
        return Err(refuse_attempt(agent, dispatch, Reason::NoClaim));
    }
    agent
        .node
        .metrics
        .time_ms("claim", agent.now().since(requested_at));
    match claims.claim_status(team, key, &claim.id()) {
        ClaimStatus::Won => {
            let permit = permit.claimed(requested_at);
            let started = agent.with_gate(|gate, cx| gate.start_claimed(permit, cx));
            started.map_err(|reason| {
                abandon_claim(agent, dispatch);
                ClaimFailure::Refused(reason)
            })
        }
        ClaimStatus::Voided | ClaimStatus::Pending => {
            Err(refuse_attempt(agent, dispatch, Reason::Tombstoned))
        }
        ClaimStatus::Taken | ClaimStatus::Ended { .. } => {
            Err(ClaimFailure::KeyUsed(claims.state(team, key)))
        }
    }
}

fn refuse_attempt(agent: &Agent, dispatch: &Dispatch, reason: Reason) -> ClaimFailure {
    let now = agent.now();
    ClaimFailure::Refused(agent.gate.borrow_mut().refuse(&dispatch.id, reason, now))
}

/// Appends events that void the claim, or end it if it has already won.
///
/// This agent has dropped the permit and will not run the call, so the claim
/// must not win later.
fn abandon_claim(agent: &Agent, dispatch: &Dispatch) {
    let (team, key) = (&dispatch.team, &dispatch.key);
    let void_event = ClaimEvent::Void {
        team: team.clone(),
        key: key.clone(),
        claim_id: claim_id(&dispatch.id.request_id, dispatch.id.attempt),
    };
    agent.node.claims.post(team, key, void_event);
    agent.node.claims.post(
        team,
        key,
        ended_event(agent, dispatch, Ending::NotRun, 0, ""),
    );
}

fn ended_event(
    agent: &Agent,
    dispatch: &Dispatch,
    ending: Ending,
    status: u16,
    answer: &str,
) -> ClaimEvent {
    ClaimEvent::Ended {
        team: dispatch.team.clone(),
        key: dispatch.key.clone(),
        holder: agent.node.instance.clone(),
        ending,
        status,
        answer: answer.to_owned(),
    }
}

/// Replies to an attempt whose key was claimed by another request: replays the
/// stored response if there is one, else fails.
async fn reply_for_used_key(
    agent: &Agent,
    dispatch: &Dispatch,
    mut out: FrameWriter,
    state: KeyState,
) {
    let now = agent.now();
    match state {
        KeyState::Ended {
            ending: Ending::Done,
            status,
            answer,
            ..
        } if !answer.is_empty() => {
            let _ = out.send_chunk(Bytes::from(answer), 0).await;
            let _ = out
                .send_end(Frame {
                    status,
                    replayed: true,
                    ..Frame::default()
                })
                .await;
        }
        _ => {
            let failure = Failure {
                reason: Reason::KeyTaken.code().into(),
                remedy: Reason::KeyTaken.to_string(),
                ran: Execution::Unknown,
                retry_after_ms: 0,
            };
            let _ = out.send_failure(&failure).await;
        }
    }
    agent
        .gate
        .borrow_mut()
        .end(&dispatch.id, AttemptState::Tombstoned, now);
}

async fn call_and_reply(
    agent: &Rc<Agent>,
    permit: &Permit<Started>,
    dispatch: &Dispatch,
    mut out: FrameWriter,
) {
    let mut timeout_ms = permit.work().deadline.since(agent.now());
    if !dispatch.idempotent {
        timeout_ms += OUTCOME_WAIT_MS;
    }
    let limit = Duration::from_millis(timeout_ms);
    let outcome = tokio::time::timeout(limit, call(agent, dispatch)).await;
    let outcome = outcome.unwrap_or(CallOutcome::Unknown("timed out".into()));
    record_outcome(agent, dispatch, &outcome);
    let state = match outcome {
        CallOutcome::Responded { status, body } => {
            let line_item =
                LineItem::for_service(&dispatch.service, dispatch.cost_micros);
            hold_bill_copy(agent, dispatch, line_item);
            let _ = out.send_chunk(body, 0).await;
            let _ = out
                .send_end(Frame {
                    status,
                    ..Frame::default()
                })
                .await;
            AttemptState::Done
        }
        CallOutcome::NotSent(detail) => {
            let failure = Failure {
                reason: "service_unreachable".into(),
                remedy: "retry later".into(),
                ran: Execution::NotRun,
                retry_after_ms: 1_000,
            };
            let _ = out.send_failure(&failure).await;
            AttemptState::Failed(detail)
        }
        CallOutcome::Unknown(detail) => {
            let event = Event::new("service_unknown")
                .with("request", &dispatch.id.request_id)
                .with("why", &detail);
            warn!("{event}");
            let failure = Failure {
                reason: "service_unknown".into(),
                remedy: "query the outcome, and ask the operators of the service"
                    .into(),
                ran: Execution::Unknown,
                retry_after_ms: 0,
            };
            let _ = out.send_failure(&failure).await;
            AttemptState::Failed(detail)
        }
    };
    agent
        .gate
        .borrow_mut()
        .end(&dispatch.id, state, agent.now());
}

/// Appends the outcome of a claimed call to the log.
fn record_outcome(agent: &Agent, dispatch: &Dispatch, outcome: &CallOutcome) {
    if dispatch.idempotent {
        return;
    }
    let event = match outcome {
        CallOutcome::Responded { status, body } => {
            let text = std::str::from_utf8(body).unwrap_or_default();
            let stored = if text.len() <= STORED_RESPONSE_MAX_BYTES {
                text
            } else {
                ""
            };
            ended_event(agent, dispatch, Ending::Done, *status, stored)
        }
        CallOutcome::NotSent(_) => ended_event(agent, dispatch, Ending::NotRun, 0, ""),
        CallOutcome::Unknown(_) => ended_event(agent, dispatch, Ending::Unknown, 0, ""),
    };
    agent.node.claims.post(&dispatch.team, &dispatch.key, event);
}

async fn call(agent: &Agent, dispatch: &Dispatch) -> CallOutcome {
    let address = agent.node.settings.agent.endpoint_address;
    // Connecting separately first distinguishes "not sent" from "possibly sent":
    // no request bytes leave before this connection is established.
    if let Err(err) = tokio::net::TcpStream::connect(address).await {
        return CallOutcome::NotSent(err.to_string());
    }
    let path = if dispatch.path.is_empty() {
        "/"
    } else {
        &dispatch.path
    };
    let request = agent
        .client
        .post(format!("http://{address}{path}"))
        .header("idempotency-key", dispatch.key.as_str())
        .header("x-request-id", dispatch.id.request_id.as_str())
        .body(Body::from(dispatch.body.clone()));
    let response: Response = match request.send().await {
        Ok(response) => response,
        Err(err) => return CallOutcome::Unknown(err.to_string()),
    };
    let status = response.status().as_u16();
    match response.into_body().into_vec().await {
        Ok(body) => CallOutcome::Responded {
            status,
            body: Bytes::from(body),
        },
        Err(err) => CallOutcome::Unknown(err.to_string()),
    }
}
