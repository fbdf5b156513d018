//! Chat completions, from the request body to the response parts.

use std::{net::SocketAddr, sync::Arc};

use bill::Bill;
use clock::{Clock, Millis};
use config::{Config, TeamSpec};
use ingress::HeldBody;
use log::info;
use route::{ModelSelector, Target, parse_model_selector};
use serde::Deserialize;
use serde_json::Value;
use telemetry::Event;
use tokio::sync::mpsc;
use wire::Execution;

use crate::{
    Entry, ErrorKind, RequestError,
    attempt::{AttemptHistory, StepError, settle_agents},
    cascade::{self, Step},
    channel::{ResponsePart, ResponseSender, Usage},
    outcomes::Outcome,
    rater::RatingInput,
    session::SessionState,
};

/// Fields read from a chat request. The body is passed to the engine unchanged.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatBody {
    model: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    pub stream: bool,
}

/// An admitted chat request.
pub(crate) struct ChatRequest {
    pub request_id: String,
    /// Id sent by the caller in `x-request-id`, or empty.
    pub caller_request_id: String,
    pub team: TeamSpec,
    pub session: SessionState,
    pub body: HeldBody,
    pub prompt: String,
    pub deadline: Millis,
    pub priority: u8,
    pub started: Millis,
    steps: Vec<Step>,
}

/// Parameters of a request that were read from its headers.
pub(crate) struct RequestContext {
    pub request_id: String,
    /// Id sent by the caller in `x-request-id`, or empty.
    pub caller_request_id: String,
    pub team: TeamSpec,
    pub session: SessionState,
    pub deadline: Millis,
    pub started: Millis,
    pub priority: u8,
}

