//! Runs a request over the steps of a cascade, or over one model.

use std::sync::Arc;

use bill::LineItem;
use config::Config;
use rand::RngExt;
use route::{RouteError, StepCosts, VersionChoice, choose_version};

use crate::{
    Entry, Stage,
    answer::{Head, Pieces},
    attempt::{Emit, Job, StepDone, StepError, Trail, run_step},
    chat::ChatRequest,
    rate::Rated,
};

/// Belief that a cheap answer passes, before any rating.
const PRIOR_PASS: f64 = 0.7;

/// Tokens of a usual answer, for comparing steps.
const USUAL_TOKENS: f64 = 600.0;

/// Time of a usual step, ms, until the runners show theirs.
const USUAL_STEP_MS: f64 = 1_500.0;

/// A model to try, and the rating with which its answer is returned; `None`
/// for the last.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub model: String,
    pub pinned: Option<String>,
    pub pass_rating: Option<f64>,
}

/// A whole answer and what all steps used.
pub(crate) struct Served {
    pub lines: Vec<LineItem>,
    pub last: StepDone,
}

/// Why there is none, and what the steps before used.
pub(crate) struct Unserved {
    pub lines: Vec<LineItem>,
    pub error: StepError,
}

/// Runs the steps in order until an answer passes.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    request: &mut ChatRequest,
    steps: &[Step],
    pieces: &Pieces,
    trail: &mut Trail,
) -> Result<Served, Unserved> {
    let mut lines: Vec<LineItem> = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        let rest = &steps[at + 1..];
        if !rest.is_empty() && !is_worth(entry, request, step, rest) {
            continue;
        }
        let result = run_one(entry, request, step, pieces, trail, &lines).await;
        let (done, mut emit) = match result {
            Ok(found) => found,
            // A cheap step that fails must not fail the request.
            Err(StepError::Request(_)) if !rest.is_empty() => continue,
            Err(error) => return Err(Unserved { lines, error }),
        };
        trail.has_run = true;
        lines.push(done.line.clone());
        if step.pass_rating.is_some() && !passes(entry, request, step, &done).await {
            entry.node.metrics.count("escalated");
            continue;
        }
        if emit.release().await.is_err() {
            let line = lines.pop().unwrap_or_default();
            return Err(Unserved {
                lines,
                error: StepError::CallerGone(line),
            });
        }
        return Ok(Served { lines, last: done });
    }
    let error = Stage::Failed("no step gave an answer".into());
    Err(Unserved {
        lines,
        error: StepError::Request(error.into()),
    })
}

async fn run_one(
    entry: &Arc<Entry>,
    request: &mut ChatRequest,
    step: &Step,
    pieces: &Pieces,
    trail: &mut Trail,
    prior: &[LineItem],
) -> Result<(StepDone, Emit), StepError> {
    let (choice, cost) = choose(entry, request, step).await?;
    let head = Head {
        version: format!("{}@{}", step.model, choice.version),
        ticket: request.session.signed(entry),
    };
    let mut emit = match step.pass_rating {
        Some(_) => Emit::keep(pieces.clone(), head),
        None => Emit::through(pieces.clone(), head),
    };
    let job = Job {
        request_id: &request.request_id,
        team: &request.team.name,
        model: &step.model,
        version: &choice.version,
        continues: choice.continues,
        body: &request.body,
        deadline: request.deadline,
        prior,
        priority: request.priority,
        cost_micros_per_ktoken: cost,
    };
    let done = run_step(entry, &job, &mut emit, trail).await?;
    Ok((done, emit))
}

/// Chooses the version, and binds a new session to it.
async fn choose(
    entry: &Arc<Entry>,
    request: &mut ChatRequest,
    step: &Step,
) -> Result<(VersionChoice, u64), StepError> {
    if !request.session.is_known(entry) {
        return Err(StepError::Request(Stage::NotReady.into()));
    }
    let started_on = request.session.started_on(entry, &step.model);
    let config = entry.config();
    let mut choice = decide(&config, request, step, started_on.as_deref())?;
    if request.session.exists && started_on.is_none() {
        let held = request
            .session
            .bind(entry, &step.model, &choice.version)
            .await;
        if held != choice.version {
            choice = decide(&entry.config(), request, step, Some(&held))?;
        }
    }
    let version = config.version(&step.model, &choice.version);
    let cost = version.map_or(0, |entity| entity.value.spec.cost_micros_per_ktoken);
    Ok((choice, cost))
}

fn decide(
    config: &Config,
    request: &ChatRequest,
    step: &Step,
    started_on: Option<&str>,
) -> Result<VersionChoice, StepError> {
    let pinned = step.pinned.as_deref();
    let conflict = pinned
        .zip(started_on)
        .is_some_and(|(pinned, held)| pinned != held);
    if conflict {
        let why =
            "the session keeps another version; name the model, or start a new session";
        return Err(StepError::Request(Stage::BadRequest(why.into()).into()));
    }
    let chosen = choose_version(
        config,
        &request.team.name,
        &step.model,
        pinned,
        request.session.view(started_on),
        &request.request_id,
    );
    chosen.map_err(|err: RouteError| StepError::Request(Stage::Route(err).into()))
}

/// Whether a cheap step pays, by its learned pass rate.
fn is_worth(entry: &Entry, request: &ChatRequest, step: &Step, rest: &[Step]) -> bool {
    let costs = StepCosts {
        step_micros: usual_price(entry, &step.model),
        next_micros: rest
            .first()
            .map_or(0.0, |next| usual_price(entry, &next.model)),
        step_ms: USUAL_STEP_MS,
        micros_per_ms: entry.weights().micros_per_ms,
        left_ms: request.deadline.since(entry.node.now()) as f64,
        later_steps_ms: USUAL_STEP_MS,
    };
    let rates = entry.rates();
    let chance = rates.pass_rate(&request.team.name, &step.model, PRIOR_PASS);
    let explore = entry.rng().random_range(0.0..1.0);
    rates.should_try(entry.cascade, chance, costs, explore)
}

fn usual_price(entry: &Entry, model: &str) -> f64 {
    let config = entry.config();
    let serving = config
        .models
        .get(model)
        .map(|entity| entity.value.serving.clone());
    let version = serving.and_then(|serving| config.version(model, &serving).cloned());
    let price = version.map_or(0, |entity| entity.value.spec.cost_micros_per_ktoken);
    price as f64 * USUAL_TOKENS / 1_000.0
}

/// Has the step's answer rated.  Without a rating the next step serves, since
/// quality goes before cost.
async fn passes(
    entry: &Arc<Entry>,
    request: &ChatRequest,
    step: &Step,
    done: &StepDone,
) -> bool {
    let bar = step.pass_rating.unwrap_or(0.0);
    let rated = Rated {
        team: request.team.name.clone(),
        model: step.model.clone(),
        version: done.line.version.clone(),
        prompt: request.prompt.clone(),
        answer: done.text.clone(),
    };
    let Some(rating) = entry.rate(&rated).await else {
        return false;
    };
    let passed = rating >= bar;
    entry
        .rates()
        .record(&request.team.name, &step.model, passed);
    entry.take_rating(&rated.model, &rated.version, rating);
    passed
}
