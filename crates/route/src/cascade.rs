//! Decides which steps of a cascade are worth trying.

use std::collections::HashMap;

/// Number of ratings that the prior counts for.
const PRIOR_WEIGHT: f64 = 4.0;

/// Factor that discounts earlier ratings at each new one, so that the pass rate
/// follows changes within a day.
const DECAY: f64 = 0.98;

/// Policy for the steps before the last one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CascadePolicy {
    /// Try a step if, at its learned pass rate, it saves more than it costs.
    #[default]
    Learned,
    /// Try every step for which there is time.
    Always,
    /// Skip these steps; the last and most expensive step answers.
    Dearest,
}

impl CascadePolicy {
    /// Parses a settings value; unknown values select
    /// [`CascadePolicy::Learned`].
    pub fn from_setting(text: &str) -> Self {
        match text {
            "always" => CascadePolicy::Always,
            "dearest" => CascadePolicy::Dearest,
            _ => CascadePolicy::Learned,
        }
    }
}

/// Costs and times of trying a step, compared with skipping it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepCosts {
    /// Price of an answer of this step, millionths of a euro.
    pub step_micros: f64,
    /// Price of an answer of the next step, millionths of a euro.
    pub next_micros: f64,
    /// Duration of the step and its rating, ms.
    pub step_ms: f64,
    /// Cost of 1 ms of delay, millionths of a euro.
    pub micros_per_ms: f64,
    /// Time until the deadline, ms.
    pub left_ms: f64,
    /// Duration of the steps after this one, ms.
    pub later_steps_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct RatingCounts {
    passed: f64,
    failed: f64,
}

/// Learned pass rates by team and model.
#[derive(Clone, Debug, Default)]
pub struct PassRates {
    counts: HashMap<(String, String), RatingCounts>,
}

impl PassRates {
    /// Records a rating of a step's answer.
    pub fn record(&mut self, team: &str, model: &str, passed: bool) {
        let counts = self
            .counts
            .entry((team.to_owned(), model.to_owned()))
            .or_default();
        counts.passed *= DECAY;
        counts.failed *= DECAY;
        if passed {
            counts.passed += 1.0;
        } else {
            counts.failed += 1.0;
        }
    }

    /// Returns the estimated probability that a step's answer passes; `prior`
    /// is the estimate without ratings.
    pub fn pass_rate(&self, team: &str, model: &str, prior: f64) -> f64 {
        let counts = self.counts.get(&(team.to_owned(), model.to_owned()));
        let (passed, failed) =
            counts.map_or((0.0, 0.0), |counts| (counts.passed, counts.failed));
        (passed + prior * PRIOR_WEIGHT) / (passed + failed + PRIOR_WEIGHT)
    }

    /// Returns whether to try a step other than the last.
    ///
    /// A step is never tried if it and the later steps would miss the deadline.
    /// `explore` is a random number in 0..1: a small share of requests tries
    /// steps that cost more than they save, since their pass rate would
    /// otherwise never be updated.
    pub fn should_try(
        &self,
        policy: CascadePolicy,
        pass_rate: f64,
        costs: StepCosts,
        explore: f64,
    ) -> bool {
        if policy == CascadePolicy::Dearest {
            return false;
        }
        if costs.step_ms + costs.later_steps_ms > costs.left_ms {
            return false;
        }
        if policy == CascadePolicy::Always {
            return true;
        }
        let saved = pass_rate * costs.next_micros;
        let failure_rate = 1.0 - pass_rate;
        let spent =
            costs.step_micros + failure_rate * costs.step_ms * costs.micros_per_ms;
        saved > spent || explore < EXPLORE_SHARE
    }
}

/// Share of requests that try a step which costs more than it saves.
const EXPLORE_SHARE: f64 = 0.02;