impl ChatBody {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the body is not UTF-8, not a chat request or
    /// has no messages.
    pub fn parse(body: &[u8]) -> Result<ChatBody, RequestError> {
        let text = std::str::from_utf8(body).map_err(|_| {
            ErrorKind::BadRequest("the body is not UTF-8; send JSON in UTF-8".into())
        })?;
        let chat: ChatBody = serde_json::from_str(text).map_err(|err| {
            ErrorKind::BadRequest(format!(
                "the body is not a chat request ({err}); correct it"
            ))
        })?;
        if chat.messages.is_empty() {
            let message = "the request has no messages; add at least one";
            return Err(ErrorKind::BadRequest(message.into()).into());
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

/// Resolves the `model` field of a request to its steps.
fn resolve_steps(
    config: &Config,
    team: &str,
    model: &str,
) -> Result<Vec<Step>, RequestError> {
    let single_step = |model: &str, pinned: Option<&str>| Step {
        model: model.to_owned(),
        pinned: pinned.map(str::to_owned),
        pass_rating: None,
    };
    match parse_model_selector(config, model).map_err(ErrorKind::Selection)? {
        ModelSelector::Model(model) => Ok(vec![single_step(model, None)]),
        ModelSelector::Pinned(model, version) => {
            Ok(vec![single_step(model, Some(version))])
        }
        ModelSelector::Cascade(name) => Ok(cascade_steps(config, team, name)),
    }
}

/// Returns the cascade's steps that the team may use. The last of them accepts
/// any response.
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

/// Admits a request and runs it in a background task; the receiver yields the
/// parts of its response.
pub(crate) fn start(
    entry: &Arc<Entry>,
    context: RequestContext,
    chat: &ChatBody,
    body: HeldBody,
) -> Result<mpsc::Receiver<ResponsePart>, RequestError> {
    let config = entry.config();
    let steps = resolve_steps(&config, &context.team.name, &chat.model)?;
    let Some(last) = steps.last() else {
        let err = route::SelectionError::NotAllowed(chat.model.clone());
        return Err(ErrorKind::Selection(err).into());
    };
    let serving = config
        .models
        .get(&last.model)
        .map(|m| m.value.serving.clone());
    let version = last.pinned.clone().or(serving).unwrap_or_default();
    let target = format!("{}@{version}", last.model);
    let capacity = entry.pool_capacity(Some(Target::Version(&target)));
    let now = entry.node.now();
    entry
        .admission()
        .admit(&context.team, capacity, now)
        .map_err(ErrorKind::Admission)?;
    if entry.node.bills().reserve().is_err() {
        entry.admission().release(&context.team.name);
        return Err(ErrorKind::BillsFull.into());
    }
    let request = ChatRequest {
        request_id: context.request_id,
        caller_request_id: context.caller_request_id,
        team: context.team,
        session: context.session,
        body,
        prompt: chat.prompt(),
        deadline: context.deadline,
        priority: context.priority,
        started: context.started,
        steps,
    };
    let (sender, receiver) = mpsc::channel(crate::channel::CHANNEL_CAPACITY);
    tokio::spawn(run_request(entry.clone(), request, sender));
    Ok(receiver)
}

/// Runs a request to completion and records its outcome.
async fn run_request(
    entry: Arc<Entry>,
    mut request: ChatRequest,
    sender: ResponseSender,
) {
    record_outcome(&entry, &request, Outcome::Running);
    let mut history = AttemptHistory::default();
    let steps = std::mem::take(&mut request.steps);
    let result =
        cascade::run(&entry, &mut request, &steps, &sender, &mut history).await;
    let mut output_tokens = 0;
    match result {
        Ok(output) => {
            let usage = Usage {
                prompt_tokens: output.last.line.prompt_tokens,
                output_tokens: output.last.line.output_tokens,
            };
            output_tokens = usage.output_tokens;
            let input =
                rating_input(&request, &output.last.line, output.last.text.clone());
            let other_domain = output.last.served_from_other_domain;
            hold_bill(
                &entry,
                &request,
                output.lines,
                &history.agents,
                other_domain,
            )
            .await;
            record_outcome(&entry, &request, Outcome::Done);
            let _ = sender.send(ResponsePart::End(usage)).await;
            entry.rate_in_background(input);
            entry.node.metrics.count("answered");
        }
        Err(err) => match err.error {
            StepError::CallerDisconnected(line) => {
                // The caller received part of the response, which is billed.
                let mut lines = err.lines;
                output_tokens = line.output_tokens;
                lines.push(line);
                hold_bill(&entry, &request, lines, &history.agents, false).await;
                let code = "caller_gone".to_owned();
                record_outcome(
                    &entry,
                    &request,
                    Outcome::Failed {
                        code,
                        ran: Execution::Partial,
                    },
                );
            }
            StepError::Request(mut error) => {
                error.ran = history.overall_ran(error.ran);
                let code = error.code().to_owned();
                record_outcome(
                    &entry,
                    &request,
                    Outcome::Failed {
                        code,
                        ran: error.ran,
                    },
                );
                entry.node.metrics.count("failed");
                // There is no bill, so the agents can drop their copies now.
                settle_agents(&entry, &request.request_id, history.agents);
                let _ = sender.send(ResponsePart::Error(error)).await;
            }
        },
    }
    finish(&entry, &request, output_tokens, history.attempts);
}

fn rating_input(
    request: &ChatRequest,
    line: &bill::LineItem,
    answer: String,
) -> RatingInput {
    RatingInput {
        team: request.team.name.clone(),
        model: line.model.clone(),
        version: line.version.clone(),
        prompt: request.prompt.clone(),
        answer,
    }
}

/// Stores the bill in two failure domains before the end of the response is
/// sent.
async fn hold_bill(
    entry: &Entry,
    request: &ChatRequest,
    lines: Vec<bill::LineItem>,
    agents: &[SocketAddr],
    served_from_other_domain: bool,
) {
    let bill = Bill {
        request_id: request.request_id.clone(),
        team: request.team.name.clone(),
        at_ms: entry.node.clock.wall().0,
        lines,
    };
    entry
        .node
        .hold_bill(bill, agents, served_from_other_domain)
        .await;
}

fn record_outcome(entry: &Entry, request: &ChatRequest, outcome: Outcome) {
    let mut outcomes = entry.outcomes();
    outcomes.set(&request.team.name, &request.request_id, outcome.clone());
    if !request.caller_request_id.is_empty() {
        outcomes.set(&request.team.name, &request.caller_request_id, outcome);
    }
}

fn finish(entry: &Entry, request: &ChatRequest, output_tokens: u64, attempts: u32) {
    let now = entry.node.now();
    let team = &request.team.name;
    let mut admission = entry.admission();
    admission.record_tokens(team, output_tokens, now);
    admission.release(team);
    drop(admission);
    entry.node.bills().unreserve();
    let took_ms = now.since(request.started);
    entry.node.metrics.time_ms("answer", took_ms);
    let event = Event::new("request_end")
        .with("request", &request.request_id)
        .with("team", team)
        .with("attempts", attempts)
        .with("tokens", output_tokens)
        .with("took_ms", took_ms);
    info!("{event}");
}
