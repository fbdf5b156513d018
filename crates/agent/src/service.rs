//! Runs one attempt on a plain service, whose call may not be repeated.

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
    attempt::{Output, hold_copy},
};

/// Largest answer that a repeat of its key gets again, bytes.
const KEPT_ANSWER_BYTES: usize = 4 * 1024;

/// Longest time that a non-idempotent call is waited for after its caller
/// gave up, so that its outcome can still be recorded, ms.
const LINGER_MS: u64 = 120_000;

/// What became of the call.
enum Called {
    Answered { status: u16, body: Bytes },
    NeverSent(String),
    Unknown(String),
}

/// Runs an attempt.
pub(crate) async fn run(
    agent: &Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: &Dispatch,
    out: Output,
) {
    if dispatch.idempotent {
        match agent.with_gate(|gate, cx| gate.start(permit, cx)) {
            Ok(permit) => call_and_answer(agent, &permit, dispatch, out).await,
            Err(reason) => out.refused(reason).await,
        }
        return;
    }
    match claim(agent, permit, dispatch).await {
        Ok(permit) => call_and_answer(agent, &permit, dispatch, out).await,
        Err(Unclaimed::Refused(reason)) => out.refused(reason).await,
        Err(Unclaimed::Known(state)) => answer_known(agent, dispatch, out, state).await,
    }
}

enum Unclaimed {
    Refused(Reason),
    Known(KeyState),
}

/// Claims the key and waits until the log shows who won.
async fn claim(
    agent: &Rc<Agent>,
    permit: Permit<Admitted>,
    dispatch: &Dispatch,
) -> Result<Permit<Started>, Unclaimed> {
    let book = &agent.node.claims;
    let (team, key) = (&dispatch.team, &dispatch.key);
    let known = book.state(team, key);
    if known != KeyState::Free {
        return Err(Unclaimed::Known(known));
    }
    let own = Claim {
        team: team.clone(),
        key: key.clone(),
        request_id: dispatch.id.request_id.clone(),
        holder: agent.node.instance.clone(),
        attempt: dispatch.id.attempt,
    };
    let asked_at = agent.now();
    let wait_ms = agent.node.settings.agent.start_within_ms;
    let event = ClaimEvent::Claim(own.clone());
    if let Err(err) = book.submit(team, key, event, wait_ms).await {
        if err == ClaimError::NoAnswer {
            give_up(agent, dispatch);
        }
        return Err(refuse(agent, dispatch, Reason::NoClaim));
    }
    agent
        .node
        .metrics
        .time_ms("claim", agent.now().since(asked_at));
    match book.standing(team, key, &own.id()) {
        ClaimStatus::Won => {
            let permit = permit.claimed(asked_at);
            let started = agent.with_gate(|gate, cx| gate.start_claimed(permit, cx));
            started.map_err(|reason| {
                give_up(agent, dispatch);
                Unclaimed::Refused(reason)
            })
        }
        ClaimStatus::Voided | ClaimStatus::Unseen => {
            Err(refuse(agent, dispatch, Reason::Tombstoned))
        }
        ClaimStatus::Taken | ClaimStatus::Ended { .. } => {
            Err(Unclaimed::Known(book.state(team, key)))
        }
    }
}

fn refuse(agent: &Agent, dispatch: &Dispatch, reason: Reason) -> Unclaimed {
    let now = agent.now();
    Unclaimed::Refused(agent.gate.borrow_mut().refuse(&dispatch.id, reason, now))
}

/// Sees to it that the claim does not come to stand later, or is ended if it
/// stands: this holder has dropped its permit and will not run the call.
fn give_up(agent: &Agent, dispatch: &Dispatch) {
    let (team, key) = (&dispatch.team, &dispatch.key);
    let void = ClaimEvent::Void {
        team: team.clone(),
        key: key.clone(),
        claim_id: claim_id(&dispatch.id.request_id, dispatch.id.attempt),
    };
    agent.node.claims.post(team, key, void);
    agent
        .node
        .claims
        .post(team, key, ended(agent, dispatch, Ending::NotRun, 0, ""));
}

