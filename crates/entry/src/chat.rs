//! Chat completions: from the request's body to its pieces.

use std::{net::SocketAddr, sync::Arc};

use bill::Bill;
use bytes::Bytes;
use clock::{Clock, Millis};
use config::{Config, TeamSpec};
use log::info;
use route::{ModelSelector, Target, parse_model_selector};
use serde::Deserialize;
use serde_json::Value;
use telemetry::Event;
use tokio::sync::mpsc;
use wire::Execution;

use crate::{
    Entry, RequestError, Stage,
    answer::{Piece, Pieces, Usage},
    attempt::{StepError, Trail, settle},
    cascade::{self, Step},
    outcomes::Outcome,
    rate::Rated,
    session::SessionState,
};

/// What is read of a chat request; the rest goes to the engine as it came.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatBody {
    model: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    pub stream: bool,
}

/// A chat request that was let in.
pub(crate) struct ChatRequest {
    pub request_id: String,
    pub client_id: String,
    pub team: TeamSpec,
    pub session: SessionState,
    pub body: Bytes,
    pub prompt: String,
    pub deadline: Millis,
    pub priority: u8,
    pub started: Millis,
    steps: Vec<Step>,
}

/// What the headers of a request said.
pub(crate) struct RequestHead {
    pub request_id: String,
    pub client_id: String,
    pub team: TeamSpec,
    pub session: SessionState,
    pub deadline: Millis,
    pub started: Millis,
    pub priority: u8,
}

impl ChatBody {
    /// Reads a body, or tells what is wrong with it.
    pub fn parse(body: &[u8]) -> Result<ChatBody, RequestError> {
        let text = std::str::from_utf8(body).map_err(|_| {
            Stage::BadRequest("the body is not UTF-8; send JSON in UTF-8".into())
        })?;
        let chat: ChatBody = serde_json::from_str(text).map_err(|err| {
            Stage::BadRequest(format!(
                "the body is not a chat request ({err}); correct it"
            ))
        })?;
        if chat.messages.is_empty() {
            let why = "the request has no messages; give one";
            return Err(Stage::BadRequest(why.into()).into());
        }
        Ok(chat)
    }

    fn prompt(&self) -> String {
        let contents = self
            .messages
            .iter()
            .filter_map(|message| message.get("content"));
        let texts: Vec<&str> = contents.filter_map(Value::as_str).collect();
        texts.join("\n")
    }
}

/// The steps that a `model` field stands for.
fn steps(config: &Config, team: &str, model: &str) -> Result<Vec<Step>, RequestError> {
    let one = |model: &str, pinned: Option<&str>| Step {
        model: model.to_owned(),
        pinned: pinned.map(str::to_owned),
        pass_rating: None,
    };
    match parse_model_selector(config, model).map_err(Stage::Route)? {
        ModelSelector::Model(model) => Ok(vec![one(model, None)]),
        ModelSelector::Pinned(model, version) => Ok(vec![one(model, Some(version))]),
        ModelSelector::Cascade(name) => Ok(cascade_steps(config, team, name)),
    }
}

/// A cascade's steps that the team may use; the last one left serves.
fn cascade_steps(config: &Config, team: &str, name: &str) -> Vec<Step> {
    let cascade = &config.cascades[name].value;
    let may_use = |model: &str| {
        let versions = config.versions.get(model);
        versions.is_some_and(|all| all.keys().any(|v| config.permits(team, model, v)))
    };
    let allowed = cascade.steps.iter().filter(|step| may_use(&step.model));
    let mut steps: Vec<Step> = allowed
        .map(|step| Step {
            model: step.model.clone(),
            pinned: None,
            pass_rating: Some(step.pass_rating),
        })
        .collect();
    if let Some(last) = steps.last_mut() {
        last.pass_rating = None;
    }
    steps
}

