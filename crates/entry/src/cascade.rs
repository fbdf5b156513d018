//! Executes a request over the steps of a cascade, or on a single model.

use std::sync::Arc;

use bill::LineItem;
use config::Config;
use rand::RngExt;
use route::{SelectionError, StepCosts, VersionChoice, choose_version};

use crate::{
    Entry, ErrorKind,
    attempt::{AttemptHistory, StepError, StepOutput, StepRequest, StepSink, run_step},
    channel::{ResponseHead, ResponseSender},
    chat::ChatRequest,
    rater::RatingInput,
};

/// Assumed pass rate of a step that has no ratings yet.
const PRIOR_PASS_RATE: f64 = 0.7;

/// Typical number of output tokens, for comparing the prices of steps.
const TYPICAL_OUTPUT_TOKENS: f64 = 600.0;

/// Typical duration of a step, ms. Used for every step, since durations are not
/// measured per model.
const TYPICAL_STEP_MS: f64 = 1_500.0;

/// A model to try and the minimum rating at which its response is returned. The
/// last step has no minimum.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub model: String,
    /// Version that the caller requires, if any.
    pub pinned: Option<String>,
    pub pass_rating: Option<f64>,
}

/// Complete response, with the bill lines of all executed steps.
pub(crate) struct CascadeOutput {
    pub lines: Vec<LineItem>,
    pub last: StepOutput,
}

/// Reason why there is no response, with the bill lines of the steps completed
/// before.
pub(crate) struct CascadeError {
    pub lines: Vec<LineItem>,
    pub error: StepError,
}

/// Runs the steps in order until a response meets its minimum rating.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    request: &mut ChatRequest,
    steps: &[Step],
    sender: &ResponseSender,
    history: &mut AttemptHistory,
) -> Result<CascadeOutput, CascadeError> {
    let mut lines: Vec<LineItem> = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        let rest = &steps[index + 1..];
        if !rest.is_empty() && !is_worth_trying(entry, request, step, rest) {
            continue;
        }
        let result =
            run_cascade_step(entry, request, step, sender, history, &lines).await;
        let (output, mut sink) = match result {
            Ok(found) => found,
            // The request continues with the next step if a cheaper one fails.
            Err(StepError::Request(_)) if !rest.is_empty() => continue,
            Err(error) => return Err(CascadeError { lines, error }),
        };
        history.step_completed = true;
        lines.push(output.line.clone());
        if step.pass_rating.is_some()
            && !meets_pass_rating(entry, request, step, &output).await
        {
            entry.node.metrics.count("escalated");
            continue;
        }
        if sink.flush().await.is_err() {
            let line = lines.pop().unwrap_or_default();
            return Err(CascadeError {
                lines,
                error: StepError::CallerDisconnected(line),
            });
        }
        return Ok(CascadeOutput {
            lines,
            last: output,
        });
    }
    let error = ErrorKind::EndpointsFailed("no step returned a response".into());
    Err(CascadeError {
        lines,
        error: StepError::Request(error.into()),
    })
}

async fn run_cascade_step(
    entry: &Arc<Entry>,
    request: &mut ChatRequest,
    step: &Step,
    sender: &ResponseSender,
    history: &mut AttemptHistory,
    prior_lines: &[LineItem],
) -> Result<(StepOutput, StepSink), StepError> {
    let (choice, cost) = select_version(entry, request, step).await?;
    let head = ResponseHead {
        version: format!("{}@{}", step.model, choice.version),
        ticket: request.session.signed_ticket(entry),
    };
    let mut sink = match step.pass_rating {
        Some(_) => StepSink::buffered(sender.clone(), head),
        None => StepSink::streaming(sender.clone(), head),
    };
    let step_request = StepRequest {
        request_id: &request.request_id,
        team: &request.team.name,
        model: &step.model,
        version: &choice.version,
        continues: choice.continues,
        body: &request.body,
        deadline: request.deadline,
        prior_lines,
        priority: request.priority,
        cost_micros_per_ktoken: cost,
    };
    let output = run_step(entry, &step_request, &mut sink, history).await?;
    Ok((output, sink))
}

