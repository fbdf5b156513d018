//! Parameters, state and results of the simulation.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use config::Gate;
use hdrhistogram::Histogram;
use route::{
    Admission, BalancePolicy, CascadePolicy, PassRates, RetryBudget, RolloutGate,
    Runners, Weights,
};

/// Number of entries in a deployment.
pub(super) const ENTRIES: usize = 3;

/// Number of failure domains in a deployment.
pub(super) const FAILURE_DOMAINS: usize = 3;

/// Maximum number of requests that an engine runs concurrently.
pub(super) const SLOTS: u32 = 8;

/// Interval between heartbeats, ms.
pub(super) const HEARTBEAT_MS: u64 = 500;

/// Time without a response after which an attempt counts as lost, ms.
pub(super) const SILENCE_MS: u64 = 2_000;

/// Duration of a rating, ms.
pub(super) const RATING_MS: u64 = 80;

/// Minimum rating of a good answer.
pub(super) const PASS_RATING: f64 = 0.5;

/// Mean number of output tokens of an answer.
pub(super) const MEAN_OUTPUT_TOKENS: f64 = 150.0;

/// Number of tokens to which a price applies.
pub(super) const TOKENS_PER_PRICE: f64 = 1_000.0;

/// Maximum number of attempts for each step of a request.
pub(super) const ATTEMPTS_MAX: u32 = 3;

/// Start of a situation's fault, as a fraction of the run's duration.
pub(super) const FAULT_START: f64 = 0.4;

/// Speed, price and answer quality of a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelProfile {
    pub name: &'static str,
    /// Time to the first token on an idle engine, ms.
    pub first_token_ms: f64,
    /// Time per output token on an idle engine, ms.
    pub token_ms: f64,
    /// Price of [`TOKENS_PER_PRICE`] output tokens, millionths of a euro.
    pub price_micros: f64,
    /// Probability of a good answer to an easy question.
    pub easy_pass_rate: f64,
    /// Probability of a good answer to a hard question.
    pub hard_pass_rate: f64,
}

pub(super) const SMALL: ModelProfile = ModelProfile {
    name: "small",
    first_token_ms: 60.0,
    token_ms: 4.0,
    price_micros: 300.0,
    easy_pass_rate: 0.96,
    hard_pass_rate: 0.25,
};

pub(super) const LARGE: ModelProfile = ModelProfile {
    name: "draft",
    first_token_ms: 150.0,
    token_ms: 9.0,
    price_micros: 2_000.0,
    easy_pass_rate: 0.98,
    hard_pass_rate: 0.95,
};

/// Probability that a bad version returns a good answer.
pub(super) const BAD_VERSION_PASS_RATE: f64 = 0.40;

/// Size and load of a simulated installation.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in tables and in `policy.json`.
    pub name: &'static str,
    /// Number of engines of the cheap model.
    pub small_engines: usize,
    /// Number of engines of the expensive model.
    pub large_engines: usize,
    /// One-way latency to another failure domain, ms.
    pub cross_domain_ms: u64,
    /// One-way latency between a caller and an entry, ms.
    pub caller_ms: u64,
    /// Arrival rate without overload, requests per second.
    pub requests_per_s: f64,
}

/// Load and faults of a run.
///
/// The output contains the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Situation {
    /// Constant arrival rate without faults.
    Steady,
    /// In the middle third of the run, the large team's load triples the
    /// arrival rate.
    Overload,
    /// One failure domain loses power and stays down.
    RoomLost,
    /// The new version of a rollout is bad from the start.
    BadVersion,
    /// The new version is bad only for the large team's requests.
    BadForOneTeam,
    /// The new version turns bad after a quarter of the run.
    BadSlowly,
    /// The new version is bad, and the gate receives no ratings.
    BadRaterSilent,
    /// The new version is as good as the serving one.
    GoodVersion,
    /// All engines stop for 30 s, and callers retry.
    Outage,
    /// Load reports are 5 s old.
    LaggingReports,
    /// Load reports are 5 s old, and one engine of each model runs at a third
    /// of the others' speed.
    LaggingOneSlow,
    /// The cheap model's pass rate drops after half of the run.
    PassRateShift,
}

/// Set of policies under test.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Name in tables and in `policy.json`.
    pub name: &'static str,
    /// Load-balancing policy.
    pub balance: BalancePolicy,
    /// Policy for trying the cheap step of a cascade.
    pub cascade: CascadePolicy,
    /// Gate between the steps of a rollout.
    pub gate: Gate,
    /// Retry budget, percent of first attempts.
    pub retry_percent: u32,
    /// Weights of the objectives.
    pub weights: Weights,
    /// Whether admission limits teams to their fair share while slots are scarce.
    pub fair_share: bool,
}