/// Lets a request in and starts it; its pieces come on the receiver.
pub(crate) fn start(
    entry: &Arc<Entry>,
    head: RequestHead,
    chat: &ChatBody,
    body: Bytes,
) -> Result<mpsc::Receiver<Piece>, RequestError> {
    let config = entry.config();
    let steps = steps(&config, &head.team.name, &chat.model)?;
    let Some(last) = steps.last() else {
        let name = route::RouteError::NotAllowed(chat.model.clone());
        return Err(Stage::Route(name).into());
    };
    let serving = config
        .models
        .get(&last.model)
        .map(|m| m.value.serving.clone());
    let version = last.pinned.clone().or(serving).unwrap_or_default();
    let target = format!("{}@{version}", last.model);
    let share = entry.share(Some(Target::Version(&target)));
    let now = entry.node.now();
    entry
        .admission()
        .admit(&head.team, share, now)
        .map_err(Stage::Admission)?;
    if entry.node.bills().reserve().is_err() {
        entry.admission().release(&head.team.name);
        return Err(Stage::BillsFull.into());
    }
    let request = ChatRequest {
        request_id: head.request_id,
        client_id: head.client_id,
        team: head.team,
        session: head.session,
        body,
        prompt: chat.prompt(),
        deadline: head.deadline,
        priority: head.priority,
        started: head.started,
        steps,
    };
    let (pieces, receiver) = mpsc::channel(crate::answer::PIECES_WAITING);
    tokio::spawn(drive(entry.clone(), request, pieces));
    Ok(receiver)
}

/// Runs a request to its end, whatever that is.
async fn drive(entry: Arc<Entry>, mut request: ChatRequest, pieces: Pieces) {
    note(&entry, &request, Outcome::Running);
    let mut trail = Trail::default();
    let steps = std::mem::take(&mut request.steps);
    let result = cascade::run(&entry, &mut request, &steps, &pieces, &mut trail).await;
    let mut spent = 0;
    match result {
        Ok(served) => {
            let usage = Usage {
                prompt_tokens: served.last.line.prompt_tokens,
                output_tokens: served.last.line.output_tokens,
            };
            spent = usage.output_tokens;
            let rated = rated(&request, &served.last.line, served.last.text.clone());
            let outside = served.last.served_outside;
            hold(&entry, &request, served.lines, &trail.agents, outside).await;
            note(&entry, &request, Outcome::Done);
            let _ = pieces.send(Piece::End(usage)).await;
            entry.watch_rating(rated);
            entry.node.metrics.count("answered");
        }
        Err(unserved) => match unserved.error {
            StepError::CallerGone(line) => {
                // The caller had part of the answer; that part is billed.
                let mut lines = unserved.lines;
                spent = line.output_tokens;
                lines.push(line);
                hold(&entry, &request, lines, &trail.agents, false).await;
                let code = "caller_gone".to_owned();
                note(
                    &entry,
                    &request,
                    Outcome::Failed {
                        code,
                        ran: Execution::Partial,
                    },
                );
            }
            StepError::Request(mut error) => {
                error.ran = trail.ran(error.ran);
                let code = error.code().to_owned();
                note(
                    &entry,
                    &request,
                    Outcome::Failed {
                        code,
                        ran: error.ran,
                    },
                );
                entry.node.metrics.count("failed");
                // There is no bill, so the agents' copies go at once.
                settle(&entry, &request.request_id, trail.agents);
                let _ = pieces.send(Piece::Error(error)).await;
            }
        },
    }
    finish(&entry, &request, spent, trail.attempts);
}

fn rated(request: &ChatRequest, line: &bill::LineItem, answer: String) -> Rated {
    Rated {
        team: request.team.name.clone(),
        model: line.model.clone(),
        version: line.version.clone(),
        prompt: request.prompt.clone(),
        answer,
    }
}

/// Holds the bill in two rooms before the answer's end goes out.
async fn hold(
    entry: &Entry,
    request: &ChatRequest,
    lines: Vec<bill::LineItem>,
    agents: &[SocketAddr],
    served_outside: bool,
) {
    let bill = Bill {
        request_id: request.request_id.clone(),
        team: request.team.name.clone(),
        at_ms: entry.node.clock.wall().0,
        lines,
    };
    entry.node.hold_bill(bill, agents, served_outside).await;
}

fn note(entry: &Entry, request: &ChatRequest, outcome: Outcome) {
    let mut outcomes = entry.outcomes();
    outcomes.set(&request.team.name, &request.request_id, outcome.clone());
    if !request.client_id.is_empty() {
        outcomes.set(&request.team.name, &request.client_id, outcome);
    }
}

fn finish(entry: &Entry, request: &ChatRequest, spent: u64, attempts: u32) {
    let now = entry.node.now();
    let team = &request.team.name;
    let mut admission = entry.admission();
    admission.record_tokens(team, spent, now);
    admission.release(team);
    drop(admission);
    entry.node.bills().unreserve();
    let took_ms = now.since(request.started);
    entry.node.metrics.time_ms("answer", took_ms);
    let event = Event::new("request_end")
        .with("request", &request.request_id)
        .with("team", team)
        .with("attempts", attempts)
        .with("tokens", spent)
        .with("took_ms", took_ms);
    info!("{event}");
}
