//! What the experiments are made of: plants, situations, engines, requests.

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

/// Entries of a deployment.
pub(super) const ENTRIES: usize = 3;

/// Rooms of a deployment.
pub(super) const ROOMS: usize = 3;

/// Requests that an engine generates at once.
pub(super) const SLOTS: u32 = 8;

/// Time between heartbeats, ms.
pub(super) const BEAT_MS: u64 = 500;

/// Silence after which an attempt counts as lost, ms.
pub(super) const SILENCE_MS: u64 = 2_000;

/// Time that a rating takes, ms.
pub(super) const RATING_MS: u64 = 80;

/// Least rating of a good answer.
pub(super) const GOOD: f64 = 0.5;

/// Mean output tokens of an answer.
pub(super) const MEAN_TOKENS: f64 = 150.0;

/// Tokens that a price is given for.
pub(super) const PRICED_TOKENS: f64 = 1_000.0;

/// Attempts of a request.
pub(super) const ATTEMPTS_MAX: u32 = 3;

/// Time at which a situation's fault strikes, as a part of the run.
pub(super) const FAULT_AT: f64 = 0.4;

/// How a model's engines behave, and what its answers are worth.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelKind {
    pub name: &'static str,
    pub first_ms: f64,
    pub token_ms: f64,
    pub price_micros: f64,
    pub good_easy: f64,
    pub good_hard: f64,
}

pub(super) const SMALL: ModelKind = ModelKind {
    name: "small",
    first_ms: 60.0,
    token_ms: 4.0,
    price_micros: 300.0,
    good_easy: 0.96,
    good_hard: 0.25,
};

pub(super) const LARGE: ModelKind = ModelKind {
    name: "draft",
    first_ms: 150.0,
    token_ms: 9.0,
    price_micros: 2_000.0,
    good_easy: 0.98,
    good_hard: 0.95,
};

/// Good answers of a bad version.
pub(super) const BAD_GOOD: f64 = 0.40;

/// One of the two users' plants.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in tables.
    pub name: &'static str,
    /// Engines of the cheap model.
    pub small: usize,
    /// Engines of the dear model.
    pub large: usize,
    /// One way to another room, ms.
    pub room_ms: u64,
    /// One way to a caller, ms.
    pub caller_ms: u64,
    /// Requests a second on a steady day.
    pub rate: f64,
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Situation {
    /// Nothing out of the ordinary.
    Steady,
    /// One large team sends twice what the plant can serve.
    Overload,
    /// A room loses power at the peak.
    RoomLost,
    /// The version under roll-out is bad from the start.
    BadVersion,
    /// It is bad for the large team's requests only.
    BadForOneTeam,
    /// It turns bad slowly, in the middle of the roll-out.
    BadSlowly,
    /// It is bad, and the rater is silent.
    BadRaterSilent,
    /// It is as good as the serving one.
    GoodVersion,
    /// All engines stop for 30 s, and callers try again.
    Outage,
    /// Load reports lag by 5 s.
    LaggingReports,
    /// They lag, and one engine of each model generates at a third of the
    /// others' pace.
    LaggingOneSlow,
    /// The cheap model's answers get worse in the middle of the day.
    PassRateShift,
}

/// Which decisions are made how.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Name in tables.
    pub name: &'static str,
    /// How a runner is chosen.
    pub balance: BalancePolicy,
    /// Whether cheap steps are tried.
    pub cascade: CascadePolicy,
    /// How a roll-out passes steps.
    pub gate: Gate,
    /// Retries allowed, percent of first attempts.
    pub retry_percent: u32,
    /// What the user weighs most.
    pub weights: Weights,
    /// Whether teams are held to their share while slots are short.
    pub fair: bool,
}

/// What a run showed.
pub struct Outcomes {
    /// Time to the first token, ms.
    pub first_ms: Histogram<u64>,
    /// Time to the whole answer, ms.
    pub whole_ms: Histogram<u64>,
    /// Time to the whole answer of all teams but the large one, ms.
    pub others_ms: Histogram<u64>,
    /// Whole answers.
    pub answered: u64,
    /// Good ones among them.
    pub good: u64,
    /// Price of all steps, millionths of a euro.
    pub cost_micros: f64,
    /// Answers of the bad version.
    pub exposed: u64,
    /// When the last of them ended, ms after the first; 0 if there was none.
    pub exposed_span_ms: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that failed after a dispatch.
    pub failed: u64,
    /// Attempts that were dispatched.
    pub attempts: u64,
    /// Steps whose first attempt was dispatched.
    pub dispatched: u64,
    /// Tokens of steps whose answers were not returned.
    pub wasted_tokens: u64,
    /// All tokens.
    pub tokens: u64,
    /// Whole answers in each second.
    pub per_second: BTreeMap<u64, u64>,
}

impl Outcomes {
    pub(super) fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Outcomes {
            first_ms: histogram(),
            whole_ms: histogram(),
            others_ms: histogram(),
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

    /// Attempts for each request that was dispatched.
    pub fn amplification(&self) -> f64 {
        self.attempts as f64 / self.dispatched.max(1) as f64
    }
}

pub(super) struct Engine {
    pub kind: ModelKind,
    pub room: usize,
    pub key: SocketAddr,
    pub running: u32,
    pub waiting: VecDeque<u64>,
    pub alive: bool,
    /// What it will report, oldest first, with when it was so.
    pub reports: VecDeque<(u64, u32, u32)>,
}

pub(super) struct EntryState {
    pub runners: Runners,
    pub admission: Admission,
    pub retries: RetryBudget,
    pub rates: PassRates,
    pub gate: RolloutGate,
    pub room: usize,
    pub alive: bool,
}

#[derive(Clone)]
pub(super) struct Job {
    pub entry: usize,
    pub team: usize,
    pub hard: bool,
    pub cascade: bool,
    pub tokens: f64,
    pub arrived: u64,
    /// Index of the step: 0 small, 1 large.
    pub step: usize,
    /// Attempts over all steps; names the one that an event is about.
    pub attempts: u32,
    pub step_attempts: u32,
    pub engine: usize,
    pub sent_at: u64,
    pub version: &'static str,
    pub first_at: u64,
    pub cost_micros: f64,
    pub tries: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    Arrive,
    Again(u64),
    Enter(usize, u64, u32),
    Finish(usize, u64, u32),
    Lost(u64, u32),
    Rated(u64),
    Beat,
    Fault(bool),
}

pub(super) fn key(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8 + 1], 7_100))
}

pub(super) fn engine_kind(
    plant: Deployment,
    situation: Situation,
    at: usize,
) -> ModelKind {
    let kind = if at < plant.small { SMALL } else { LARGE };
    let is_slow =
        situation == Situation::LaggingOneSlow && (at == 0 || at == plant.small);
    if is_slow {
        let (first_ms, token_ms) = (kind.first_ms * 3.0, kind.token_ms * 3.0);
        ModelKind {
            first_ms,
            token_ms,
            ..kind
        }
    } else {
        kind
    }
}

pub(super) fn team_name(team: usize) -> String {
    format!("team-{team}")
}