fn ended(
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

/// Answers for a key that another request has.
async fn answer_known(
    agent: &Agent,
    dispatch: &Dispatch,
    mut out: Output,
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
            let _ = out.chunk(Bytes::from(answer), 0).await;
            let _ = out
                .end(Frame {
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
            let _ = out.failed(&failure).await;
        }
    }
    agent
        .gate
        .borrow_mut()
        .end(&dispatch.id, AttemptState::Tombstoned, now);
}

async fn call_and_answer(
    agent: &Rc<Agent>,
    permit: &Permit<Started>,
    dispatch: &Dispatch,
    mut out: Output,
) {
    let mut wait_ms = permit.work().deadline.since(agent.now());
    if !dispatch.idempotent {
        wait_ms += LINGER_MS;
    }
    let limit = Duration::from_millis(wait_ms);
    let called = tokio::time::timeout(limit, call(agent, dispatch)).await;
    let called = called.unwrap_or(Called::Unknown("no answer in time".into()));
    record(agent, dispatch, &called);
    let state = match called {
        Called::Answered { status, body } => {
            let line = LineItem::for_service(&dispatch.service, dispatch.cost_micros);
            hold_copy(agent, dispatch, line);
            let _ = out.chunk(body, 0).await;
            let _ = out
                .end(Frame {
                    status,
                    ..Frame::default()
                })
                .await;
            AttemptState::Done
        }
        Called::NeverSent(why) => {
            let failure = Failure {
                reason: "service_unreachable".into(),
                remedy: "come back later".into(),
                ran: Execution::NotRun,
                retry_after_ms: 1_000,
            };
            let _ = out.failed(&failure).await;
            AttemptState::Failed(why)
        }
        Called::Unknown(why) => {
            let event = Event::new("service_unknown")
                .with("request", &dispatch.id.request_id)
                .with("why", &why);
            warn!("{event}");
            let failure = Failure {
                reason: "service_unknown".into(),
                remedy: "ask for the outcome, and ask the service's keepers".into(),
                ran: Execution::Unknown,
                retry_after_ms: 0,
            };
            let _ = out.failed(&failure).await;
            AttemptState::Failed(why)
        }
    };
    agent
        .gate
        .borrow_mut()
        .end(&dispatch.id, state, agent.now());
}

/// Puts the outcome of a claimed call on the log.
fn record(agent: &Agent, dispatch: &Dispatch, called: &Called) {
    if dispatch.idempotent {
        return;
    }
    let event = match called {
        Called::Answered { status, body } => {
            let text = std::str::from_utf8(body).unwrap_or_default();
            let kept = if text.len() <= KEPT_ANSWER_BYTES {
                text
            } else {
                ""
            };
            ended(agent, dispatch, Ending::Done, *status, kept)
        }
        Called::NeverSent(_) => ended(agent, dispatch, Ending::NotRun, 0, ""),
        Called::Unknown(_) => ended(agent, dispatch, Ending::Unknown, 0, ""),
    };
    agent.node.claims.post(&dispatch.team, &dispatch.key, event);
}

async fn call(agent: &Agent, dispatch: &Dispatch) -> Called {
    let address = agent.node.settings.agent.endpoint_address;
    // A connection of its own tells "never sent" from "sent": nothing goes
    // out before it stands.
    if let Err(err) = tokio::net::TcpStream::connect(address).await {
        return Called::NeverSent(err.to_string());
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
        Err(err) => return Called::Unknown(err.to_string()),
    };
    let status = response.status().as_u16();
    match response.into_body().into_vec().await {
        Ok(body) => Called::Answered {
            status,
            body: Bytes::from(body),
        },
        Err(err) => Called::Unknown(err.to_string()),
    }
}