/// Selects the version and binds a new session to it.
async fn select_version(
    entry: &Arc<Entry>,
    request: &mut ChatRequest,
    step: &Step,
) -> Result<(VersionChoice, u64), StepError> {
    if !request.session.is_binding_known(entry) {
        return Err(StepError::Request(ErrorKind::NotReady.into()));
    }
    let started_on = request.session.bound_version(entry, &step.model);
    let config = entry.config();
    let mut choice = resolve_version(&config, request, step, started_on.as_deref())?;
    if request.session.is_requested && started_on.is_none() {
        let bound = request
            .session
            .bind(entry, &step.model, &choice.version)
            .await;
        if bound != choice.version {
            choice = resolve_version(&entry.config(), request, step, Some(&bound))?;
        }
    }
    let version = config.version(&step.model, &choice.version);
    let cost = version.map_or(0, |object| object.value.spec.cost_micros_per_ktoken);
    Ok((choice, cost))
}

fn resolve_version(
    config: &Config,
    request: &ChatRequest,
    step: &Step,
    started_on: Option<&str>,
) -> Result<VersionChoice, StepError> {
    let pinned = step.pinned.as_deref();
    let conflict = pinned
        .zip(started_on)
        .is_some_and(|(pinned, bound)| pinned != bound);
    if conflict {
        let message = "the session is bound to another version; request the model without a version, or start a new session";
        return Err(StepError::Request(
            ErrorKind::BadRequest(message.into()).into(),
        ));
    }
    let chosen = choose_version(
        config,
        &request.team.name,
        &step.model,
        pinned,
        request.session.as_selection_input(started_on),
        &request.request_id,
    );
    chosen.map_err(|err: SelectionError| {
        StepError::Request(ErrorKind::Selection(err).into())
    })
}

/// Whether trying a cheap step is expected to save money, given its learned
/// pass rate.
fn is_worth_trying(
    entry: &Entry,
    request: &ChatRequest,
    step: &Step,
    rest: &[Step],
) -> bool {
    let costs = StepCosts {
        step_micros: typical_price_micros(entry, &step.model),
        next_micros: rest
            .first()
            .map_or(0.0, |next| typical_price_micros(entry, &next.model)),
        step_ms: TYPICAL_STEP_MS,
        micros_per_ms: entry.weights().micros_per_ms,
        left_ms: request.deadline.since(entry.node.now()) as f64,
        later_steps_ms: TYPICAL_STEP_MS,
    };
    let rates = entry.pass_rates();
    let pass_rate = rates.pass_rate(&request.team.name, &step.model, PRIOR_PASS_RATE);
    let explore = entry.rng().random_range(0.0..1.0);
    rates.should_try(entry.cascade_policy, pass_rate, costs, explore)
}

fn typical_price_micros(entry: &Entry, model: &str) -> f64 {
    let config = entry.config();
    let serving = config
        .models
        .get(model)
        .map(|object| object.value.serving.clone());
    let version = serving.and_then(|serving| config.version(model, &serving).cloned());
    let price = version.map_or(0, |object| object.value.spec.cost_micros_per_ktoken);
    price as f64 * TYPICAL_OUTPUT_TOKENS / 1_000.0
}

/// Requests a rating and compares it with the step's minimum. Without a rating
/// the next step is tried, because quality takes precedence over cost.
async fn meets_pass_rating(
    entry: &Arc<Entry>,
    request: &ChatRequest,
    step: &Step,
    output: &StepOutput,
) -> bool {
    let min_rating = step.pass_rating.unwrap_or(0.0);
    let input = RatingInput {
        team: request.team.name.clone(),
        model: step.model.clone(),
        version: output.line.version.clone(),
        prompt: request.prompt.clone(),
        answer: output.text.clone(),
    };
    let Some(rating) = entry.request_rating(&input).await else {
        return false;
    };
    let passed = rating >= min_rating;
    entry
        .pass_rates()
        .record(&request.team.name, &step.model, passed);
    entry.record_rating(&input.model, &input.version, rating);
    passed
}