/// Measurements of a run.
pub struct RunStats {
    /// Time to the first token, ms.
    pub first_token_ms: Histogram<u64>,
    /// Time to the end of the answer, ms.
    pub total_ms: Histogram<u64>,
    /// Time to the end of the answer for all teams except the large one, ms.
    pub other_teams_ms: Histogram<u64>,
    /// Completed answers.
    pub answered: u64,
    /// Good answers among them.
    pub good: u64,
    /// Price of all steps of answered requests, millionths of a euro.
    pub cost_micros: f64,
    /// Answers returned from the bad version.
    pub exposed: u64,
    /// Time from the first of them to the last, ms; 0 if there were none.
    pub exposed_span_ms: u64,
    /// Requests refused before they were dispatched.
    pub refused: u64,
    /// Requests that failed after a dispatch.
    pub failed: u64,
    /// Dispatched attempts, including retries.
    pub attempts: u64,
    /// Steps that were dispatched at least once.
    pub dispatched: u64,
    /// Output tokens of cheap steps whose answers were rejected.
    pub wasted_tokens: u64,
    /// Output tokens of all completed steps.
    pub tokens: u64,
    /// Completed answers by second of the run.
    pub per_second: BTreeMap<u64, u64>,
}

impl RunStats {
    pub(super) fn new() -> Self {
        let histogram = || {
            Histogram::new(3)
                .expect("3 significant digits are within the supported range")
        };
        RunStats {
            first_token_ms: histogram(),
            total_ms: histogram(),
            other_teams_ms: histogram(),
            answered: 0,
            good: 0,
            cost_micros: 0.0,
            exposed: 0,
            exposed_span_ms: 0,
            refused: 0,
            failed: 0,
            attempts: 0,
            dispatched: 0,
            wasted_tokens: 0,
            tokens: 0,
            per_second: BTreeMap::new(),
        }
    }

    /// Returns the number of attempts per dispatched step.
    pub fn amplification(&self) -> f64 {
        self.attempts as f64 / self.dispatched.max(1) as f64
    }
}

pub(super) struct Engine {
    pub model: ModelProfile,
    pub failure_domain: usize,
    /// Address of the engine's agent.
    pub address: SocketAddr,
    pub running: u32,
    /// Ids of the queued requests.
    pub queue: VecDeque<u64>,
    pub alive: bool,
    /// Load reports delayed by the lag, oldest first: time in ms, running and
    /// queued requests.
    pub reports: VecDeque<(u64, u32, u32)>,
}

pub(super) struct EntryState {
    pub runners: Runners,
    pub admission: Admission,
    pub retries: RetryBudget,
    pub pass_rates: PassRates,
    pub gate: RolloutGate,
    pub failure_domain: usize,
    pub alive: bool,
}

#[derive(Clone)]
pub(super) struct Request {
    pub entry: usize,
    pub team: usize,
    pub is_hard: bool,
    /// Whether the caller allows the cheap model.
    pub allows_cascade: bool,
    pub output_tokens: f64,
    pub arrived_at_ms: u64,
    /// Index of the step: 0 small, 1 large.
    pub step: usize,
    /// Attempts in all steps. Events carry it as the number of their attempt, so
    /// that those of an earlier attempt are ignored.
    pub attempts: u32,
    pub step_attempts: u32,
    pub engine: usize,
    pub dispatched_at_ms: u64,
    pub version: &'static str,
    pub first_token_at_ms: u64,
    pub cost_micros: f64,
    /// Number of times that the caller sent the request.
    pub submissions: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// A new request arrives.
    RequestArrival,
    /// The caller sends the request with this id again.
    Resubmission(u64),
    /// An attempt reaches an engine: engine index, request id, attempt number.
    EngineArrival(usize, u64, u32),
    /// An attempt ends: engine index, request id, attempt number.
    AttemptEnd(usize, u64, u32),
    /// An attempt times out: request id, attempt number.
    AttemptLost(u64, u32),
    /// The rating of the cheap step arrives: request id.
    Rating(u64),
    Heartbeat,
    /// The situation's fault starts (`true`) or ends (`false`).
    Fault(bool),
}

pub(super) fn agent_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_100))
}

pub(super) fn engine_model(
    deployment: Deployment,
    situation: Situation,
    index: usize,
) -> ModelProfile {
    let model = if index < deployment.small_engines {
        SMALL
    } else {
        LARGE
    };
    let is_slow = situation == Situation::LaggingOneSlow
        && (index == 0 || index == deployment.small_engines);
    if is_slow {
        let (first_token_ms, token_ms) =
            (model.first_token_ms * 3.0, model.token_ms * 3.0);
        ModelProfile {
            first_token_ms,
            token_ms,
            ..model
        }
    } else {
        model
    }
}

pub(super) fn team_name(team: usize) -> String {
    format!("team-{team}")
}
